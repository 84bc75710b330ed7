/** Goes over the records of callers and upstreams of a soak and names every broken promise. */
import { type SoakRequest, SoakOperation } from './soak-caller.ts'
import type { UpstreamCounters } from './process-fleet.ts'

/** Allowed between admission and the run at the upstream, in milliseconds: it can squeeze admitted requests together. */
const QUEUEING_ALLOWANCE_MILLISECONDS = 1_000

/** Everything that the callers and upstreams of a soak recorded. */
export interface SoakRecords {
  readonly requests: readonly SoakRequest[]
  readonly counters: readonly UpstreamCounters[]
  readonly rate: number
  readonly burst: number
  readonly withdrawnCustomer: string
  /** Wall-clock milliseconds at which the withdrawal of the key was answered as accepted. */
  readonly withdrawnAt: number
  readonly withdrawalBoundMilliseconds: number
}

/** Counts of broken promises; all should be 0. */
export interface SoakFindings {
  readonly doubledRuns: number
  readonly untrueRefusals: number
  readonly foreignAnswers: number
  readonly runsAfterWithdrawal: number
  /** Most requests of any customer above its rate and burst, in any window. */
  readonly mostAboveShare: number
  readonly lostSuccesses: number
}

/** Checks the promises that the records can show. */
export function checkSoak (records: SoakRecords): SoakFindings {
  const runs = sumRuns(records.counters)
  const runsOf = (request: SoakRequest): number => runs.get(request.marker) ?? 0
  const onceOnly = records.requests.filter((request) => request.operation !== SoakOperation.Consult)
  const answered = records.requests.filter((request) => request.sends.some((send) => send.status === 200))
  return {
    doubledRuns: onceOnly.filter((request) => runsOf(request) > 1).length,
    untrueRefusals: records.requests.filter((request) => request.sends.every((send) => send.run === 'not-run') && runsOf(request) > 0).length,
    foreignAnswers: answered.filter((request) => request.sends.some((send) => send.status === 200 && !send.isOwnAnswer)).length,
    runsAfterWithdrawal: countRunsAfterWithdrawal(records),
    mostAboveShare: mostAboveShare(records),
    lostSuccesses: answered.filter((request) => runsOf(request) === 0).length
  }
}

function sumRuns (counters: readonly UpstreamCounters[]): Map<string, number> {
  const runs = new Map<string, number>()
  for (const { runs: own } of counters) {
    for (const [marker, count] of Object.entries(own)) runs.set(marker, (runs.get(marker) ?? 0) + count)
  }
  return runs
}

function countRunsAfterWithdrawal ({ counters, withdrawnCustomer, withdrawnAt, withdrawalBoundMilliseconds }: SoakRecords): number {
  const last = withdrawnAt + withdrawalBoundMilliseconds
  return firstRuns(counters).filter((run) => run.customer === withdrawnCustomer && run.wallMilliseconds > last).length
}

/** The largest excess over `burst + rate * T` in any window, for any customer. */
function mostAboveShare ({ counters, rate, burst }: SoakRecords): number {
  const times = new Map<string, number[]>()
  for (const run of firstRuns(counters)) times.set(run.customer, [...times.get(run.customer) ?? [], run.wallMilliseconds])
  const excesses = [...times.values()].map((of) => excessOver(of.sort((left, right) => left - right), rate, burst))
  return Math.max(0, ...excesses)
}

/** With n(t) requests up to t, the bound holds when n(t) - rate * t never rises by more than the burst. */
function excessOver (sorted: readonly number[], rate: number, burst: number): number {
  let lowest = Infinity
  let worst = -Infinity
  sorted.forEach((time, index) => {
    const level = index - rate * time / 1000
    lowest = Math.min(lowest, level)
    worst = Math.max(worst, level + 1 - lowest)
  })
  return Math.ceil(worst - burst - rate * QUEUEING_ALLOWANCE_MILLISECONDS / 1000)
}

/** One first run for each request: a retry of an idempotent request runs on another upstream under the same name. */
function firstRuns (counters: readonly UpstreamCounters[]): { readonly customer: string, readonly wallMilliseconds: number }[] {
  const first = new Map<string, { readonly customer: string, readonly wallMilliseconds: number }>()
  for (const { firstRuns: own } of counters) {
    for (const [identity, run] of Object.entries(own)) {
      const known = first.get(identity)
      if (known === undefined || run.wallMilliseconds < known.wallMilliseconds) first.set(identity, run)
    }
  }
  return [...first.values()]
}

/** Checks the records of callers and upstreams of a soak test against the guarantees of the fleet. */
import { type SoakRequest, SoakOperation } from './soak-caller.ts'
import type { UpstreamCounters } from './process-fleet.ts'

/** Tolerated delay between admission and the run at the upstream. Different delays can bunch admitted requests together. */
const QUEUEING_ALLOWANCE_MILLISECONDS = 1_000

/** Records of the callers and upstreams of a soak test. */
export interface SoakRecords {
  readonly requests: readonly SoakRequest[]
  readonly counters: readonly UpstreamCounters[]
  readonly rate: number
  readonly burst: number
  readonly revokedCustomer: string
  /** Wall-clock milliseconds at which the revocation of the key was accepted. */
  readonly revokedAt: number
  readonly revocationBoundMilliseconds: number
}

/** Numbers of violations by guarantee; all of them should be 0. */
export interface SoakFindings {
  readonly duplicateRuns: number
  readonly falseNotRunRefusals: number
  readonly mismatchedAnswers: number
  readonly runsAfterRevocation: number
  /** Largest number of requests of one customer above its rate and burst in any window. */
  readonly maxAboveLimit: number
  readonly successesWithoutRun: number
}

/** Checks every guarantee that can be verified from the records. */
export function checkSoak (records: SoakRecords): SoakFindings {
  const runs = sumRuns(records.counters)
  const runsOf = (request: SoakRequest): number => runs.get(request.marker) ?? 0
  const nonRepeatable = records.requests.filter((request) => request.operation !== SoakOperation.Consult)
  const answered = records.requests.filter((request) => request.sends.some((send) => send.status === 200))
  return {
    duplicateRuns: nonRepeatable.filter((request) => runsOf(request) > 1).length,
    falseNotRunRefusals: records.requests.filter((request) => request.sends.every((send) => send.run === 'not-run') && runsOf(request) > 0).length,
    mismatchedAnswers: answered.filter((request) => request.sends.some((send) => send.status === 200 && !send.isOwnAnswer)).length,
    runsAfterRevocation: countRunsAfterRevocation(records),
    maxAboveLimit: maxAboveLimit(records),
    successesWithoutRun: answered.filter((request) => runsOf(request) === 0).length
  }
}

function sumRuns (counters: readonly UpstreamCounters[]): Map<string, number> {
  const runs = new Map<string, number>()
  for (const { runs: upstreamRuns } of counters) {
    for (const [marker, count] of Object.entries(upstreamRuns)) runs.set(marker, (runs.get(marker) ?? 0) + count)
  }
  return runs
}

function countRunsAfterRevocation ({ counters, revokedCustomer, revokedAt, revocationBoundMilliseconds }: SoakRecords): number {
  const last = revokedAt + revocationBoundMilliseconds
  return firstRuns(counters).filter((run) => run.customer === revokedCustomer && run.wallMilliseconds > last).length
}

/** Returns the largest excess of any customer over `burst + rate * T` in any window of length `T`. */
function maxAboveLimit ({ counters, rate, burst }: SoakRecords): number {
  const times = new Map<string, number[]>()
  for (const run of firstRuns(counters)) times.set(run.customer, [...times.get(run.customer) ?? [], run.wallMilliseconds])
  const excesses = [...times.values()].map((of) => excessOver(of.sort((left, right) => left - right), rate, burst))
  return Math.max(0, ...excesses)
}

/** With n(t) requests up to time t, the limit holds if n(t) - rate * t never rises by more than the burst. */
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

/** Returns the first run of each request. A retry of an idempotent request runs on another upstream under the same request id. */
function firstRuns (counters: readonly UpstreamCounters[]): { readonly customer: string, readonly wallMilliseconds: number }[] {
  const first = new Map<string, { readonly customer: string, readonly wallMilliseconds: number }>()
  for (const { firstRuns: upstreamFirstRuns } of counters) {
    for (const [identity, run] of Object.entries(upstreamFirstRuns)) {
      const known = first.get(identity)
      if (known === undefined || run.wallMilliseconds < known.wallMilliseconds) first.set(identity, run)
    }
  }
  return [...first.values()]
}

/** Soak test: load from eight customers on real processes while nodes fail and operators change the fleet. A checker verifies the records afterwards. */
import { type MeasureReport, type MeasureRow, atMost, withoutTarget } from '../packages/bench/src/measure-report.ts'
import { SeededRandom } from '../packages/runtime/src/random.ts'
import { exampleState } from './example-state.ts'
import { AUTHORITY_TOKEN, ProcessFleet, type UpstreamCounters, delay } from './process-fleet.ts'
import { ReadyEntries, type SoakRequest, runCaller } from './soak-caller.ts'
import { type SoakFindings, checkSoak } from './soak-checker.ts'

const SEED = Number(process.env['HICKORYSPOKE_SEED'] ?? 5)
const RATE_PER_SECOND = 20
const REQUESTS_PER_SECOND = 12
const BURST = 20
const REVOKED_CUSTOMER = 'inspectors'
const REVOCATION_BOUND_MILLISECONDS = 5_000
const DEPARTURE_BOUND_MILLISECONDS = 2_000
const QUIET_MILLISECONDS = 3_000
const EXIT_CODE_DISPUTE = 4

interface SoakRun {
  readonly fleet: ProcessFleet
  readonly requests: SoakRequest[]
  /** Counters of fake upstreams that were stopped during the run. */
  readonly stoppedUpstreamCounters: UpstreamCounters[]
  readonly state: Record<string, unknown> & { number: number }
  revokedAt: number
  gracefulExits: number[]
  requestsAfterDeparture: number
  raceExitCodes: number[]
  phase: string
}

type SoakEvent = (run: SoakRun) => Promise<void>

/** Events in the order in which they happen, with a quiet period after each. */
const EVENTS: Readonly<Record<string, SoakEvent>> = {
  nothing: async () => {
    await delay(2 * QUIET_MILLISECONDS)
  },
  killEntry: async ({ fleet }) => {
    const entry = itemAt(fleet.entries, 0)
    await fleet.kill(entry)
    await delay(QUIET_MILLISECONDS)
    fleet.restart(entry)
  },
  killLeader: async ({ fleet }) => {
    const status = JSON.parse((await fleet.operator(['status', '--json'])).output) as { leader?: string }
    const leader = fleet.control.find((replica) => replica.name === status.leader) ?? itemAt(fleet.control, 0)
    await fleet.kill(leader)
    await delay(QUIET_MILLISECONDS)
    fleet.restart(leader)
  },
  upstreamFailsAllWork: async ({ fleet }) => {
    const upstream = itemAt(fleet.upstreams, 1)
    await fleet.setFaults(upstream, { errorShare: 1, healthAnswer: 'always_well' })
    await delay(QUIET_MILLISECONDS)
    await fleet.setFaults(upstream, { errorShare: 0 })
  },
  departUpstream: async (run) => {
    const upstream = itemAt(run.fleet.upstreams, 0)
    await run.fleet.drain(upstream)
    await delay(DEPARTURE_BOUND_MILLISECONDS)
    const before = await run.fleet.counters(upstream)
    await delay(QUIET_MILLISECONDS)
    const after = await run.fleet.counters(upstream)
    run.requestsAfterDeparture = after.requests - before.requests
    run.stoppedUpstreamCounters.push(after)
    run.fleet.upstreams.splice(run.fleet.upstreams.indexOf(upstream), 1)
    run.gracefulExits.push(await run.fleet.stopGracefully(upstream))
  },
  withdrawKeyFromFrozenEntry: async (run) => {
    const frozen = itemAt(run.fleet.entries, 1)
    run.fleet.setSuspended(frozen, true)
    await revokeKey(run)
    await delay(REVOCATION_BOUND_MILLISECONDS)
    run.fleet.setSuspended(frozen, false)
  },
  loseAllControl: async ({ fleet }) => {
    for (const replica of fleet.control) await fleet.kill(replica)
    await delay(2 * QUIET_MILLISECONDS)
    for (const replica of fleet.control) fleet.restart(replica)
  },
  raceOperators: async (run) => {
    const number = run.state.number + 1
    const candidates = [RATE_PER_SECOND + 1, RATE_PER_SECOND + 2].map((rate) => ({ ...changeRate(run.state, rate), number }))
    const results = await Promise.all(candidates.map(async (candidate) => await run.fleet.apply(candidate)))
    run.raceExitCodes = results.map((result) => result.exitCode)
    const disputes = JSON.parse((await run.fleet.operator(['dispute', 'list', '--json'])).output) as { candidates: { digest: string }[] }[]
    const digest = disputes[0]?.candidates[0]?.digest ?? ''
    await run.fleet.operator(['dispute', 'decide', String(number), '--accept', digest], AUTHORITY_TOKEN)
  },
  restartEntriesGracefully: async (run) => {
    for (const entry of run.fleet.entries) {
      run.gracefulExits.push(await run.fleet.stopGracefully(entry))
      run.fleet.restart(entry)
      await run.fleet.waitUntilReady(entry)
    }
  }
}

export async function measureSoak (): Promise<MeasureReport> {
  const state = exampleState({ rate: RATE_PER_SECOND, burst: BURST })
  const fleet = await ProcessFleet.start({
    control: 3, entries: 4, upstreams: 6, zones: 3, slots: 6, workMilliseconds: 5, pool: 'ledger', desiredState: state
  })
  const run: SoakRun = { fleet, requests: [], stoppedUpstreamCounters: [], state, revokedAt: 0, gracefulExits: [], requestsAfterDeparture: 0, raceExitCodes: [], phase: 'start' }
  try {
    const seconds = await runEvents(run)
    const counters = [...run.stoppedUpstreamCounters, ...await Promise.all(fleet.upstreams.map(async (upstream) => await fleet.counters(upstream)))]
    const findings = checkSoak({
      requests: run.requests,
      counters,
      rate: RATE_PER_SECOND + 2,
      burst: BURST,
      revokedCustomer: REVOKED_CUSTOMER,
      revokedAt: run.revokedAt,
      revocationBoundMilliseconds: REVOCATION_BOUND_MILLISECONDS
    })
    const phases = Object.keys(EVENTS).map((phase) => summarizePhase(phase, run.requests))
    return { name: 'soak', rows: createRows(run, findings, seconds), notes: [`seed ${SEED}`, ...phases] }
  } finally {
    await fleet.stop()
  }
}

/** Runs the callers while the events happen, and returns the duration in seconds. */
async function runEvents (run: SoakRun): Promise<number> {
  const started = performance.now()
  const stop = new AbortController()
  const balancer = ReadyEntries.create(run.fleet.entries)
  const customers = (run.state['customers'] as { name: string }[]).map((customer) => customer.name)
  const callers = customers.map(async (customer, index) => {
    const record = (request: SoakRequest): void => { run.requests.push(request) }
    await runCaller(customer, REQUESTS_PER_SECOND, balancer, SeededRandom.create(SEED + index), stop.signal, () => run.phase, record)
  })
  const watching = balancer.run(stop.signal)
  for (const [name, event] of Object.entries(EVENTS)) {
    run.phase = name
    process.stderr.write(`soak: ${name}\n`)
    await event(run)
    await delay(QUIET_MILLISECONDS)
  }
  stop.abort()
  await Promise.all([...callers, watching])
  return (performance.now() - started) / 1000
}

async function revokeKey (run: SoakRun): Promise<void> {
  const keys = (run.state['keys'] as { customer: string }[]).filter((key) => key.customer !== REVOKED_CUSTOMER)
  const next = { ...run.state, keys, number: run.state.number + 1 }
  for (let accepted = false; !accepted;) accepted = (await run.fleet.apply(next)).exitCode === 0
  run.revokedAt = Date.now()
  Object.assign(run.state, next)
}

function changeRate (state: SoakRun['state'], rate: number): SoakRun['state'] {
  const customers = (state['customers'] as { name: string }[]).map((customer, index) => index === 0 ? { ...customer, rate } : customer)
  return { ...state, customers }
}

function createRows (run: SoakRun, findings: SoakFindings, seconds: number): MeasureRow[] {
  const authorized = run.requests.filter((request) => request.customer !== REVOKED_CUSTOMER)
  const answered = authorized.filter((request) => request.sends.some((send) => send.status === 200)).length
  const firstTime = authorized.filter((request) => request.sends[0]?.status === 200).length
  const limited = authorized.filter((request) => request.sends.some((send) => send.status === 429)).length
  return [
    withoutTarget('length', seconds, 's'),
    withoutTarget('requests of customers that kept their key', authorized.length, ''),
    withoutTarget('answered 200 at the first attempt', 100 * firstTime / authorized.length, '%'),
    withoutTarget('answered 200 after resends', 100 * answered / authorized.length, '%'),
    withoutTarget('refused for exceeding the rate although within it', limited, ''),
    atMost('non-repeatable requests that ran more than once', findings.duplicateRuns, '', 0),
    atMost('requests that ran although every response said "not run"', findings.falseNotRunRefusals, '', 0),
    atMost('answers that are incomplete or belong to another request', findings.mismatchedAnswers, '', 0),
    atMost('answers 200 to requests that no upstream ran', findings.successesWithoutRun, '', 0),
    atMost('runs with a revoked key after 5 s', findings.runsAfterRevocation, '', 0),
    atMost('requests above rate and burst, worst customer', findings.maxAboveLimit, '', 0),
    atMost('requests to a drained upstream after 2 s', run.requestsAfterDeparture, '', 0),
    atMost('graceful stops that did not exit 0', run.gracefulExits.filter((code) => code !== 0).length, `of ${run.gracefulExits.length}`, 0),
    atMost('concurrent applies without exactly one dispute', run.raceExitCodes.filter((code) => code === EXIT_CODE_DISPUTE).length === 1 ? 0 : 1, '', 0)
  ]
}

/** Summarizes the first responses to requests sent during an event. */
function summarizePhase (phase: string, requests: readonly SoakRequest[]): string {
  const counts: Record<string, number> = {}
  for (const request of requests) {
    const [first] = request.sends
    if (request.phase !== phase || first === undefined || request.customer === REVOKED_CUSTOMER) continue
    const kind = `${request.operation} ${first.status} ${first.code}`.trim()
    counts[kind] = (counts[kind] ?? 0) + 1
  }
  return `${phase}: ${Object.entries(counts).map(([kind, count]) => `${kind}: ${count}`).join(', ')}`
}

function itemAt<Item> (items: readonly Item[], index: number): Item {
  return items[index % items.length] as Item
}

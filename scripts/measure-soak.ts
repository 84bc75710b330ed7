/** Load from eight customers by real processes while VMs fail and operators change the fleet; a checker reads the records. */
import { type MeasureReport, type MeasureRow, atMost, figure } from '../packages/bench/src/measure-report.ts'
import { SeededRandom } from '../packages/runtime/src/random.ts'
import { exampleState } from './example-state.ts'
import { AUTHORITY_TOKEN, ProcessFleet, type UpstreamCounters, pause } from './process-fleet.ts'
import { ReadyEntries, type SoakRequest, runCaller } from './soak-caller.ts'
import { type SoakFindings, checkSoak } from './soak-checker.ts'

const SEED = Number(process.env['HICKORYSPOKE_SEED'] ?? 5)
const RATE_PER_SECOND = 20
const SENT_PER_SECOND = 12
const BURST = 20
const WITHDRAWN_CUSTOMER = 'inspectors'
const WITHDRAWAL_BOUND_MILLISECONDS = 5_000
const DEPARTURE_BOUND_MILLISECONDS = 2_000
const CALM_MILLISECONDS = 3_000
const EXIT_CODE_DISPUTE = 4

interface SoakRun {
  readonly fleet: ProcessFleet
  readonly requests: SoakRequest[]
  /** Counters of stand-ins that were stopped on the way. */
  readonly earlier: UpstreamCounters[]
  readonly state: Record<string, unknown> & { number: number }
  withdrawnAt: number
  gracefulExits: number[]
  workAfterDeparture: number
  raceOutcomes: number[]
  phase: string
}

type SoakEvent = (run: SoakRun) => Promise<void>

/** What happens, in order; a calm lies between two events. */
const EVENTS: Readonly<Record<string, SoakEvent>> = {
  nothing: async () => {
    await pause(2 * CALM_MILLISECONDS)
  },
  killEntry: async ({ fleet }) => {
    const entry = at(fleet.entries, 0)
    await fleet.kill(entry)
    await pause(CALM_MILLISECONDS)
    fleet.restart(entry)
  },
  killLeader: async ({ fleet }) => {
    const status = JSON.parse((await fleet.operator(['status', '--json'])).output) as { leader?: string }
    const leader = fleet.control.find((replica) => replica.name === status.leader) ?? at(fleet.control, 0)
    await fleet.kill(leader)
    await pause(CALM_MILLISECONDS)
    fleet.restart(leader)
  },
  upstreamFailsAllWork: async ({ fleet }) => {
    const upstream = at(fleet.upstreams, 1)
    await fleet.setFaults(upstream, { errorShare: 1, healthAnswer: 'always_well' })
    await pause(CALM_MILLISECONDS)
    await fleet.setFaults(upstream, { errorShare: 0 })
  },
  departUpstream: async (run) => {
    const upstream = at(run.fleet.upstreams, 0)
    await run.fleet.drain(upstream)
    await pause(DEPARTURE_BOUND_MILLISECONDS)
    const before = await run.fleet.counters(upstream)
    await pause(CALM_MILLISECONDS)
    const after = await run.fleet.counters(upstream)
    run.workAfterDeparture = after.requests - before.requests
    run.earlier.push(after)
    run.fleet.upstreams.splice(run.fleet.upstreams.indexOf(upstream), 1)
    run.gracefulExits.push(await run.fleet.stopGracefully(upstream))
  },
  withdrawKeyFromFrozenEntry: async (run) => {
    const frozen = at(run.fleet.entries, 1)
    run.fleet.freeze(frozen, true)
    await withdrawKey(run)
    await pause(WITHDRAWAL_BOUND_MILLISECONDS)
    run.fleet.freeze(frozen, false)
  },
  loseAllControl: async ({ fleet }) => {
    for (const replica of fleet.control) await fleet.kill(replica)
    await pause(2 * CALM_MILLISECONDS)
    for (const replica of fleet.control) fleet.restart(replica)
  },
  raceOperators: async (run) => {
    const number = run.state.number + 1
    const candidates = [RATE_PER_SECOND + 1, RATE_PER_SECOND + 2].map((rate) => ({ ...changeRate(run.state, rate), number }))
    const results = await Promise.all(candidates.map(async (candidate) => await run.fleet.apply(candidate)))
    run.raceOutcomes = results.map((result) => result.exitCode)
    const disputes = JSON.parse((await run.fleet.operator(['dispute', 'list', '--json'])).output) as { candidates: { digest: string }[] }[]
    const digest = disputes[0]?.candidates[0]?.digest ?? ''
    await run.fleet.operator(['dispute', 'decide', String(number), '--accept', digest], AUTHORITY_TOKEN)
  },
  restartEntriesGracefully: async (run) => {
    for (const entry of run.fleet.entries) {
      run.gracefulExits.push(await run.fleet.stopGracefully(entry))
      run.fleet.restart(entry)
      await run.fleet.untilReady(entry)
    }
  }
}

export async function measureSoak (): Promise<MeasureReport> {
  const state = exampleState({ rate: RATE_PER_SECOND, burst: BURST })
  const fleet = await ProcessFleet.start({
    control: 3, entries: 4, upstreams: 6, zones: 3, slots: 6, workMilliseconds: 5, pool: 'ledger', desiredState: state
  })
  const run: SoakRun = { fleet, requests: [], earlier: [], state, withdrawnAt: 0, gracefulExits: [], workAfterDeparture: 0, raceOutcomes: [], phase: 'start' }
  try {
    const seconds = await drive(run)
    const counters = [...run.earlier, ...await Promise.all(fleet.upstreams.map(async (upstream) => await fleet.counters(upstream)))]
    const findings = checkSoak({
      requests: run.requests,
      counters,
      rate: RATE_PER_SECOND + 2,
      burst: BURST,
      withdrawnCustomer: WITHDRAWN_CUSTOMER,
      withdrawnAt: run.withdrawnAt,
      withdrawalBoundMilliseconds: WITHDRAWAL_BOUND_MILLISECONDS
    })
    const phases = Object.keys(EVENTS).map((phase) => describePhase(phase, run.requests))
    return { name: 'soak', rows: rowsOf(run, findings, seconds), notes: [`seed ${SEED}`, ...phases] }
  } finally {
    await fleet.stop()
  }
}

/** Runs callers and events side by side; gives the seconds that it took. */
async function drive (run: SoakRun): Promise<number> {
  const started = performance.now()
  const stop = new AbortController()
  const balancer = ReadyEntries.create(run.fleet.entries)
  const customers = (run.state['customers'] as { name: string }[]).map((customer) => customer.name)
  const callers = customers.map(async (customer, index) => {
    const record = (request: SoakRequest): void => { run.requests.push(request) }
    await runCaller(customer, SENT_PER_SECOND, balancer, SeededRandom.create(SEED + index), stop.signal, () => run.phase, record)
  })
  const watching = balancer.run(stop.signal)
  for (const [name, event] of Object.entries(EVENTS)) {
    run.phase = name
    process.stderr.write(`soak: ${name}\n`)
    await event(run)
    await pause(CALM_MILLISECONDS)
  }
  stop.abort()
  await Promise.all([...callers, watching])
  return (performance.now() - started) / 1000
}

async function withdrawKey (run: SoakRun): Promise<void> {
  const keys = (run.state['keys'] as { customer: string }[]).filter((key) => key.customer !== WITHDRAWN_CUSTOMER)
  const next = { ...run.state, keys, number: run.state.number + 1 }
  for (let accepted = false; !accepted;) accepted = (await run.fleet.apply(next)).exitCode === 0
  run.withdrawnAt = Date.now()
  Object.assign(run.state, next)
}

function changeRate (state: SoakRun['state'], rate: number): SoakRun['state'] {
  const customers = (state['customers'] as { name: string }[]).map((customer, index) => index === 0 ? { ...customer, rate } : customer)
  return { ...state, customers }
}

function rowsOf (run: SoakRun, findings: SoakFindings, seconds: number): MeasureRow[] {
  const kept = run.requests.filter((request) => request.customer !== WITHDRAWN_CUSTOMER)
  const answered = kept.filter((request) => request.sends.some((send) => send.status === 200)).length
  const firstTime = kept.filter((request) => request.sends[0]?.status === 200).length
  const limited = kept.filter((request) => request.sends.some((send) => send.status === 429)).length
  return [
    figure('length', seconds, 's'),
    figure('requests of customers that kept their key', kept.length, ''),
    figure('answered 200 at the first send', 100 * firstTime / kept.length, '%'),
    figure('answered 200 after resends', 100 * answered / kept.length, '%'),
    figure('refused as over the rate although within it', limited, ''),
    atMost('requests that may not repeat and ran twice', findings.doubledRuns, '', 0),
    atMost('refusals "not run" that were untrue', findings.untrueRefusals, '', 0),
    atMost('answers that belong to another request, or not whole', findings.foreignAnswers, '', 0),
    atMost('answers 200 that no upstream ran', findings.lostSuccesses, '', 0),
    atMost('runs of a withdrawn key after 5 s', findings.runsAfterWithdrawal, '', 0),
    atMost('requests above rate and burst, worst customer', findings.mostAboveShare, '', 0),
    atMost('requests to a departed upstream after 2 s', run.workAfterDeparture, '', 0),
    atMost('graceful stops that did not exit 0', run.gracefulExits.filter((code) => code !== 0).length, `of ${run.gracefulExits.length}`, 0),
    atMost('races of operators without exactly one dispute', run.raceOutcomes.filter((code) => code === EXIT_CODE_DISPUTE).length === 1 ? 0 : 1, '', 0)
  ]
}

/** First answers by code while an event went on. */
function describePhase (phase: string, requests: readonly SoakRequest[]): string {
  const counts: Record<string, number> = {}
  for (const request of requests) {
    const [first] = request.sends
    if (request.phase !== phase || first === undefined || request.customer === WITHDRAWN_CUSTOMER) continue
    const kind = `${request.operation} ${first.status} ${first.code}`.trim()
    counts[kind] = (counts[kind] ?? 0) + 1
  }
  return `${phase}: ${Object.entries(counts).map(([kind, count]) => `${kind}: ${count}`).join(', ')}`
}

function at<Item> (items: readonly Item[], index: number): Item {
  return items[index % items.length] as Item
}

/** Measures the processor time of the dispatcher for a question, an end and a tick, against the number of waiting requests and refusals. */
import { CustomerRateLimiter } from '@hickoryspoke/dispatch/customer-rate-limiter'
import { DEFAULT_DISPATCH_POLICY } from '@hickoryspoke/dispatch/dispatch-policy'
import { Dispatcher } from '@hickoryspoke/dispatch/dispatcher'
import type { EntryConnection } from '@hickoryspoke/dispatch/entry-connection'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import { PlacementOutcome, type DispatchMessage, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'
import { SteppedClock } from './stepped-clock.ts'

interface QueueScenario {
  readonly name: string
  /** Number of requests that are kept waiting in the largest pool; 0 for arrivals at the usual rate. */
  readonly waiting: number
  /** Share of the requests that upstreams refuse. */
  readonly refusedShare: number
  /** Whether upstreams are chosen by expected cost. */
  readonly expectedCost: boolean
  /** Whether customers wait in turn. */
  readonly fairAdmission?: true
}

interface Kind {
  readonly pool: string
  readonly ratePerSecond: number
  readonly workMilliseconds: number
  readonly targetMilliseconds: number
  readonly patienceMilliseconds: number
  readonly priority: number
  readonly mayRepeat: boolean
}

const SEED = 1
const ENTRIES = 127
const SLOTS = 6
const POOLS: Readonly<Record<string, number>> = { reads: 64, withdrawals: 166, shipments: 52 }
const LARGEST_POOL = 'withdrawals'
const KINDS: readonly Kind[] = [
  { pool: 'reads', ratePerSecond: 149, workMilliseconds: 815, targetMilliseconds: 2_508, patienceMilliseconds: 12_040, priority: 2, mayRepeat: true },
  { pool: LARGEST_POOL, ratePerSecond: 501, workMilliseconds: 630, targetMilliseconds: 2_510, patienceMilliseconds: 15_052, priority: 1, mayRepeat: false },
  { pool: 'shipments', ratePerSecond: 158, workMilliseconds: 436, targetMilliseconds: 1_205, patienceMilliseconds: 8_031, priority: 0, mayRepeat: false },
  { pool: 'shipments', ratePerSecond: 60, workMilliseconds: 495, targetMilliseconds: 1_505, patienceMilliseconds: 10_030, priority: 2, mayRepeat: false }
]
const WARMUP_MILLISECONDS = 2_500
const RUN_MILLISECONDS = 2_500
const TICK_MILLISECONDS = 50
/** Calls of one step are measured together, since the measurement has a cost of its own. */
const STEP_MILLISECONDS = 10
const MAXIMUM_ARRIVALS = 100
const REFUSAL_MILLISECONDS = 5
const LOADS: readonly Omit<QueueScenario, 'expectedCost'>[] = [
  { name: 'none waiting', waiting: 0, refusedShare: 0 },
  { name: '800 waiting', waiting: 800, refusedShare: 0 },
  { name: '3,000 waiting', waiting: 3_000, refusedShare: 0 },
  { name: 'none waiting, upstreams refuse 0.3', waiting: 0, refusedShare: 0.3 },
  { name: '800 waiting, upstreams refuse 0.3', waiting: 800, refusedShare: 0.3 },
  { name: '3,000 waiting, upstreams refuse 0.3', waiting: 3_000, refusedShare: 0.3 },
  { name: 'fair admission, none waiting', waiting: 0, refusedShare: 0, fairAdmission: true },
  { name: 'fair admission, 800 waiting', waiting: 800, refusedShare: 0, fairAdmission: true },
  { name: 'fair admission, 3,000 waiting', waiting: 3_000, refusedShare: 0, fairAdmission: true }
]
const SCENARIOS: readonly QueueScenario[] = [false, true].flatMap((expectedCost) => {
  return LOADS.map((load) => ({ ...load, expectedCost, name: expectedCost ? `${load.name}, expected cost` : load.name }))
})

/** Processor time of one kind of call. */
class CallCost {
  private calls = 0
  private microseconds = 0

  /** Runs a number of calls. */
  measure (calls: number, task: () => void): void {
    if (calls === 0) return
    const began = process.cpuUsage()
    task()
    const { user, system } = process.cpuUsage(began)
    this.calls += calls
    this.microseconds += user + system
  }

  get mean (): number {
    return this.microseconds / Math.max(1, this.calls)
  }
}

type Costs = Record<'question' | 'end' | 'tick' | 'timers', CallCost>

/** A dispatcher with the pools above, its entries, and upstreams that answer after a random time. */
class QueueRun {
  private readonly clock = SteppedClock.create()
  private readonly random = SeededRandom.create(SEED)
  private readonly registry = UpstreamRegistry.create(this.clock)
  private readonly dispatcher: Dispatcher
  private readonly entries: EntryConnection[]
  private readonly asked = new Map<number, Kind>()
  private readonly ends = new Map<number, (() => void)[]>()
  private lastTicket = 0
  private waiting = 0
  private costs = createCosts()

  private constructor (private readonly scenario: QueueScenario) {
    const rates = CustomerRateLimiter.createWithFullBursts()
    const budget = { ratio: 0.2, slack: 208, windowMilliseconds: 10_000 }
    this.entries = Array.from({ length: ENTRIES }, (_, index) => this.createEntry(`entry-${index}`, `zone-${index % 3}`))
    for (const [pool, count] of Object.entries(POOLS)) this.announce(pool, count)
    const policy = { ...DEFAULT_DISPATCH_POLICY, expectedCost: scenario.expectedCost, fairAdmission: scenario.fairAdmission === true }
    this.dispatcher = Dispatcher.create({
      clock: this.clock, logger: silentLogger(), registry: this.registry, rates, budget, floorShare: 0.7, policy: () => policy
    })
  }

  static create (scenario: QueueScenario): QueueRun {
    return new QueueRun(scenario)
  }

  run (): Costs {
    this.advance(WARMUP_MILLISECONDS)
    this.costs = createCosts()
    this.advance(RUN_MILLISECONDS)
    return this.costs
  }

  private advance (milliseconds: number): void {
    for (let step = 0; step < milliseconds; step += STEP_MILLISECONDS) {
      this.costs.timers.measure(STEP_MILLISECONDS, () => this.clock.advance(STEP_MILLISECONDS))
      const now = this.clock.monotonicMilliseconds()
      const ends = this.ends.get(now) ?? []
      this.ends.delete(now)
      this.costs.end.measure(ends.length, () => ends.forEach((end) => end()))
      if (now % TICK_MILLISECONDS === 0) this.costs.tick.measure(1, () => this.dispatcher.tick())
      const questions = this.arrivals()
      this.costs.question.measure(questions.length, () => questions.forEach((question) => this.ask(question)))
    }
  }

  private arrivals (): PlacementQuestion[] {
    const kinds = KINDS.flatMap((kind) => Array.from({ length: this.arrivalsOf(kind) }, () => kind))
    return kinds.map((kind) => this.createQuestion(kind))
  }

  private arrivalsOf (kind: Kind): number {
    const usual = Math.floor(kind.ratePerSecond * STEP_MILLISECONDS / 1_000 + this.random.next())
    if (kind.pool !== LARGEST_POOL || this.scenario.waiting === 0) return usual
    return Math.max(usual, Math.min(MAXIMUM_ARRIVALS, this.scenario.waiting - this.waiting))
  }

  private createQuestion (kind: Kind): PlacementQuestion {
    this.lastTicket += 1
    const { pool, targetMilliseconds, patienceMilliseconds, priority, mayRepeat } = kind
    const ticket = this.lastTicket
    this.asked.set(ticket, kind)
    if (pool === LARGEST_POOL) this.waiting += 1
    return {
      ticket,
      pool,
      customer: `customer-${ticket % 88}`,
      priority,
      mayRepeat,
      targetMilliseconds,
      patienceMilliseconds,
      excluded: [],
      attempt: 0,
      fingerprint: ticket,
      route: `${pool}-${priority}`,
      charged: false,
      allowedRegions: [],
      bodyBytes: undefined
    }
  }

  private ask (question: PlacementQuestion): void {
    this.dispatcher.ask(this.entries[question.ticket % ENTRIES] as EntryConnection, question)
  }

  private receive (connection: EntryConnection, { body }: DispatchMessage): void {
    if (body?.$case !== 'placement' && body?.$case !== 'denial') return
    const { ticket } = body.value
    const kind = this.asked.get(ticket)
    if (kind === undefined) return
    this.asked.delete(ticket)
    if (kind.pool === LARGEST_POOL) this.waiting -= 1
    if (body.$case === 'placement') this.serve(connection, ticket, body.value.instance, kind)
  }

  private serve (connection: EntryConnection, ticket: number, instance: string, kind: Kind): void {
    const isRefused = this.random.next() < this.scenario.refusedShare
    const milliseconds = isRefused ? REFUSAL_MILLISECONDS : Math.ceil(kind.workMilliseconds * (0.3 - 0.7 * Math.log(1 - this.random.next())))
    const outcome = isRefused ? PlacementOutcome.PLACEMENT_OUTCOME_REFUSED : PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED
    const at = Math.ceil((this.clock.monotonicMilliseconds() + milliseconds + 1) / STEP_MILLISECONDS) * STEP_MILLISECONDS
    const ends = this.ends.get(at) ?? []
    this.ends.set(at, ends)
    ends.push(() => {
      this.dispatcher.end(connection, { ticket, outcome, milliseconds, load: undefined, statedLimit: undefined, instance })
    })
  }

  private createEntry (entry: string, zone: string): EntryConnection {
    const connection: EntryConnection = { entry, zone, send: (message) => this.receive(connection, message) }
    return connection
  }

  private announce (pool: string, count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.registry.announce({
        instance: `${pool}-${index}`,
        pool,
        address: `10.${Object.keys(POOLS).indexOf(pool)}.0.${index + 1}:80`,
        zone: `zone-${index % 3}`,
        slots: SLOTS,
        draining: false,
        warmupMilliseconds: 0,
        born: 1,
        sequence: 1,
        version: '',
        gone: false
      })
    }
  }
}

/** Runs each scenario once, after a run that lets the compiler see every kind of call. */
export async function measureDispatchQueue (): Promise<MeasureReport> {
  for (const scenario of SCENARIOS) QueueRun.create(scenario).run()
  return { name: 'dispatch-queue', rows: SCENARIOS.flatMap(measureScenario), notes: NOTES }
}

function createCosts (): Costs {
  return { question: new CallCost(), end: new CallCost(), tick: new CallCost(), timers: new CallCost() }
}

function measureScenario (scenario: QueueScenario): MeasureRow[] {
  const costs = QueueRun.create(scenario).run()
  const row = (name: keyof Costs, unit: string): MeasureRow => withoutTarget(`${scenario.name}: ${name}`, costs[name].mean, unit)
  return [
    row('question', 'microseconds each'), row('end', 'microseconds each'),
    row('tick', 'microseconds each'), row('timers', 'microseconds a millisecond')
  ]
}

const NOTES = ['Simulated time; processor time of the process, without messages between processes.']

/** Simulates a dispatcher, its entries and upstreams with episodes of gray failure, in simulated time. */
import { Dispatcher } from '@hickoryspoke/dispatch/dispatcher'
import type { EntryConnection } from '@hickoryspoke/dispatch/entry-connection'
import { CustomerRateLimiter } from '@hickoryspoke/dispatch/customer-rate-limiter'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import { PlacementOutcome, type DispatchMessage, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { nextArrivalMilliseconds, type SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { GrayUpstream, type GrayFailureConfig } from './gray-upstream.ts'

/** A class of requests with the same arrival rate, work and deadlines. */
export interface RequestKind {
  readonly name: string
  readonly ratePerSecond: number
  readonly workMilliseconds: number
  /** Standard deviation of the logarithm of the work, which has a log-normal distribution. */
  readonly workDeviation: number
  readonly targetMilliseconds: number
  readonly timeoutMilliseconds: number
  readonly priority: number
  readonly mayRepeat: boolean
}

/** One pool and the load on it. */
export interface DispatchScenario {
  readonly name: string
  readonly upstreams: number
  readonly slots: number
  readonly requestKinds: readonly RequestKind[]
  readonly grayFailures: GrayFailureConfig
  /** Factor by which the arrival rates are multiplied at a given time in milliseconds. */
  readonly load?: (milliseconds: number) => number
}

/** Numbers of requests of a run by outcome. */
export interface DispatchCounts {
  arrived: number
  inTime: number
  late: number
  /** Failed by an upstream during an episode. */
  lost: number
  /** Answered with a server error that has nothing to do with an episode. */
  failed: number
  refused: number
  timedOut: number
  episodes: number
}

interface RunningRequest {
  readonly kind: RequestKind
  readonly arrivedAt: number
  readonly question: PlacementQuestion
  attempt: number
}

const ONE_WAY_MILLISECONDS = 4
const SERVER_ERROR_SHARE = 0.012
const TICK_MILLISECONDS = 50
const RETRY_BUDGET = { ratio: 0.2, slack: 60, windowMilliseconds: 10_000 }
const FLOOR_SHARE = 0.7
const ENTRIES = 40

/** Runs one scenario. */
export class DispatchSimulation {
  private readonly clock = FakeClock.create()
  private readonly registry = UpstreamRegistry.create(this.clock)
  private readonly upstreams = new Map<string, GrayUpstream>()
  private readonly running = new Map<string, RunningRequest>()
  private readonly dispatcher: Dispatcher
  private readonly entries: EntryConnection[] = []
  private lastTicket = 0
  readonly counts: DispatchCounts = { arrived: 0, inTime: 0, late: 0, lost: 0, failed: 0, refused: 0, timedOut: 0, episodes: 0 }

  private constructor (private readonly scenario: DispatchScenario, private readonly random: SeededRandom) {
    this.dispatcher = Dispatcher.create({
      clock: this.clock,
      logger: silentLogger(),
      registry: this.registry,
      rates: CustomerRateLimiter.createWithFullBursts(),
      budget: RETRY_BUDGET,
      floorShare: FLOOR_SHARE
    })
    this.registry.onChange((changed) => this.dispatcher.updateUpstreams(changed))
    for (let index = 0; index < scenario.upstreams; index += 1) this.addUpstream(`upstream-${index}`, index)
    for (let index = 0; index < ENTRIES; index += 1) this.addEntry(`entry-${index}`, `zone-${index % 4}`)
  }

  static create (scenario: DispatchScenario, random: SeededRandom): DispatchSimulation {
    return new DispatchSimulation(scenario, random)
  }

  /** Lets requests arrive for the given time and counts their outcomes. */
  run (milliseconds: number): DispatchCounts {
    for (const kind of this.scenario.requestKinds) this.scheduleArrival(kind, milliseconds)
    const tick = (): void => {
      this.dispatcher.tick()
      this.clock.schedule(TICK_MILLISECONDS, tick)
    }
    tick()
    this.clock.advance(milliseconds + 10_000)
    for (const upstream of this.upstreams.values()) this.counts.episodes += upstream.episodesBefore(milliseconds)
    return this.counts
  }

  private addUpstream (instance: string, index: number): void {
    const { slots, grayFailures } = this.scenario
    this.upstreams.set(instance, GrayUpstream.create(this.clock, this.random, slots, grayFailures))
    this.registry.announce({
      instance,
      pool: 'pool',
      address: `10.0.${index >> 8}.${index & 255}:80`,
      zone: `zone-${index % 4}`,
      slots,
      draining: false,
      warmupMilliseconds: 0,
      born: 1,
      sequence: 1,
      version: '',
      gone: false
    })
  }

  private addEntry (entry: string, zone: string): void {
    const send = (message: DispatchMessage): void => {
      this.clock.schedule(ONE_WAY_MILLISECONDS, () => this.receive(connection, message))
    }
    const connection: EntryConnection = { entry, zone, send }
    this.entries.push(connection)
  }

  private scheduleArrival (kind: RequestKind, until: number): void {
    const factor = this.scenario.load?.(this.clock.monotonicMilliseconds()) ?? 1
    this.clock.schedule(nextArrivalMilliseconds(this.random, kind.ratePerSecond * factor), () => {
      if (this.clock.monotonicMilliseconds() >= until) return
      this.arrive(kind)
      this.scheduleArrival(kind, until)
    })
  }

  private arrive (kind: RequestKind): void {
    this.counts.arrived += 1
    this.lastTicket += 1
    const question: PlacementQuestion = {
      ticket: this.lastTicket,
      pool: 'pool',
      customer: '',
      priority: kind.priority,
      mayRepeat: kind.mayRepeat,
      targetMilliseconds: kind.targetMilliseconds,
      patienceMilliseconds: kind.timeoutMilliseconds,
      excluded: [],
      attempt: 0,
      fingerprint: this.lastTicket,
      route: kind.name,
      charged: false,
      allowedRegions: [],
      bodyBytes: undefined
    }
    const connection = this.entries[this.lastTicket % ENTRIES] as EntryConnection
    const running = { kind, arrivedAt: this.clock.monotonicMilliseconds(), question, attempt: 0 }
    this.running.set(`${connection.entry}/${question.ticket}`, running)
    this.ask(connection, running)
  }

  private ask (connection: EntryConnection, { question }: RunningRequest): void {
    this.clock.schedule(ONE_WAY_MILLISECONDS, () => this.dispatcher.ask(connection, question))
  }

  private receive (connection: EntryConnection, { body }: DispatchMessage): void {
    if (body?.$case === 'denial') {
      this.running.delete(`${connection.entry}/${body.value.ticket}`)
      this.counts.refused += 1
    }
    if (body?.$case === 'placement') this.sendToUpstream(connection, body.value.ticket, body.value.instance)
  }

  private sendToUpstream (connection: EntryConnection, ticket: number, instance: string): void {
    const running = this.running.get(`${connection.entry}/${ticket}`)
    if (running === undefined) return
    const { kind, arrivedAt } = running
    const sentAt = this.clock.monotonicMilliseconds()
    const patience = Math.max(1, arrivedAt + kind.timeoutMilliseconds - sentAt)
    const work = kind.workMilliseconds * Math.exp(kind.workDeviation * this.nextStandardNormal() - kind.workDeviation ** 2 / 2)
    this.upstreams.get(instance)?.handle(work, patience, (result) => {
      const milliseconds = this.clock.monotonicMilliseconds() - sentAt
      const outcome = result === PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED && this.random.next() < SERVER_ERROR_SHARE
        ? PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR
        : result
      this.clock.schedule(ONE_WAY_MILLISECONDS, () => {
        this.dispatcher.end(connection, { ticket, outcome, milliseconds, load: undefined, statedLimit: undefined, notice: undefined, instance })
      })
      this.finish(connection, running, instance, outcome)
    })
  }

  private finish (connection: EntryConnection, running: RunningRequest, instance: string, outcome: PlacementOutcome): void {
    const { kind, question, arrivedAt } = running
    const elapsed = this.clock.monotonicMilliseconds() - arrivedAt
    const isNotRun = outcome === PlacementOutcome.PLACEMENT_OUTCOME_REFUSED
    if (outcome !== PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED && (kind.mayRepeat || isNotRun) && running.attempt < 1) {
      const retry = {
        ...running,
        attempt: 1,
        question: {
          ...question,
          attempt: 1,
          excluded: [instance],
          targetMilliseconds: kind.targetMilliseconds - elapsed,
          patienceMilliseconds: kind.timeoutMilliseconds - elapsed,
          charged: true
        }
      }
      this.running.set(`${connection.entry}/${question.ticket}`, retry)
      return this.ask(connection, retry)
    }
    this.running.delete(`${connection.entry}/${question.ticket}`)
    if (outcome === PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED) {
      if (elapsed <= kind.targetMilliseconds) this.counts.inTime += 1
      else this.counts.late += 1
    } else if (outcome === PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR) this.counts.failed += 1
    else if (outcome === PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT) this.counts.timedOut += 1
    else if (isNotRun) this.counts.refused += 1
    else this.counts.lost += 1
  }

  /** Returns a number from the standard normal distribution by the Box-Muller transform. */
  private nextStandardNormal (): number {
    return Math.sqrt(-2 * Math.log(1 - this.random.next())) * Math.cos(2 * Math.PI * this.random.next())
  }
}

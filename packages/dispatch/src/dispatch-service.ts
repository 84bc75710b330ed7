/** The serving side of `Dispatch`: one task a stream on the leading control VM, and a way to the leader on the others. */
import type { ServerDuplexStream, UntypedServiceImplementation } from '@grpc/grpc-js'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import type { DispatchHello, DispatchMessage, EntryMessage, LeaderNotice, Suspicion, UpstreamUpdate } from '@hickoryspoke/protocol/generated/dispatch'
import { mayActAs } from '@hickoryspoke/protocol/peer-identity'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { CustomerRates, type OverageTerms, type RateTerms } from './customer-rates.ts'
import { Dispatcher, type Attendant } from './dispatcher.ts'
import type { PoolView } from './pool-dispatcher.ts'
import type { BudgetTerms } from './request-budget.ts'
import { ServingHistory } from './serving-history.ts'
import { SuspicionNews } from './suspicion-news.ts'
import type { HeldUpstream, UpstreamRegistry } from './upstream-registry.ts'

type AttendCall = ServerDuplexStream<EntryMessage, DispatchMessage>

/** What the service asks of the replicated log. Addresses are IP:PORT of inner ports. */
export interface ControlView {
  isLeader (): boolean
  leaderAddress (): string
  controlAddresses (): readonly string[]
  /** Number of the configuration in force after confirming leadership; undefined when it cannot be confirmed. */
  confirmNumber (): Promise<number | undefined>
}

/** What the service works with. */
export interface DispatchServiceParts {
  readonly clock: Clock
  readonly logger: Logger
  readonly control: ControlView
  readonly registry: UpstreamRegistry
  readonly budget: BudgetTerms
  readonly overage: OverageTerms
  /** Part of a pool's sound upstreams that must have requests. */
  readonly floorShare: number
  /** Whether certainly no earlier dispatcher spent any customer's burst. */
  readonly startsUnspent: () => boolean
}

const QUEUE_TICK_MILLISECONDS = 50

/** One stream that has said who it is. */
interface Attendance {
  readonly call: AttendCall
  readonly attendant: Attendant
  readonly mirror: boolean
  heldNumber: number
}

/** Streams of entries and of the other control VMs. */
export class DispatchService {
  private readonly attendances = new Map<string, Attendance>()
  private readonly history = ServingHistory.create()
  private readonly suspicions: SuspicionNews
  private dispatcher: Dispatcher | undefined
  private askers: { readonly attendance: Attendance, readonly question: number }[] = []
  private confirming = false
  private terms = new Map<string, RateTerms>()
  private termsNumber: number | undefined

  private constructor (private readonly parts: DispatchServiceParts) {
    this.suspicions = SuspicionNews.create(parts.clock)
    parts.registry.onChange((changed) => this.spreadUpstreams(changed))
  }

  static create (parts: DispatchServiceParts): DispatchService {
    return new DispatchService(parts)
  }

  handlers (): UntypedServiceImplementation {
    return { attend: (call: AttendCall) => this.receive(call) }
  }

  /** Follows changes of leadership until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.parts.clock, QUEUE_TICK_MILLISECONDS, signal, () => {
      this.followLeadership()
      this.dispatcher?.tick()
      this.spreadSuspicions()
    })
  }

  /** Entries that attend now. */
  get entries (): number {
    return [...this.attendances.values()].filter((attendance) => !attendance.mirror).length
  }

  /** Pools as the dispatcher sees them; none where it does not run. */
  pools (): PoolView[] {
    return this.dispatcher?.views() ?? []
  }

  /** Whether an upstream answered its last request. */
  isInUse (upstream: HeldUpstream): boolean {
    return this.dispatcher?.isInUse(upstream) ?? true
  }

  /** Remembers what the leader suspects, in case this process leads next. */
  takeSuspicions (suspicions: readonly Suspicion[]): void {
    this.suspicions.hear(suspicions)
  }

  /** Puts a configuration in force at the entries. */
  publish (configuration: ServingConfiguration): void {
    this.history.add(configuration)
    for (const attendance of this.attendances.values()) this.sendConfiguration(attendance)
  }

  /** Takes up or lays down the dispatcher as leadership comes and goes. */
  followLeadership (): void {
    const leads = this.parts.control.isLeader()
    if (leads === (this.dispatcher !== undefined)) return
    if (leads) this.begin()
    else this.layDown()
  }

  private begin (): void {
    const { clock, logger, registry, budget, overage, floorShare } = this.parts
    const rates = this.parts.startsUnspent() ? CustomerRates.createUnspent() : CustomerRates.createAfterOther(overage)
    rates.setTerms((name) => this.customerTerms(name))
    registry.refresh()
    this.dispatcher = Dispatcher.create({ clock, logger, registry, rates, budget, floorShare })
    const { heard } = this.suspicions
    if (heard !== undefined) this.dispatcher.adopt(heard.suspicions, heard.at)
    logger.info('dispatcher began', { suspected: heard?.suspicions.length ?? 0, upstreams: registry.present().length, configuration: this.history.newest?.number ?? 0 })
  }

  private layDown (): void {
    this.dispatcher?.close()
    this.dispatcher = undefined
    this.parts.logger.info('dispatcher ended', { entries: this.entries })
    for (const attendance of this.attendances.values()) this.pointToLeader(attendance.call)
    this.attendances.clear()
  }

  /** Rate and burst of a customer under the newest configuration. */
  private customerTerms (name: string): RateTerms | undefined {
    if (this.termsNumber !== this.history.newest?.number) {
      this.termsNumber = this.history.newest?.number
      this.terms = new Map(this.history.newest?.customers.map((customer) => [customer.name, customer]))
    }
    return this.terms.get(name)
  }

  private receive (call: AttendCall): void {
    let attendance: Attendance | undefined
    call.on('data', (message: EntryMessage) => {
      if (attendance === undefined) attendance = this.admit(call, message)
      else this.handle(attendance, message)
    })
    const end = (): void => {
      if (attendance !== undefined) this.forget(attendance)
      call.end()
    }
    call.on('end', end)
    call.on('cancelled', end)
    call.on('error', (error) => {
      this.parts.logger.info('stream of an entry failed', { entry: attendance?.attendant.entry, reason: describeError(error) })
      end()
    })
  }

  private admit (call: AttendCall, message: EntryMessage): Attendance | undefined {
    const hello = message.body?.$case === 'hello' ? message.body.value : undefined
    this.followLeadership()
    if (hello === undefined || !mayActAs(call, hello.name) || this.dispatcher === undefined) {
      this.pointToLeader(call)
      return undefined
    }
    this.parts.registry.merge(hello.upstreams)
    const attendance = this.enter(call, hello)
    call.write({ body: { $case: 'leader', value: this.notice(true) } })
    this.sendConfiguration(attendance)
    this.sendUpstreams(attendance, { whole: true, upstreams: this.parts.registry.announcements() })
    if (!attendance.mirror) this.dispatcher.inherit(attendance.attendant, hello)
    return attendance
  }

  private enter (call: AttendCall, hello: DispatchHello): Attendance {
    const attendant: Attendant = { entry: hello.name, zone: hello.zone, send: (message) => { call.write(message) } }
    const attendance = { call, attendant, mirror: hello.mirror, heldNumber: hello.configurationNumber }
    this.attendances.get(hello.name)?.call.end()
    this.attendances.set(hello.name, attendance)
    this.parts.logger.info('entry attends', { entry: hello.name, zone: hello.zone, configuration: hello.configurationNumber, running: hello.running.length })
    return attendance
  }

  private forget (attendance: Attendance): void {
    const { entry } = attendance.attendant
    if (this.attendances.get(entry) !== attendance) return
    this.attendances.delete(entry)
    this.parts.logger.info('entry left', { entry })
  }

  private pointToLeader (call: AttendCall): void {
    call.write({ body: { $case: 'leader', value: this.notice(false) } })
    call.end()
  }

  private notice (serving: boolean): LeaderNotice {
    const { control } = this.parts
    return { leader: control.leaderAddress(), control: [...control.controlAddresses()], serving }
  }

  private handle (attendance: Attendance, message: EntryMessage): void {
    const { body } = message
    if (this.dispatcher === undefined || body === undefined) return
    switch (body.$case) {
      case 'question': return this.dispatcher.ask(attendance.attendant, body.value)
      case 'end': return this.dispatcher.end(attendance.attendant, body.value)
      case 'number': return this.answerNumber(attendance, body.value.question)
    }
  }

  private answerNumber (attendance: Attendance, question: number): void {
    this.askers.push({ attendance, question })
    if (!this.confirming) void this.confirm()
  }

  /** One confirmation answers all questions that came before it began. */
  private async confirm (): Promise<void> {
    this.confirming = true
    while (this.askers.length > 0) {
      const asked = this.askers
      this.askers = []
      const number = await this.parts.control.confirmNumber()
      if (number === undefined) break
      for (const { attendance, question } of asked) attendance.call.write({ body: { $case: 'number', value: { question, number, entries: this.entries } } })
    }
    this.confirming = false
  }

  private sendConfiguration (attendance: Attendance): void {
    const update = this.history.updateFrom(attendance.heldNumber)
    if (update === undefined || attendance.mirror) return
    attendance.heldNumber = update.number
    attendance.call.write({ body: { $case: 'configuration', value: update } })
  }

  private spreadUpstreams (changed: readonly HeldUpstream[]): void {
    this.dispatcher?.updateAll(changed)
    const update = { whole: false, upstreams: this.announcements(changed) }
    for (const attendance of this.attendances.values()) this.sendUpstreams(attendance, update)
  }

  private spreadSuspicions (): void {
    const { dispatcher } = this
    const suspicions = dispatcher === undefined ? undefined : this.suspicions.next(() => dispatcher.suspicions())
    if (suspicions === undefined) return
    for (const { call } of this.attendances.values()) call.write({ body: { $case: 'suspicions', value: { suspicions } } })
  }

  private sendUpstreams (attendance: Attendance, update: UpstreamUpdate): void {
    attendance.call.write({ body: { $case: 'upstreams', value: update } })
  }

  private announcements (held: readonly HeldUpstream[]): UpstreamUpdate['upstreams'] {
    return held.map((upstream) => upstream.announced)
  }
}

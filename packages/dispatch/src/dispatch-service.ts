/** The gRPC service `Dispatch`: serves streams on the leading control VM, and redirects clients to the leader on the others. */
import type { ServerDuplexStream, UntypedServiceImplementation } from '@grpc/grpc-js'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import type { DispatchHello, DispatchMessage, EntryMessage, LeaderNotice, Suspicion, UpstreamUpdate } from '@hickoryspoke/protocol/generated/dispatch'
import { mayActAs } from '@hickoryspoke/protocol/peer-identity'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { CustomerRateLimiter, type OverageAllowance, type RateLimit } from './customer-rate-limiter.ts'
import { Dispatcher, type EntryConnection } from './dispatcher.ts'
import type { PoolSnapshot } from './pool-dispatcher.ts'
import type { FleetRetryBudgetSettings } from './fleet-retry-budget.ts'
import { ConfigurationHistory } from './configuration-history.ts'
import { MessageLoad } from './message-load.ts'
import { SuspicionSync } from './suspicion-sync.ts'
import type { RegisteredUpstream, UpstreamRegistry } from './upstream-registry.ts'

type DispatchCall = ServerDuplexStream<EntryMessage, DispatchMessage>

/** The state of the replicated log that the service needs. Addresses are IP:PORT of inner ports. */
export interface ClusterView {
  isLeader (): boolean
  leaderAddress (): string
  controlAddresses (): readonly string[]
  /** Number of the newest configuration, once leadership is confirmed; undefined when it cannot be confirmed. */
  confirmNumber (): Promise<number | undefined>
}

/** Dependencies and settings of a `DispatchService`. */
export interface DispatchServiceOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly control: ClusterView
  readonly registry: UpstreamRegistry
  readonly budget: FleetRetryBudgetSettings
  readonly overage: OverageAllowance
  /** Share of a pool's sound upstreams that must receive requests; 0 for none. */
  readonly floorShare: number
  /** Whether it is certain that no earlier dispatcher spent any customer's burst. */
  readonly startsWithFullBursts: () => boolean
}

const QUEUE_TICK_MILLISECONDS = 50

/** A stream whose client has identified itself with a hello. */
interface ClientSession {
  readonly call: DispatchCall
  readonly connection: EntryConnection
  readonly mirror: boolean
  heldNumber: number
}

/** Serves the streams of entries and of the other control VMs, and runs the dispatcher while this process leads. */
export class DispatchService {
  private readonly sessions = new Map<string, ClientSession>()
  private readonly history = ConfigurationHistory.create()
  private readonly suspicions: SuspicionSync
  private readonly load = MessageLoad.create()
  private dispatcher: Dispatcher | undefined
  private numberRequests: { readonly session: ClientSession, readonly question: number }[] = []
  private isConfirming = false
  /** Rate limits by customer, from the configuration with the number below. */
  private terms = new Map<string, RateLimit>()
  private termsConfigurationNumber: number | undefined

  private constructor (private readonly options: DispatchServiceOptions) {
    this.suspicions = SuspicionSync.create(options.clock)
    options.registry.onChange((changed) => this.broadcastUpstreams(changed))
  }

  static create (options: DispatchServiceOptions): DispatchService {
    return new DispatchService(options)
  }

  handlers (): UntypedServiceImplementation {
    return { attend: (call: DispatchCall) => this.acceptStream(call) }
  }

  /** Follows leadership changes, retries waiting requests and broadcasts suspicions until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.options.clock, QUEUE_TICK_MILLISECONDS, signal, () => {
      this.updateLeadership()
      this.dispatcher?.tick()
      this.broadcastSuspicions()
    })
  }

  /** Number of connected entries. */
  get entries (): number {
    return [...this.sessions.values()].filter((session) => !session.mirror).length
  }

  /** Numbers of messages and milliseconds spent on them since the previous call, by kind, as fields for a log line. */
  readLoad (): Record<string, number> {
    const fields: Record<string, number> = {}
    for (const [kind, { count, milliseconds }] of this.load.read()) {
      fields[`${kind}Messages`] = count
      fields[`${kind}Milliseconds`] = Math.round(milliseconds)
    }
    return fields
  }

  /** Snapshots of the dispatcher's pools; empty where it does not run. */
  pools (): PoolSnapshot[] {
    return this.dispatcher?.snapshots() ?? []
  }

  /** Whether an upstream is answering requests; true while no dispatcher runs here. */
  isInUse (upstream: RegisteredUpstream): boolean {
    return this.dispatcher?.isInUse(upstream) ?? true
  }

  /** Stores the leader's suspicions, in case this process becomes the next leader. */
  receiveSuspicions (suspicions: readonly Suspicion[]): void {
    this.suspicions.receive(suspicions)
  }

  /** Sends a new configuration to the entries. */
  publish (configuration: ServingConfiguration): void {
    this.history.add(configuration)
    for (const session of this.sessions.values()) this.sendConfiguration(session)
  }

  /** Starts or stops the dispatcher when leadership was gained or lost. */
  updateLeadership (): void {
    const isLeader = this.options.control.isLeader()
    if (isLeader === (this.dispatcher !== undefined)) return
    if (isLeader) this.startDispatcher()
    else this.stopDispatcher()
  }

  private startDispatcher (): void {
    const { clock, logger, registry, budget, overage, floorShare } = this.options
    const rates = this.options.startsWithFullBursts() ? CustomerRateLimiter.createWithFullBursts() : CustomerRateLimiter.createAfterPredecessor(overage)
    rates.setLimits((name) => this.rateLimitOf(name))
    registry.refresh()
    this.dispatcher = Dispatcher.create({ clock, logger, registry, rates, budget, floorShare })
    const { received } = this.suspicions
    if (received !== undefined) this.dispatcher.adoptSuspicions(received.suspicions, received.at)
    logger.info('dispatcher began', { suspected: received?.suspicions.length ?? 0, upstreams: registry.present().length, configuration: this.history.newest?.number ?? 0 })
  }

  private stopDispatcher (): void {
    this.dispatcher?.close()
    this.dispatcher = undefined
    this.options.logger.info('dispatcher ended', { entries: this.entries })
    for (const session of this.sessions.values()) this.redirectToLeader(session.call)
    this.sessions.clear()
  }

  /** Rate limit of a customer under the newest configuration. */
  private rateLimitOf (name: string): RateLimit | undefined {
    if (this.termsConfigurationNumber !== this.history.newest?.number) {
      this.termsConfigurationNumber = this.history.newest?.number
      this.terms = new Map(this.history.newest?.customers.map((customer) => [customer.name, customer]))
    }
    return this.terms.get(name)
  }

  private acceptStream (call: DispatchCall): void {
    let session: ClientSession | undefined
    call.on('data', (message: EntryMessage) => {
      const beganAt = this.options.clock.monotonicMilliseconds()
      if (session === undefined) session = this.openSession(call, message)
      else this.handleMessage(session, message)
      this.load.record(message.body?.$case ?? 'empty', this.options.clock.monotonicMilliseconds() - beganAt)
    })
    const end = (): void => {
      if (session !== undefined) this.removeSession(session)
      call.end()
    }
    call.on('end', end)
    call.on('cancelled', end)
    call.on('error', (error) => {
      this.options.logger.info('dispatch stream failed', { entry: session?.connection.entry, reason: describeError(error) })
      end()
    })
  }

  /** Opens a session for a valid hello on the leader; otherwise redirects the client and returns undefined. */
  private openSession (call: DispatchCall, message: EntryMessage): ClientSession | undefined {
    const hello = message.body?.$case === 'hello' ? message.body.value : undefined
    this.updateLeadership()
    if (hello === undefined || !mayActAs(call, hello.name) || this.dispatcher === undefined) {
      this.redirectToLeader(call)
      return undefined
    }
    this.options.registry.merge(hello.upstreams)
    const session = this.registerSession(call, hello)
    call.write({ body: { $case: 'leader', value: this.notice(true) } })
    this.sendConfiguration(session)
    this.sendUpstreams(session, { whole: true, upstreams: this.options.registry.announcements() })
    if (!session.mirror) this.dispatcher.restoreEntry(session.connection, hello)
    return session
  }

  private registerSession (call: DispatchCall, hello: DispatchHello): ClientSession {
    const connection: EntryConnection = { entry: hello.name, zone: hello.zone, send: (message) => { call.write(message) } }
    const session = { call, connection, mirror: hello.mirror, heldNumber: hello.configurationNumber }
    this.sessions.get(hello.name)?.call.end()
    this.sessions.set(hello.name, session)
    this.options.logger.info('dispatch session opened', { entry: hello.name, zone: hello.zone, configuration: hello.configurationNumber, running: hello.running.length })
    return session
  }

  private removeSession (session: ClientSession): void {
    const { entry } = session.connection
    if (this.sessions.get(entry) !== session) return
    this.sessions.delete(entry)
    this.options.logger.info('dispatch session closed', { entry })
  }

  private redirectToLeader (call: DispatchCall): void {
    call.write({ body: { $case: 'leader', value: this.notice(false) } })
    call.end()
  }

  private notice (serving: boolean): LeaderNotice {
    const { control } = this.options
    return { leader: control.leaderAddress(), control: [...control.controlAddresses()], serving }
  }

  private handleMessage (session: ClientSession, message: EntryMessage): void {
    const { body } = message
    if (this.dispatcher === undefined || body === undefined) return
    switch (body.$case) {
      case 'question': return this.dispatcher.ask(session.connection, body.value)
      case 'end': return this.dispatcher.end(session.connection, body.value)
      case 'number': return this.queueNumberRequest(session, body.value.question)
    }
  }

  private queueNumberRequest (session: ClientSession, question: number): void {
    this.numberRequests.push({ session, question })
    if (!this.isConfirming) void this.answerNumberRequests()
  }

  /** Confirms leadership once for all questions that arrived before the confirmation began. */
  private async answerNumberRequests (): Promise<void> {
    this.isConfirming = true
    while (this.numberRequests.length > 0) {
      const pending = this.numberRequests
      this.numberRequests = []
      const askedAt = this.options.clock.monotonicMilliseconds()
      const number = await this.options.control.confirmNumber()
      this.load.record('confirmation', this.options.clock.monotonicMilliseconds() - askedAt)
      if (number === undefined) break
      for (const { session, question } of pending) session.call.write({ body: { $case: 'number', value: { question, number, entries: this.entries } } })
    }
    this.isConfirming = false
  }

  private sendConfiguration (session: ClientSession): void {
    const update = this.history.updateFrom(session.heldNumber)
    if (update === undefined || session.mirror) return
    session.heldNumber = update.number
    session.call.write({ body: { $case: 'configuration', value: update } })
  }

  private broadcastUpstreams (changed: readonly RegisteredUpstream[]): void {
    this.dispatcher?.updateUpstreams(changed)
    const update = { whole: false, upstreams: this.announcements(changed) }
    for (const session of this.sessions.values()) this.sendUpstreams(session, update)
  }

  private broadcastSuspicions (): void {
    const { dispatcher } = this
    const suspicions = dispatcher === undefined ? undefined : this.suspicions.nextUpdate(() => dispatcher.suspicions())
    if (suspicions === undefined) return
    for (const { call } of this.sessions.values()) call.write({ body: { $case: 'suspicions', value: { suspicions } } })
  }

  private sendUpstreams (session: ClientSession, update: UpstreamUpdate): void {
    session.call.write({ body: { $case: 'upstreams', value: update } })
  }

  private announcements (held: readonly RegisteredUpstream[]): UpstreamUpdate['upstreams'] {
    return held.map((upstream) => upstream.announced)
  }
}

/** The service `Dispatch`, over gRPC and framed connections: serves streams on the leading control VM, and redirects clients to the leader on the others. */
import type { UntypedServiceImplementation } from '@grpc/grpc-js'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import type { DispatchHello, EntryMessage, LeaderNotice } from '@hickoryspoke/protocol/generated/dispatch'
import { mayActAs } from '@hickoryspoke/protocol/peer-identity'
import { repeatEvery } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import { AttachQueue, type WaitingClient } from './attach-queue.ts'
import type { ClientSession, DispatchCall, GrpcDispatchCall } from './client-session.ts'
import { ClientSessions } from './client-sessions.ts'
import { ClientStream } from './client-stream.ts'
import type { DispatchServiceOptions } from './dispatch-service-options.ts'
import type { EntryConnection } from './entry-connection.ts'
import { HandoverLists } from './handover-lists.ts'
import type { PoolCostSummary } from './pool-costs.ts'
import type { PoolSnapshot } from './pool-dispatcher.ts'
import { ConfigurationHistory } from './configuration-history.ts'
import { LeaderState } from './leader-state.ts'
import { MessageLoad } from './message-load.ts'
import type { DeliveryProgress } from './news-delivery.ts'
import { NumberConfirmations, type ConfirmedNumber } from './number-confirmations.ts'
import { PlacementInbox } from './placement-inbox.ts'
import { QuestionDelay } from './question-delay.ts'
import { RelayDirectory } from './relay-directory.ts'
import type { RegisteredUpstream } from './upstream-registry.ts'

/** A message that is not about a placement. */
type ControlBody = Exclude<NonNullable<EntryMessage['body']>, { readonly $case: 'question' | 'end' }>

const NO_POSITIONS: ReadonlyMap<string, number> = new Map()
const QUEUE_TICK_MILLISECONDS = 50
/** Clients ask for the number in force at least once a second. */
const SILENT_SESSION_MILLISECONDS = 5_000

/** Serves the streams of entries and of the other control VMs, and runs the dispatcher while this process leads. */
export class DispatchService {
  private readonly sessions = ClientSessions.create()
  private readonly history = ConfigurationHistory.create()
  /** What entries and the next dispatcher should know of the dispatcher's evidence. */
  readonly handover: HandoverLists
  private readonly load: MessageLoad
  private readonly numbers: NumberConfirmations
  private readonly inbox: PlacementInbox
  private readonly delay: QuestionDelay
  private readonly attaching: AttachQueue
  private leading: LeaderState | undefined

  private constructor (private readonly options: DispatchServiceOptions) {
    this.handover = HandoverLists.create(options.clock)
    this.load = MessageLoad.create(options.clock)
    this.numbers = NumberConfirmations.create({
      clock: options.clock,
      confirmNumber: () => this.confirmNumber(),
      entries: () => this.entries,
      positions: () => options.registry.cold.isActive ? this.sessions.positions() : NO_POSITIONS,
      relays: RelayDirectory.create(() => this.sessions.all()),
      answering: (session) => this.leading?.news.confirmView(session.connection.entry),
      unanswered: (questions) => options.logger.warn('leadership not confirmed', { questions })
    })
    this.delay = QuestionDelay.create(options.clock)
    this.inbox = PlacementInbox.create({
      clock: options.clock,
      listener: {
        question: (session, question) => this.load.measure('question', () => this.leading?.dispatcher.ask(session.connection, question)),
        end: (session, end) => this.load.measure('end', () => this.leading?.dispatcher.end(session.connection, end)),
        waited: (milliseconds) => this.delay.record(milliseconds),
        expired: (session, question) => this.load.measure('expired', () => this.leading?.dispatcher.denyOverdue(session.connection, question))
      }
    })
    this.attaching = AttachQueue.create({ clock: options.clock })
    options.registry.onChange((changed) => this.receiveChanges(changed))
  }

  static create (options: DispatchServiceOptions): DispatchService {
    return new DispatchService(options)
  }

  handlers (): UntypedServiceImplementation {
    return { attend: (call: GrpcDispatchCall) => this.acceptStream(call) }
  }

  /** Follows leadership changes, retries waiting requests and broadcasts suspicions and limits until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.options.clock, QUEUE_TICK_MILLISECONDS, signal, () => {
      this.updateLeadership()
      this.leading?.tick()
      this.broadcastLists()
      this.closeSilentSessions()
    })
  }

  /** Number of connected entries. */
  get entries (): number {
    return this.sessions.entries
  }

  /** Questions that have not been looked at yet. */
  get pendingQuestions (): number {
    return this.inbox.length
  }

  /** Numbers of messages and milliseconds spent on them since the previous call, by kind, as fields for a log line. */
  readLoad (): Record<string, number> {
    return this.load.readFields()
  }

  /** Snapshots of the dispatcher's pools; empty where it does not run. */
  pools (): PoolSnapshot[] {
    return this.leading?.dispatcher.snapshots() ?? []
  }

  /** What the dispatcher learned of the costs of requests; empty where it does not run or need not know them. */
  costs (): PoolCostSummary[] {
    return this.leading?.dispatcher.costs() ?? []
  }

  /** Whether an upstream is answering requests; true while no dispatcher runs here. */
  isInUse (upstream: RegisteredUpstream): boolean {
    return this.leading?.dispatcher.isInUse(upstream) ?? true
  }

  /** What acknowledgements wait for; undefined while this process does not lead. */
  get delivery (): DeliveryProgress | undefined {
    return this.leading?.news.progress
  }

  /** Whether no entry can act on an older configuration for longer than an acknowledgement allows; false when this process does not lead. */
  async isConfigurationKnown (): Promise<boolean> {
    return await this.leading?.news.whenKnown(this.leading.configurationRevision) ?? false
  }

  /** The same for the departure of an upstream. */
  async isDepartureKnown (instance: string): Promise<boolean> {
    return await this.leading?.news.whenKnown(this.leading.upstreams.departureRevision(instance)) ?? false
  }

  /** The same for the newest change of the evacuated zones. */
  async isEvacuationKnown (): Promise<boolean> {
    return await this.leading?.zones.whenKnown() ?? false
  }

  /** Sends a new configuration to the entries. */
  publish (configuration: ServingConfiguration): void {
    this.history.add(configuration)
    if (this.history.newest === configuration) this.options.registry.usePools(configuration.pools)
    if (this.leading !== undefined) this.leading.configurationRevision = this.leading.news.add()
    for (const session of this.sessions.all()) this.sendConfiguration(session)
  }

  /** Starts or stops the dispatcher when leadership was gained or lost. */
  updateLeadership (): void {
    const isLeader = this.options.control.isLeader()
    if (isLeader === (this.leading !== undefined)) return
    if (isLeader) this.startDispatcher()
    else this.stopDispatcher()
  }

  private startDispatcher (): void {
    const { logger, registry } = this.options
    this.leading = LeaderState.create(this.options, this.history, this.delay, () => this.sessions.all())
    const { dispatcher } = this.leading
    this.handover.handOverTo(dispatcher)
    logger.info('dispatcher began', { suspected: dispatcher.suspicions().length, limited: dispatcher.statedLimits().length, upstreams: registry.present().length, configuration: this.history.newest?.number })
  }

  private stopDispatcher (): void {
    this.leading?.close()
    this.leading = undefined
    this.inbox.clear()
    this.options.logger.info('dispatcher ended', { entries: this.entries })
    for (const session of this.sessions.all()) this.redirectToLeader(session.call)
    this.sessions.clear()
  }

  /** Serves a stream over either transport. */
  acceptStream (call: DispatchCall): void {
    ClientStream.create(call, {
      arrived: (stream, message) => this.receiveClient(call, stream, message),
      waiting: () => { call.write({ body: { $case: 'leader', value: this.notice(false) } }) },
      opened: (message) => this.load.measure('hello', () => this.openSession(call, message)),
      received: (session, message) => this.receive(session, message),
      closed: (session) => { if (session !== undefined) this.removeSession(session) },
      failed: (session, error) => {
        this.options.logger.info('dispatch stream failed', { entry: session?.connection.entry, reason: describeError(error) })
      }
    })
  }

  /** Lets a client wait to be attached, as that costs much. Its earlier stream ends now, as the client has left it. */
  private receiveClient (call: DispatchCall, client: WaitingClient, { body }: EntryMessage): void {
    this.updateLeadership()
    if (this.leading === undefined) return client.open()
    if (body?.$case === 'hello' && mayActAs(call, body.value.name)) this.closeSession(this.sessions.removeNamed(body.value.name))
    this.attaching.add(client)
  }

  private receive (session: ClientSession, message: EntryMessage): void {
    session.heardAt = this.options.clock.monotonicMilliseconds()
    this.handleMessage(session, message)
  }

  /** Opens a session for a valid hello on the leader; otherwise redirects the client and returns undefined. */
  private openSession (call: DispatchCall, message: EntryMessage): ClientSession | undefined {
    const hello = message.body?.$case === 'hello' ? message.body.value : undefined
    this.updateLeadership()
    if (hello === undefined || !mayActAs(call, hello.name) || this.leading === undefined) {
      this.redirectToLeader(call)
      return undefined
    }
    const session = this.registerSession(call, hello)
    call.write({ body: { $case: 'leader', value: this.notice(true) } })
    this.sendConfiguration(session)
    this.leading.zones.welcome(session)
    this.leading.upstreams.welcome(session)
    for (const message of this.handover.welcome(this.leading.dispatcher)) call.write(message)
    if (!session.mirror) this.leading.dispatcher.restoreEntry(session.connection, hello)
    return session
  }

  private registerSession (call: DispatchCall, hello: DispatchHello): ClientSession {
    const connection: EntryConnection = { entry: hello.name, zone: hello.zone, send: (message) => { call.write(message) } }
    const { mirror, configurationNumber: heldNumber, upstreamDigest, relay } = hello
    const heardAt = this.options.clock.monotonicMilliseconds()
    const session: ClientSession = { call, connection, mirror, relay, isRelaying: false, heldNumber, heardAt, upstreamDigest }
    this.closeSession(this.sessions.add(session))
    if (!hello.mirror) this.leading?.news.attach(hello.name)
    this.options.logger.info('dispatch session opened', { entry: hello.name, zone: hello.zone, configuration: hello.configurationNumber, running: hello.running.length })
    return session
  }

  /** Ends the earlier stream of an entry that opened another one; the entry asks its questions again. */
  private closeSession (session: ClientSession | undefined): void {
    if (session === undefined) return
    this.leading?.upstreams.remove(session)
    this.inbox.removeQuestionsOf(session)
    session.call.end()
  }

  /** Ends the streams of clients that were lost without closing them. */
  private closeSilentSessions (): void {
    const heardSince = this.options.clock.monotonicMilliseconds() - SILENT_SESSION_MILLISECONDS
    for (const session of this.sessions.silentSince(heardSince)) {
      this.removeSession(session)
      session.call.destroy()
    }
  }

  private removeSession (session: ClientSession): void {
    if (!this.sessions.remove(session)) return
    this.leading?.upstreams.remove(session)
    this.inbox.removeQuestionsOf(session)
    this.options.logger.info('dispatch session closed', { entry: session.connection.entry })
  }

  private redirectToLeader (call: DispatchCall): void {
    call.write({ body: { $case: 'leader', value: this.notice(false) } })
    call.end()
  }

  private notice (serving: boolean): LeaderNotice {
    const { control } = this.options
    return { leader: control.leaderAddress(), control: [...control.controlAddresses()], serving }
  }

  /** Handles control messages at once; those about placements wait for their turn. */
  private handleMessage (session: ClientSession, { body }: EntryMessage): void {
    if (this.leading === undefined || body === undefined) return
    if (body.$case === 'end') return this.inbox.addEnd(session, body.value)
    // The entry has opened another stream, on which it has sent what still counts.
    if (!this.sessions.isCurrent(session)) return
    if (body.$case === 'question') return this.inbox.addQuestion(session, body.value)
    this.load.measure(body.$case, () => this.handleControlMessage(session, body))
  }

  private handleControlMessage (session: ClientSession, body: ControlBody): void {
    switch (body.$case) {
      case 'number':
        session.isRelaying = body.value.relays
        return this.numbers.ask(session, body.value.question)
      case 'stopped': return this.leading?.news.forget(session.connection.entry)
      case 'known': return this.leading?.upstreams.receiveKnown(session, body.value)
      case 'confirmation': return this.leading?.news.confirmNews(session.connection.entry, body.value.revision)
    }
  }

  private async confirmNumber (): Promise<ConfirmedNumber | undefined> {
    const { clock, control } = this.options
    const askedAt = clock.monotonicMilliseconds()
    const confirmed = await control.confirmNumber()
    this.load.record('leadership', clock.monotonicMilliseconds() - askedAt)
    return confirmed
  }

  private sendConfiguration (session: ClientSession): void {
    const update = this.history.updateFrom(session.heldNumber)
    if (update === undefined || session.mirror) return
    session.heldNumber = update.number
    const revision = this.leading?.news.newestRevision ?? 0
    session.call.write({ body: { $case: 'configuration', value: { ...update, revision } } })
  }

  private receiveChanges (changed: readonly RegisteredUpstream[]): void {
    this.leading?.dispatcher.updateUpstreams(changed)
    this.leading?.upstreams.send(changed)
  }

  private broadcastLists (): void {
    const updates = this.leading === undefined ? [] : this.handover.updates(this.leading.dispatcher)
    for (const message of updates) {
      for (const { call } of this.sessions.all()) call.write(message)
    }
  }
}

/** The client side of the `Dispatch` stream, from an entry or a non-leading control VM to the leader's dispatcher. */
import type { DispatchHello, DispatchMessage, EntryMessage, LeaderNotice } from '@hickoryspoke/protocol/generated/dispatch'
import { sleep } from '@hickoryspoke/runtime/clock'
import { pickOne } from '@hickoryspoke/runtime/random'
import { AcceptPatience } from './accept-patience.ts'
import { DispatchStream, type LeaderStream } from './dispatch-stream.ts'
import type { LeaderConnectionOptions } from './leader-connection-options.ts'
import { MessageCounts } from './message-counts.ts'
import { NewsConfirmations } from './news-confirmations.ts'
import { StreamLiveness } from './stream-liveness.ts'

/** The leader is asked for the newest configuration number at least this often. */
const QUESTION_INTERVAL_MILLISECONDS = 1_000
/** Time within which there must be a connection to a control VM; without one, the VM is down or out of reach. */
const CONNECT_TIMEOUT_MILLISECONDS = 500
/**
 * Time within which a control VM that accepted a connection must send its first message, and then one each time while the
 * client waits to be attached. Long, because giving up and beginning again costs a busy leader more than the answer does.
 */
const FIRST_MESSAGE_TIMEOUT_MILLISECONDS = 2_500
const FIRST_MESSAGE_CHECK_MILLISECONDS = 50
/** Delay after the first attempt that did not reach a leader; doubles with each further one. */
const RECONNECT_DELAY_MILLISECONDS = 40
const MAXIMUM_RECONNECT_DELAY_MILLISECONDS = 640
const IDLE_CHECK_MILLISECONDS = 200
/** Reason of an aborted sleep. Without one, an exception with a stack trace is created each time. */
const WOKEN = 'woken'

/** Kinds of messages that the leader answers. */
const ANSWERED: ReadonlySet<string | undefined> = new Set<NonNullable<EntryMessage['body']>['$case']>(['number', 'question'])

type MessageBody = Exclude<NonNullable<DispatchMessage['body']>, { readonly $case: 'leader' }>

interface Stream {
  readonly call: LeaderStream
  /** When the process was first seen to have accepted the connection; undefined before. */
  acceptedAt: number | undefined
  readonly liveness: StreamLiveness
  readonly confirmations: NewsConfirmations
  /** Ends a wait for the next check. */
  wake: () => void
  isClosed: boolean
  isServing: boolean
  /** Time within which its process must accept the connection. */
  readonly acceptTimeoutMilliseconds: number
  /** Whether any message was received. */
  isAnswered: boolean
}

/** Finds the leader, keeps one stream to it, and reconnects after failures. */
export class LeaderConnection {
  private stream: Stream | undefined
  private leader = ''
  private controlAddresses = new Set<string>()
  private lastQuestion = 0
  private lastQuestionAt = -Infinity
  private lastAddress = ''
  /** Consecutive attempts that did not reach a leader, nor a control VM that named one. */
  private failedAttempts = 0
  private readonly patience = AcceptPatience.create()
  private readonly sent = MessageCounts.create()
  private readonly received = MessageCounts.create()

  private constructor (private readonly options: LeaderConnectionOptions) {}

  static create (options: LeaderConnectionOptions): LeaderConnection {
    return new LeaderConnection(options)
  }

  /** Whether the stream is served by the leader. */
  get isConnected (): boolean {
    return this.stream?.isServing === true && !this.stream.isClosed
  }

  /** Numbers of messages exchanged with the leader since the previous call, by direction and kind, as fields for a log line. */
  readCounts (): Record<string, number> {
    return { ...this.sent.readFields('sent'), ...this.received.readFields('received') }
  }

  /** Sends a message to the leader; false when there is no connection. */
  send (message: EntryMessage): boolean {
    if (!this.isConnected || this.stream === undefined) return false
    this.stream.call.write(message)
    this.sent.record(message.body?.$case ?? '')
    if (ANSWERED.has(message.body?.$case) && this.stream.liveness.asked(this.options.clock.monotonicMilliseconds())) this.stream.wake()
    return true
  }

  /** Reconnects, so that a new hello tells the leader which configuration is held here. */
  reconnect (): void {
    if (this.stream === undefined) return
    this.stream.isClosed = true
    this.stream.wake()
  }

  /** Asks the leader for the newest configuration number. */
  requestNumber (): void {
    this.lastQuestion += 1
    this.lastQuestionAt = this.options.clock.monotonicMilliseconds()
    this.options.listener.questionSent(this.lastQuestion)
    this.send({ body: { $case: 'number', value: { question: this.lastQuestion, relays: this.options.isRelaying() } } })
  }

  /** Connects to the leader, and reconnects when the stream ends, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const namedLeader = this.leader
      const address = this.options.wanted() ? this.nextAddress() : undefined
      if (address !== undefined) await this.connectTo(address, address === namedLeader, signal)
      await sleep(this.options.clock, this.options.wanted() ? this.reconnectDelay() : IDLE_CHECK_MILLISECONDS, signal)
    }
  }

  /** Grows with the attempts that failed, and is random, so that entries that lost a leader together do not overload the next one. */
  private reconnectDelay (): number {
    const longest = Math.min(MAXIMUM_RECONNECT_DELAY_MILLISECONDS, RECONNECT_DELAY_MILLISECONDS * 2 ** this.failedAttempts)
    return longest * (1 + this.options.random.next()) / 2
  }

  /**
   * The leader named by the last control VM, unless just tried; otherwise a random control VM, if possible not the
   * last one tried. Undefined when none is known.
   */
  private nextAddress (): string | undefined {
    const { leader } = this
    this.leader = ''
    if (leader !== '' && leader !== this.lastAddress) return leader
    const candidates = [...new Set([...this.options.seeds(), ...this.controlAddresses])].filter((address) => address !== this.options.name)
    if (candidates.length === 0) return undefined
    const others = candidates.filter((address) => address !== this.lastAddress)
    return pickOne(this.options.random, others.length > 0 ? others : candidates)
  }

  private async connectTo (address: string, isNamed: boolean, signal: AbortSignal): Promise<void> {
    const { clock, credentials } = this.options
    this.lastAddress = address
    this.failedAttempts += 1
    let finish = (): void => {}
    const closed = new Promise<void>((resolve) => { finish = resolve })
    const openStream = this.options.openStream ?? DispatchStream.open
    const call = openStream(address, credentials, {
      received: (message) => this.handleMessage(stream, message),
      ended: () => {
        stream.isClosed = true
        finish()
      }
    })
    const acceptTimeoutMilliseconds = this.patience.timeoutMilliseconds(address, isNamed)
    const unanswered = { acceptedAt: undefined, isClosed: false, isServing: false, isAnswered: false, wake: () => {} }
    const confirmations = NewsConfirmations.create(clock, (revision) => {
      if (this.stream === stream && !stream.isClosed) this.send({ body: { $case: 'confirmation', value: { revision } } })
    })
    const liveness = StreamLiveness.create(clock.monotonicMilliseconds(), this.options.isWaiting)
    const stream: Stream = { call, acceptTimeoutMilliseconds, liveness, confirmations, ...unanswered }
    this.stream = stream
    signal.addEventListener('abort', finish, { once: true })
    call.write({ body: { $case: 'hello', value: this.hello() } })
    await Promise.race([closed, this.waitForSilence(stream)])
    signal.removeEventListener('abort', finish)
    this.end(stream, address, signal.aborted)
  }

  private hello (): DispatchHello {
    const { name, zone, mirror, relay, held, running, upstreamDigest, knownLimits, admissionReport } = this.options
    const known = { configurationNumber: held(), running: running(), upstreamDigest: upstreamDigest(), limits: knownLimits() }
    return { name, zone, mirror, relay, ...known, ...admissionReport() }
  }

  /** Asks for the newest number at intervals; resolves when the stream is closed, silent for too long, or not served by the leader. */
  private async waitForSilence (stream: Stream): Promise<void> {
    const { clock } = this.options
    await this.waitUntilServed(stream)
    while (!stream.isClosed && stream.isServing) {
      const now = clock.monotonicMilliseconds()
      if (stream.liveness.isLost(now)) return
      if (now >= this.questionDueAt(stream)) this.requestNumber()
      await this.waitForCheck(stream)
    }
  }

  private questionDueAt ({ liveness }: Stream): number {
    return Math.min(this.lastQuestionAt + QUESTION_INTERVAL_MILLISECONDS, liveness.questionDueAt(this.lastQuestionAt))
  }

  /** Resolves when a question may be due or the leader may be lost, also when that comes to be sooner while it waits. */
  private async waitForCheck (stream: Stream): Promise<void> {
    const { clock } = this.options
    const woken = new AbortController()
    stream.wake = () => woken.abort(WOKEN)
    const checkAt = Math.min(this.questionDueAt(stream), stream.liveness.lostAt())
    await sleep(clock, checkAt - clock.monotonicMilliseconds(), woken.signal)
  }

  /** Resolves when the leader serves the stream, or when the control VM is to be given up. */
  private async waitUntilServed (stream: Stream): Promise<void> {
    const { clock } = this.options
    const beganAt = clock.monotonicMilliseconds()
    while (!stream.isClosed && !stream.isServing) {
      await sleep(clock, FIRST_MESSAGE_CHECK_MILLISECONDS)
      const now = clock.monotonicMilliseconds()
      if (stream.call.isAccepted()) stream.acceptedAt ??= now
      const heardAt = Math.max(stream.liveness.lastReceivedAt, stream.acceptedAt ?? beganAt)
      const isAccepted = stream.acceptedAt !== undefined
      if (isAccepted && now - heardAt >= FIRST_MESSAGE_TIMEOUT_MILLISECONDS) return
      const isConnected = stream.call.isConnected()
      const limit = isConnected ? stream.acceptTimeoutMilliseconds : CONNECT_TIMEOUT_MILLISECONDS
      if (isAccepted || now - beganAt < limit) continue
      if (isConnected) this.patience.recordUnaccepted()
      return
    }
  }

  /** Ends a stream. One that ends because this process stops says so, so that the leader need not wait for its confirmations. */
  private end (stream: Stream, address: string, isStopping: boolean): void {
    const wasServing = stream.isServing
    const silent = !stream.isClosed
    stream.isClosed = true
    if (isStopping) stream.call.end({ body: { $case: 'stopped', value: {} } })
    else stream.call.cancel()
    const silentMilliseconds = Math.round(this.options.clock.monotonicMilliseconds() - stream.liveness.lastReceivedAt)
    if (!stream.isAnswered) this.options.logger.info('control not reached', { control: address, silent, silentMilliseconds, attempts: this.failedAttempts })
    if (!wasServing) return
    this.patience.recordLost(address, silent)
    this.options.logger.warn('leader lost', { control: address, silent, silentMilliseconds })
    this.options.listener.lost()
  }

  private handleMessage (stream: Stream, message: DispatchMessage): void {
    const { body } = message
    if (stream.isClosed || body === undefined) return
    stream.isAnswered = true
    this.received.record(body.$case)
    stream.liveness.received(this.options.clock.monotonicMilliseconds())
    if (body.$case === 'leader') return this.handleLeaderNotice(stream, body.value)
    this.deliver(body)
    const revision = 'revision' in body.value ? body.value.revision : 0
    if (revision > 0) stream.confirmations.applied(revision)
  }

  private deliver (body: MessageBody): void {
    const { listener } = this.options
    switch (body.$case) {
      case 'placement': return listener.placed(body.value)
      case 'denial': return listener.denied(body.value)
      case 'overdue': return listener.overdue(body.value.ticket)
      case 'configuration': return listener.configured(body.value)
      case 'upstreams': return listener.upstreamsChanged(body.value)
      case 'suspicions': return listener.suspected(body.value.suspicions)
      case 'limits': return listener.limited(body.value.limits)
      case 'zones': return listener.zonesChanged(body.value)
      case 'number': return listener.confirmed(body.value)
      case 'upstreamQuery': return this.sendKnownUpstreams()
    }
  }

  private sendKnownUpstreams (): void {
    this.send({ body: { $case: 'known', value: { whole: true, upstreams: this.options.knownUpstreams(), revision: 0 } } })
  }

  private handleLeaderNotice (stream: Stream, notice: LeaderNotice): void {
    this.controlAddresses = new Set(notice.control)
    this.leader = notice.serving ? '' : notice.leader
    if (notice.serving || notice.leader !== '') this.failedAttempts = 0
    if (!notice.serving || stream.isServing) return
    stream.isServing = true
    this.patience.recordServed()
    this.options.logger.info('leader attended', { control: notice.leader })
    this.options.listener.connected()
    this.requestNumber()
  }
}

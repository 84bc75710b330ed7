/** The stream of one entry, or of one control VM that does not lead, to the dispatcher. */
import type { ClientDuplexStream } from '@grpc/grpc-js'
import {
  DispatchClient,
  type AnnouncedUpstream, type Denial, type DispatchMessage, type EntryMessage, type LeaderNotice, type NumberAnswer, type Placement, type RunningRequest,
  type ServingUpdate, type Suspicion, type UpstreamUpdate
} from '@hickoryspoke/protocol/generated/dispatch'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { pickOne, type RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { AdmissionReport } from './customer-rates.ts'

/** Receives what the dispatcher sends. */
export interface DispatchListener {
  placed (placement: Placement): void
  denied (denial: Denial): void
  configured (update: ServingUpdate): void
  upstreamsChanged (update: UpstreamUpdate): void
  /** All upstreams that the dispatcher suspects now. */
  suspected (suspicions: readonly Suspicion[]): void
  /** A leader serves this stream from now on. */
  attended (): void
  /** The stream is gone; nothing that was asked on it will be answered. */
  lost (): void
  /** The number in force was asked for just now. */
  asked (question: number): void
  /** What held at some time after the question. */
  confirmed (answer: NumberAnswer): void
}

/** What a link is made of. */
export interface DispatchLinkParts {
  readonly name: string
  readonly zone: string
  readonly mirror: boolean
  /** IP:PORT of control VMs from the settings; asked anew for each connection. */
  readonly seeds: () => readonly string[]
  readonly credentials: InnerCredentials
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly listener: DispatchListener
  readonly held: () => number
  readonly running: () => RunningRequest[]
  readonly known: () => AnnouncedUpstream[]
  /** What this process admitted lately. */
  readonly admissions: () => AdmissionReport
  /** Whether this link should look for a leader now. */
  readonly wanted: () => boolean
}

const QUESTION_MILLISECONDS = 250
const SILENT_MILLISECONDS = 650
const FIRST_MESSAGE_MILLISECONDS = 500
const PAUSE_MILLISECONDS = 40
const IDLE_MILLISECONDS = 200

interface Stream {
  readonly call: ClientDuplexStream<EntryMessage, DispatchMessage>
  lastHeard: number
  isOver: boolean
  isServing: boolean
}

/** Keeps one stream to the leader for as long as it runs. */
export class DispatchLink {
  private stream: Stream | undefined
  private leader = ''
  private known = new Set<string>()
  private questions = 0
  private lastAsked = ''

  private constructor (private readonly parts: DispatchLinkParts) {}

  static create (parts: DispatchLinkParts): DispatchLink {
    return new DispatchLink(parts)
  }

  /** Whether a leader serves this link. */
  get isAttended (): boolean {
    return this.stream?.isServing === true && !this.stream.isOver
  }

  /** Hands a message to the leader; false when there is none. */
  send (message: EntryMessage): boolean {
    if (!this.isAttended || this.stream === undefined) return false
    this.stream.call.write(message)
    return true
  }

  /** Attends anew, so that the leader learns what is held here. */
  restart (): void {
    if (this.stream !== undefined) this.stream.isOver = true
  }

  /** Asks for the number in force. */
  askNumber (): void {
    this.questions += 1
    this.parts.listener.asked(this.questions)
    this.send({ body: { $case: 'number', value: { question: this.questions } } })
  }

  /** Looks for the leader and attends it, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.parts.wanted()) await this.attend(this.nextAddress(), signal)
      await sleep(this.parts.clock, this.parts.wanted() ? PAUSE_MILLISECONDS : IDLE_MILLISECONDS, signal)
    }
  }

  private nextAddress (): string {
    const { leader } = this
    this.leader = ''
    if (leader !== '' && leader !== this.lastAsked) return leader
    const candidates = [...new Set([...this.parts.seeds(), ...this.known])].filter((address) => address !== this.parts.name)
    const others = candidates.filter((address) => address !== this.lastAsked)
    return pickOne(this.parts.random, others.length > 0 ? others : candidates)
  }

  private async attend (address: string, signal: AbortSignal): Promise<void> {
    const { clock, credentials, name, zone, mirror, held, running, known, admissions } = this.parts
    this.lastAsked = address
    const client = new DispatchClient(address, credentials.forChannel(), { ...credentials.channelOptions(address), 'grpc.use_local_subchannel_pool': 1 })
    const call = client.attend()
    const stream: Stream = { call, lastHeard: clock.monotonicMilliseconds(), isOver: false, isServing: false }
    this.stream = stream
    const over = new Promise<void>((resolve) => {
      const finish = (): void => {
        stream.isOver = true
        signal.removeEventListener('abort', finish)
        resolve()
      }
      call.on('data', (message: DispatchMessage) => this.receive(stream, message))
      call.on('end', finish)
      call.on('error', finish)
      call.on('status', finish)
      signal.addEventListener('abort', finish, { once: true })
    })
    call.write({ body: { $case: 'hello', value: { name, zone, mirror, configurationNumber: held(), running: running(), upstreams: known(), ...admissions() } } })
    await Promise.race([over, this.watch(stream)])
    this.end(stream, address)
    client.close()
  }

  /** Resolves when the stream has been silent for too long, and asks for the number in force meanwhile. */
  private async watch (stream: Stream): Promise<void> {
    const { clock } = this.parts
    await sleep(clock, FIRST_MESSAGE_MILLISECONDS)
    while (!stream.isOver && stream.isServing) {
      if (clock.monotonicMilliseconds() - stream.lastHeard > SILENT_MILLISECONDS) return
      this.askNumber()
      await sleep(clock, QUESTION_MILLISECONDS)
    }
  }

  private end (stream: Stream, address: string): void {
    const wasServing = stream.isServing
    const silent = !stream.isOver
    stream.isOver = true
    stream.call.on('error', () => {})
    stream.call.cancel()
    if (!wasServing) return
    this.parts.logger.warn('leader lost', { control: address, silent, silentMilliseconds: Math.round(this.parts.clock.monotonicMilliseconds() - stream.lastHeard) })
    this.parts.listener.lost()
  }

  private receive (stream: Stream, message: DispatchMessage): void {
    const { body } = message
    if (stream.isOver || body === undefined) return
    stream.lastHeard = this.parts.clock.monotonicMilliseconds()
    const { listener } = this.parts
    switch (body.$case) {
      case 'leader': return this.noteLeader(stream, body.value)
      case 'placement': return listener.placed(body.value)
      case 'denial': return listener.denied(body.value)
      case 'configuration': return listener.configured(body.value)
      case 'upstreams': return listener.upstreamsChanged(body.value)
      case 'suspicions': return listener.suspected(body.value.suspicions)
      case 'number': return listener.confirmed(body.value)
    }
  }

  private noteLeader (stream: Stream, notice: LeaderNotice): void {
    this.known = new Set(notice.control)
    this.leader = notice.serving ? '' : notice.leader
    if (!notice.serving || stream.isServing) return
    stream.isServing = true
    this.parts.logger.info('leader attended', { control: notice.leader })
    this.parts.listener.attended()
    this.askNumber()
  }
}

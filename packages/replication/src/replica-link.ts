import type { ClientDuplexStream } from '@grpc/grpc-js'
import { ControlPeerClient, type ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { RandomSource } from '@hickoryspoke/runtime/random'

/** Maximum size of a message between replicas. The gRPC server must be created with `REPLICA_SERVER_OPTIONS` to accept it. */
export const MAXIMUM_MESSAGE_BYTES = 67_108_864

/** Options that the gRPC server of a control VM needs to accept large entries. */
export const REPLICA_SERVER_OPTIONS = { 'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES } as const

const MAXIMUM_QUEUED_MESSAGES = 256
const INITIAL_BACKOFF_MILLISECONDS = 50
const MAXIMUM_BACKOFF_MILLISECONDS = 400
/** A connection attempt begun during a network partition would wait for a TCP retransmission long after the partition heals, so it is abandoned. */
const OPEN_TIMEOUT_MILLISECONDS = 1_000
const KEEPALIVE_INTERVAL_MILLISECONDS = 1_000
const KEEPALIVE_TIMEOUT_MILLISECONDS = 1_000

type ReplicaCall = ClientDuplexStream<ReplicaMessage, ReplicaMessage>

/** Options of a link to one replica. */
export interface ReplicaLinkOptions {
  readonly peer: string
  /** IP:PORT. */
  readonly address: string
  readonly credentials: InnerCredentials
  readonly clock: Clock
  readonly random: RandomSource
}

/** The sending stream to one replica. A single task keeps reconnecting it until `close`. */
export class ReplicaLink {
  dropped = 0
  private queue: ReplicaMessage[] = []
  private notify: (() => void) | undefined
  private readonly stopping = new AbortController()
  private readonly finished: Promise<void>

  private constructor (private readonly options: ReplicaLinkOptions) {
    this.finished = this.run()
  }

  static create (options: ReplicaLinkOptions): ReplicaLink {
    return new ReplicaLink(options)
  }

  /** Queues a message, or drops it when the queue is full. Dropping is safe because the sender repeats unanswered messages. */
  push (message: ReplicaMessage): void {
    if (this.queue.length >= MAXIMUM_QUEUED_MESSAGES) {
      this.dropped += 1
      return
    }
    this.queue.push(message)
    this.notify?.()
  }

  async close (): Promise<void> {
    this.stopping.abort()
    this.notify?.()
    await this.finished
  }

  private async run (): Promise<void> {
    let backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS
    while (!this.stopping.signal.aborted) {
      const wasOpen = await this.runStream()
      this.queue = []
      backoffMilliseconds = wasOpen ? INITIAL_BACKOFF_MILLISECONDS : Math.min(backoffMilliseconds * 2, MAXIMUM_BACKOFF_MILLISECONDS)
      await sleep(this.options.clock, backoffMilliseconds * (0.5 + this.options.random.next()), this.stopping.signal)
    }
  }

  /** Opens a stream and writes queued messages until it ends. Returns whether the other side answered. */
  private async runStream (): Promise<boolean> {
    const client = this.connect()
    const call = client.exchange()
    const state = { open: false, over: false }
    const finish = (): void => {
      state.over = true
      this.notify?.()
    }
    const openTimeout = this.options.clock.schedule(OPEN_TIMEOUT_MILLISECONDS, finish)
    call.on('metadata', () => {
      state.open = true
      openTimeout.cancel()
    })
    for (const event of ['error', 'end', 'status']) call.on(event, finish)
    call.on('drain', () => this.notify?.())
    call.resume()
    while (!this.stopping.signal.aborted && !state.over) {
      this.writeQueued(call)
      await this.waitForNotification()
    }
    openTimeout.cancel()
    if (this.stopping.signal.aborted) this.writeQueued(call)
    if (state.open) call.end()
    else call.cancel()
    client.close()
    return state.open
  }

  private writeQueued (call: ReplicaCall): void {
    while (this.queue.length > 0 && !call.writableNeedDrain) call.write(this.queue.shift() as ReplicaMessage)
  }

  private connect (): ControlPeerClient {
    const { address, credentials, peer } = this.options
    return new ControlPeerClient(address, credentials.forChannel(), {
      ...credentials.channelOptions(peer),
      'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MILLISECONDS,
      'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MILLISECONDS,
      'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
      'grpc.use_local_subchannel_pool': 1
    })
  }

  private async waitForNotification (): Promise<void> {
    await new Promise<void>((resolve) => { this.notify = resolve })
    this.notify = undefined
  }
}

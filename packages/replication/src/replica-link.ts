import type { ClientDuplexStream } from '@grpc/grpc-js'
import { ControlPeerClient, type ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { RandomSource } from '@hickoryspoke/runtime/random'

/** Largest message between replicas; the gRPC server must be created with `REPLICA_SERVER_OPTIONS`. */
export const MAXIMUM_MESSAGE_BYTES = 67_108_864

/** Options that the server of a control VM needs so that large entries pass and half-open connections end. */
export const REPLICA_SERVER_OPTIONS = { 'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES } as const

const MAXIMUM_WAITING_MESSAGES = 256
const FIRST_BACKOFF_MILLISECONDS = 50
const LONGEST_BACKOFF_MILLISECONDS = 400
/** A connection that was begun while the network was cut waits for its next retransmission long after the cut has healed. */
const OPENING_MILLISECONDS = 1_000
const KEEPALIVE_INTERVAL_MILLISECONDS = 1_000
const KEEPALIVE_TIMEOUT_MILLISECONDS = 1_000

type ReplicaCall = ClientDuplexStream<ReplicaMessage, ReplicaMessage>

/** What a link to one replica is made of. */
export interface ReplicaLinkOptions {
  readonly peer: string
  /** IP:PORT. */
  readonly address: string
  readonly credentials: InnerCredentials
  readonly clock: Clock
  readonly random: RandomSource
}

/** The sending stream to one replica, run by one task that reconnects for as long as it lives. */
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

  /** Queues a message. When too many wait the new one is dropped: the sender repeats what was not answered. */
  push (message: ReplicaMessage): void {
    if (this.queue.length >= MAXIMUM_WAITING_MESSAGES) {
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
    let backoffMilliseconds = FIRST_BACKOFF_MILLISECONDS
    while (!this.stopping.signal.aborted) {
      const wasOpen = await this.runStream()
      this.queue = []
      backoffMilliseconds = wasOpen ? FIRST_BACKOFF_MILLISECONDS : Math.min(backoffMilliseconds * 2, LONGEST_BACKOFF_MILLISECONDS)
      await sleep(this.options.clock, backoffMilliseconds * (0.5 + this.options.random.next()), this.stopping.signal)
    }
  }

  /** Writes what is queued until the stream ends; tells whether the other side had answered. */
  private async runStream (): Promise<boolean> {
    const client = this.connect()
    const call = client.exchange()
    const state = { open: false, over: false }
    const finish = (): void => {
      state.over = true
      this.notify?.()
    }
    const opening = this.options.clock.schedule(OPENING_MILLISECONDS, finish)
    call.on('metadata', () => {
      state.open = true
      opening.cancel()
    })
    for (const event of ['error', 'end', 'status']) call.on(event, finish)
    call.on('drain', () => this.notify?.())
    call.resume()
    while (!this.stopping.signal.aborted && !state.over) {
      this.writeQueued(call)
      await this.untilNotified()
    }
    opening.cancel()
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

  private async untilNotified (): Promise<void> {
    await new Promise<void>((resolve) => { this.notify = resolve })
    this.notify = undefined
  }
}

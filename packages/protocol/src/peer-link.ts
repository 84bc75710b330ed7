import type { ClientDuplexStream } from '@grpc/grpc-js'
import { repeatEvery, sleep } from '@hickoryspoke/runtime/clock'
import type { GrpcPeerNetworkOptions } from './grpc-peer-network.ts'
import { EntryPeerClient, type PeerBatch, type PeerMessage, type PeerStreamEnd } from './generated/peer.ts'

const MAXIMUM_QUEUED_MESSAGES = 10_000
const MAXIMUM_BATCH_MESSAGES = 256
const INITIAL_BACKOFF_MILLISECONDS = 50
const MAXIMUM_BACKOFF_MILLISECONDS = 2_000
const KEEPALIVE_INTERVAL_MILLISECONDS = 30_000
const IDLE_TIMEOUT_MILLISECONDS = 20_000
const KEEPALIVE_TIMEOUT_MILLISECONDS = 3_000

/** A stream that lived at least this long resets the reconnect delay to its initial value. */
const STABLE_AFTER_MILLISECONDS = 1_000

/** Why a stream has ended. */
const StreamEnd = { Idle: 'idle', Lost: 'lost' } as const
type StreamEnd = typeof StreamEnd[keyof typeof StreamEnd]

type PeerCall = ClientDuplexStream<PeerBatch, PeerStreamEnd>

/** Sends messages to one peer. Opens a stream when there are messages, and reconnects until closed. */
export class PeerLink {
  /** Messages dropped because the queue was full or a stream was lost. */
  dropped = 0
  private queue: PeerMessage[] = []
  private wake: (() => void) | undefined
  private lastWriteMilliseconds = 0
  private readonly stopping = new AbortController()

  private constructor (private readonly peer: string, private readonly options: GrpcPeerNetworkOptions) {}

  static create (peer: string, options: GrpcPeerNetworkOptions): PeerLink {
    const link = new PeerLink(peer, options)
    void link.run()
    return link
  }

  get waiting (): number {
    return this.queue.length
  }

  /** Queues a message. If the queue is full, the oldest message is dropped. */
  push (message: PeerMessage): void {
    if (this.queue.length >= MAXIMUM_QUEUED_MESSAGES) {
      this.queue.shift()
      this.dropped += 1
    }
    this.queue.push(message)
    this.wake?.()
  }

  close (): void {
    this.stopping.abort()
    this.wake?.()
  }

  private async run (): Promise<void> {
    const { clock, random, logger } = this.options
    let backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS
    while (!this.stopping.signal.aborted) {
      await this.waitForMessages()
      const startedAt = clock.monotonicMilliseconds()
      const end = await this.runStream()
      if (this.stopping.signal.aborted) return
      if (end === StreamEnd.Idle) continue
      const lifetimeMilliseconds = clock.monotonicMilliseconds() - startedAt
      const isStable = lifetimeMilliseconds >= STABLE_AFTER_MILLISECONDS
      backoffMilliseconds = isStable ? INITIAL_BACKOFF_MILLISECONDS : Math.min(backoffMilliseconds * 2, MAXIMUM_BACKOFF_MILLISECONDS)
      this.dropQueued()
      logger.debug('peer stream lost', { peer: this.peer, backoffMilliseconds })
      await sleep(clock, backoffMilliseconds * (0.5 + random.next()), this.stopping.signal)
    }
  }

  /** Opens a stream and writes batches until the stream ends or has been idle for too long. */
  private async runStream (): Promise<StreamEnd> {
    const address = this.options.addressOf(this.peer)
    if (address === undefined) return StreamEnd.Lost
    const { clock } = this.options
    const client = this.connect(address)
    const call = client.exchange()
    const streamEnd = watchStreamEnd(call)
    const idleWatch = new AbortController()
    this.lastWriteMilliseconds = clock.monotonicMilliseconds()
    void repeatEvery(clock, IDLE_TIMEOUT_MILLISECONDS, idleWatch.signal, () => this.wake?.())
    try {
      while (!this.stopping.signal.aborted && !streamEnd.hasEnded()) {
        if (this.isIdle()) return StreamEnd.Idle
        await Promise.race([this.sendQueued(call), streamEnd.promise])
      }
      return StreamEnd.Lost
    } finally {
      idleWatch.abort()
      call.cancel()
      client.close()
    }
  }

  private async sendQueued (call: PeerCall): Promise<void> {
    const messages = this.takeBatch()
    if (messages.length === 0) return await this.waitForMessages()
    call.write({ from: this.options.self, messages })
    this.lastWriteMilliseconds = this.options.clock.monotonicMilliseconds()
    await waitUntilWritable(call)
  }

  private connect (address: string): EntryPeerClient {
    const { credentials } = this.options
    return new EntryPeerClient(address, credentials.forChannel(), {
      ...credentials.channelOptions(this.peer),
      'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MILLISECONDS,
      'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MILLISECONDS,
      'grpc.use_local_subchannel_pool': 1
    })
  }

  /** Idle streams are closed, because with 800 entries a full mesh of idle streams costs more than the messages themselves. */
  private isIdle (): boolean {
    const idleMilliseconds = this.options.clock.monotonicMilliseconds() - this.lastWriteMilliseconds
    return this.queue.length === 0 && idleMilliseconds >= IDLE_TIMEOUT_MILLISECONDS
  }

  private takeBatch (): PeerMessage[] {
    if (this.queue.length <= MAXIMUM_BATCH_MESSAGES) {
      const all = this.queue
      this.queue = []
      return all
    }
    return this.queue.splice(0, MAXIMUM_BATCH_MESSAGES)
  }

  /** Delivery is best effort: messages queued for a lost stream would be stale by the time the next one opens. */
  private dropQueued (): void {
    this.dropped += this.queue.length
    this.queue = []
  }

  private async waitForMessages (): Promise<void> {
    if (this.queue.length > 0 || this.stopping.signal.aborted) return
    await new Promise<void>((resolve) => {
      // Waits for the end of the event loop iteration, so that messages pushed together are sent in one batch.
      this.wake = () => setImmediate(resolve)
    })
    this.wake = undefined
  }
}

interface StreamEndWatcher {
  readonly promise: Promise<void>
  hasEnded (): boolean
}

function watchStreamEnd (call: PeerCall): StreamEndWatcher {
  let hasEnded = false
  const promise = new Promise<void>((resolve) => {
    const finish = (): void => {
      hasEnded = true
      resolve()
    }
    call.on('error', finish)
    call.on('end', finish)
    call.resume()
    call.on('status', finish)
  })
  return { promise, hasEnded: () => hasEnded }
}

function waitUntilWritable (call: PeerCall): Promise<void> | undefined {
  if (!call.writableNeedDrain) return undefined
  return new Promise((resolve) => call.once('drain', () => resolve()))
}

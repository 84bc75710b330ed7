import type { ClientDuplexStream } from '@grpc/grpc-js'
import { repeatEvery, sleep } from '@hickoryspoke/runtime/clock'
import type { GrpcPeerNetworkOptions } from './grpc-peer-network.ts'
import { EntryPeerClient, type PeerBatch, type PeerMessage, type PeerStreamEnd } from './generated/peer.ts'

const MAXIMUM_WAITING_MESSAGES = 10_000
const MAXIMUM_BATCH_MESSAGES = 256
const FIRST_BACKOFF_MILLISECONDS = 50
const LONGEST_BACKOFF_MILLISECONDS = 2_000
const KEEPALIVE_INTERVAL_MILLISECONDS = 30_000
const IDLE_LIMIT_MILLISECONDS = 20_000
const KEEPALIVE_TIMEOUT_MILLISECONDS = 3_000

/** Life of a stream after which the next one is opened without delay. */
const SETTLED_MILLISECONDS = 1_000

/** Why a stream is over. */
const StreamEnd = { Idle: 'idle', Lost: 'lost' } as const
type StreamEnd = typeof StreamEnd[keyof typeof StreamEnd]

type PeerCall = ClientDuplexStream<PeerBatch, PeerStreamEnd>

/** The sending stream to one peer, run by one task that reconnects for as long as it lives. */
export class PeerLink {
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

  /** Queues a message; the oldest is dropped when too many wait. */
  push (message: PeerMessage): void {
    if (this.queue.length >= MAXIMUM_WAITING_MESSAGES) {
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
    let backoffMilliseconds = FIRST_BACKOFF_MILLISECONDS
    while (!this.stopping.signal.aborted) {
      await this.untilWorkWaits()
      const startedAt = clock.monotonicMilliseconds()
      const end = await this.sendOverOneStream()
      if (this.stopping.signal.aborted) return
      if (end === StreamEnd.Idle) continue
      const livedMilliseconds = clock.monotonicMilliseconds() - startedAt
      const isSettled = livedMilliseconds >= SETTLED_MILLISECONDS
      backoffMilliseconds = isSettled ? FIRST_BACKOFF_MILLISECONDS : Math.min(backoffMilliseconds * 2, LONGEST_BACKOFF_MILLISECONDS)
      this.dropWaiting()
      logger.debug('peer stream lost', { peer: this.peer, backoffMilliseconds })
      await sleep(clock, backoffMilliseconds * (0.5 + random.next()), this.stopping.signal)
    }
  }

  /** Writes batches until the stream ends or has carried nothing for a while. */
  private async sendOverOneStream (): Promise<StreamEnd> {
    const address = this.options.addressOf(this.peer)
    if (address === undefined) return StreamEnd.Lost
    const { clock } = this.options
    const client = this.connect(address)
    const call = client.exchange()
    const ended = endOf(call)
    const idleWatch = new AbortController()
    this.lastWriteMilliseconds = clock.monotonicMilliseconds()
    void repeatEvery(clock, IDLE_LIMIT_MILLISECONDS, idleWatch.signal, () => this.wake?.())
    try {
      while (!this.stopping.signal.aborted && !ended.isOver()) {
        if (this.isIdle()) return StreamEnd.Idle
        await Promise.race([this.sendWaiting(call), ended.promise])
      }
      return StreamEnd.Lost
    } finally {
      idleWatch.abort()
      call.cancel()
      client.close()
    }
  }

  private async sendWaiting (call: PeerCall): Promise<void> {
    const messages = this.takeBatch()
    if (messages.length === 0) return await this.untilWorkWaits()
    call.write({ from: this.options.self, messages })
    this.lastWriteMilliseconds = this.options.clock.monotonicMilliseconds()
    await writable(call)
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

  /** Streams that carry nothing are closed: at 800 entries a full mesh of idle streams costs more than what they carry. */
  private isIdle (): boolean {
    const silence = this.options.clock.monotonicMilliseconds() - this.lastWriteMilliseconds
    return this.queue.length === 0 && silence >= IDLE_LIMIT_MILLISECONDS
  }

  private takeBatch (): PeerMessage[] {
    if (this.queue.length <= MAXIMUM_BATCH_MESSAGES) {
      const all = this.queue
      this.queue = []
      return all
    }
    return this.queue.splice(0, MAXIMUM_BATCH_MESSAGES)
  }

  /** Messages are best effort: what waited for a dead stream is stale when the next one opens. */
  private dropWaiting (): void {
    this.dropped += this.queue.length
    this.queue = []
  }

  private async untilWorkWaits (): Promise<void> {
    if (this.queue.length > 0 || this.stopping.signal.aborted) return
    await new Promise<void>((resolve) => {
      // A turn of the event loop lets messages that belong together leave in one batch.
      this.wake = () => setImmediate(resolve)
    })
    this.wake = undefined
  }
}

interface EndWatch {
  readonly promise: Promise<void>
  isOver (): boolean
}

function endOf (call: PeerCall): EndWatch {
  let over = false
  const promise = new Promise<void>((resolve) => {
    const finish = (): void => {
      over = true
      resolve()
    }
    call.on('error', finish)
    call.on('end', finish)
    call.resume()
    call.on('status', finish)
  })
  return { promise, isOver: () => over }
}

function writable (call: PeerCall): Promise<void> | undefined {
  if (!call.writableNeedDrain) return undefined
  return new Promise((resolve) => call.once('drain', () => resolve()))
}

import type { ClientDuplexStream } from '@grpc/grpc-js'
import { sleep } from '@hickoryspoke/runtime/clock'
import type { GrpcPeerNetworkOptions } from './grpc-peer-network.ts'
import { EntryPeerClient, type PeerBatch, type PeerMessage, type PeerStreamEnd } from './generated/peer.ts'

const MAXIMUM_WAITING_MESSAGES = 10_000
const MAXIMUM_BATCH_MESSAGES = 256
const FIRST_BACKOFF_MILLISECONDS = 50
const LONGEST_BACKOFF_MILLISECONDS = 2_000
const KEEPALIVE_INTERVAL_MILLISECONDS = 10_000
const KEEPALIVE_TIMEOUT_MILLISECONDS = 3_000

type PeerCall = ClientDuplexStream<PeerBatch, PeerStreamEnd>

/** The sending stream to one peer, run by one task that reconnects for as long as it lives. */
export class PeerLink {
  dropped = 0
  private queue: PeerMessage[] = []
  private wake: (() => void) | undefined
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
      const sent = await this.sendOverOneStream()
      if (this.stopping.signal.aborted) return
      backoffMilliseconds = sent ? FIRST_BACKOFF_MILLISECONDS : Math.min(backoffMilliseconds * 2, LONGEST_BACKOFF_MILLISECONDS)
      this.dropWaiting()
      logger.debug('peer stream lost', { peer: this.peer, backoffMilliseconds })
      await sleep(clock, backoffMilliseconds * (0.5 + random.next()), this.stopping.signal)
    }
  }

  /** Writes batches until the stream ends; tells whether anything was written. */
  private async sendOverOneStream (): Promise<boolean> {
    const address = this.options.addressOf(this.peer)
    if (address === undefined) return false
    const client = this.connect(address)
    const call = client.exchange()
    const ended = endOf(call)
    let sent = false
    try {
      while (!this.stopping.signal.aborted && !ended.isOver()) {
        const batch = this.takeBatch()
        if (batch.length > 0) {
          sent = this.write(call, batch) || sent
          await Promise.race([writable(call), ended.promise])
        } else {
          await Promise.race([this.untilWorkWaits(), ended.promise])
        }
      }
    } finally {
      call.cancel()
      client.close()
    }
    return sent
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

  private write (call: PeerCall, messages: PeerMessage[]): boolean {
    call.write({ from: this.options.self, messages })
    return true
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

interface StreamEnd {
  readonly promise: Promise<void>
  isOver (): boolean
}

function endOf (call: PeerCall): StreamEnd {
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

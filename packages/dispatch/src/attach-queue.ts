/**
 * Clients that wait to be attached to the leader. Attaching one costs the leader much more than accepting its connection,
 * and the event loop accepts one connection a turn, so that a leader which attaches each client as it comes accepts the
 * others only after they have given up waiting.
 */
import type { Clock } from '@hickoryspoke/runtime/clock'

/** A client that has said who it is. */
export interface WaitingClient {
  /** Whether the client has left. */
  readonly isClosed: boolean
  /** Attaches the client, or redirects it. */
  open (): void
  /** Tells the client that it waits here. */
  wait (): void
}

/** Dependencies of an `AttachQueue`. */
export interface AttachQueueOptions {
  readonly clock: Clock
  /** Runs a task in a later turn of the event loop, after the input that has already arrived. */
  readonly defer?: (task: () => void) => void
}

interface QueuedClient {
  readonly client: WaitingClient
  readonly arrivedAt: number
  /** When the client was last told that it waits, in monotonic milliseconds; at first when it arrived. */
  toldAt: number
}

/** Time in a turn of the event loop that is spent on attaching clients. */
const SLICE_MILLISECONDS = 3
/** While clients arrive in each turn, those before them wait, but no longer than this. */
const ARRIVALS_FIRST_MILLISECONDS = 200
/** A client that hears nothing for this long is told that it still waits. Shorter than clients wait for a message. */
const WAIT_NOTICE_MILLISECONDS = 500

/** Waiting clients, in order of arrival. */
export class AttachQueue {
  private queue: QueuedClient[] = []
  private isScheduled = false
  /** Whether a client arrived since the last turn. */
  private hasArrivals = false

  private constructor (private readonly options: AttachQueueOptions) {}

  static create (options: AttachQueueOptions): AttachQueue {
    return new AttachQueue(options)
  }

  /** Number of clients that wait, including those that have left meanwhile. */
  get length (): number {
    return this.queue.length
  }

  /** Adds a client, to be attached in its turn. */
  add (client: WaitingClient): void {
    const arrivedAt = this.options.clock.monotonicMilliseconds()
    this.queue.push({ client, arrivedAt, toldAt: arrivedAt })
    this.hasArrivals = true
    if (this.isScheduled) return
    // What a client sent after its first message, such as the end of its stream, is read in the next turn.
    this.schedule(() => this.schedule(() => this.work()))
  }

  private schedule (task: () => void): void {
    this.isScheduled = true
    const defer = this.options.defer ?? setImmediate
    defer(() => {
      this.isScheduled = false
      task()
    })
  }

  /** Attaches clients for one slice, and passes over those that have left. */
  private work (): void {
    const { clock } = this.options
    const now = clock.monotonicMilliseconds()
    this.queue = this.queue.filter(({ client }) => !client.isClosed)
    const isPatient = this.hasArrivals && now - (this.queue[0]?.arrivedAt ?? now) < ARRIVALS_FIRST_MILLISECONDS
    this.hasArrivals = false
    if (!isPatient) this.attach(now + SLICE_MILLISECONDS)
    this.tellWaiting(now)
    if (this.queue.length > 0) this.schedule(() => this.work())
  }

  private attach (until: number): void {
    const { clock } = this.options
    do this.queue.shift()?.client.open()
    while (this.queue.length > 0 && clock.monotonicMilliseconds() < until)
  }

  private tellWaiting (now: number): void {
    for (const queued of this.queue) {
      if (now - queued.toldAt < WAIT_NOTICE_MILLISECONDS) continue
      queued.toldAt = now
      queued.client.wait()
    }
  }
}

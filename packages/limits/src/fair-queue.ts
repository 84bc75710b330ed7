import type { Clock } from '@hickoryspoke/runtime/clock'
import { Err, Ok, type Result } from 'ts-results-es'
import { CustomerQueue, type WaitingRequest } from './customer-queue.ts'
import { QUEUE_REFUSAL_REASON, QueueRefusal, type QueueRefusalReason } from './queue-refusal.ts'

/** A request for a slot of a pool. */
export interface QueueRequest {
  readonly customer: string
  /** Weight of the customer against the others, for instance its rate; above 0. */
  readonly weight: number
  /** Monotonic time in milliseconds by which the request must have finished. */
  readonly deadlineMilliseconds: number
  /** Aborted when the caller disconnects. */
  readonly signal?: AbortSignal
}

/** A slot of the pool, held until `release` is called. */
export interface QueuePermit {
  /** Returns the slot and reports how long the upstream took, in milliseconds. Further calls have no effect. */
  release (serviceMilliseconds: number): void
}

/** Limits of a fair queue. */
export interface FairQueueSettings {
  /** Maximum number of waiting requests of all customers together. */
  readonly maximumWaiting: number
}

/** State of a fair queue for metrics. */
export interface FairQueueView {
  readonly capacity: number
  readonly inFlight: number
  readonly waiting: number
  readonly meanServiceMilliseconds: number
  readonly customers: readonly { readonly customer: string, readonly waiting: number, readonly inFlight: number }[]
  readonly refused: Readonly<Record<QueueRefusalReason, number>>
}

const DEFAULT_FAIR_QUEUE_SETTINGS: FairQueueSettings = { maximumWaiting: 1000 }
const SERVICE_SMOOTHING = 0.05
const MINIMUM_RETRY_AFTER_MILLISECONDS = 100

/**
 * Queue for the slots of one pool. When slots are scarce, customers get service time in proportion
 * to their weights (start-time fair queueing). A request that cannot finish before its deadline is
 * refused at once. When the queue is full, a new request evicts one of the customer whose queue is
 * longest for its weight.
 */
export class FairQueue {
  private readonly lines = new Map<string, CustomerQueue>()
  private readonly refused = { deadline: 0, full: 0, cancelled: 0, closed: 0 }
  private capacity = 0
  private inFlight = 0
  private waitingCount = 0
  private meanService = 0
  /** Lower bound for the normalized service of a customer that becomes active again, so that idle time earns no credit. */
  private virtualTime = 0
  private closed = false

  private constructor (private readonly clock: Clock, private readonly settings: FairQueueSettings) {}

  static create (clock: Clock, settings: FairQueueSettings = DEFAULT_FAIR_QUEUE_SETTINGS): FairQueue {
    return new FairQueue(clock, settings)
  }

  /** Sets the number of slots that this entry may use at once. With a capacity between 0 and 1, one request runs at a time. */
  setCapacity (slots: number): void {
    this.capacity = slots
    this.dispatch()
  }

  /** Resolves with a permit once the customer gets a slot, or with the reason for refusing the request. */
  enter (entry: QueueRequest): Promise<Result<QueuePermit, QueueRefusal>> {
    const line = this.queueOf(entry)
    const reason = this.refusalReason(entry, line)
    if (reason !== undefined) {
      this.removeIfIdle(line)
      return Promise.resolve(this.refuse(reason))
    }
    return new Promise((resolve) => this.enqueue(entry, line, resolve))
  }

  /** Refuses all waiting requests and all later ones. */
  close (): void {
    this.closed = true
    for (const line of [...this.lines.values()]) {
      for (const request of [...line.waiting]) request.evict()
    }
  }

  view (): FairQueueView {
    const customers = [...this.lines.values()].map((line) => ({ customer: line.customer, waiting: line.waiting.length, inFlight: line.inFlight }))
    return {
      capacity: this.capacity,
      inFlight: this.inFlight,
      waiting: this.waitingCount,
      meanServiceMilliseconds: this.meanService,
      customers,
      refused: { ...this.refused }
    }
  }

  private refusalReason (entry: QueueRequest, line: CustomerQueue): QueueRefusalReason | undefined {
    if (this.closed) return QUEUE_REFUSAL_REASON.closed
    if (entry.signal?.aborted) return QUEUE_REFUSAL_REASON.cancelled
    const finish = this.clock.monotonicMilliseconds() + this.expectedWait(line) + this.meanService
    if (finish > entry.deadlineMilliseconds) return QUEUE_REFUSAL_REASON.deadline
    if (this.waitingCount >= this.settings.maximumWaiting && !this.evictFromLongest(line)) return QUEUE_REFUSAL_REASON.full
    return undefined
  }

  /** Estimated milliseconds until a new request of a customer gets a slot, if all waiting customers are served by weight. */
  private expectedWait (line: CustomerQueue): number {
    if (line.waiting.length === 0 && this.hasFreeSlot()) return 0
    let weights = line.waiting.length === 0 ? line.weight : 0
    for (const other of this.lines.values()) if (other.waiting.length > 0) weights += other.weight
    const slots = Math.max(1, this.capacity) * line.weight / weights
    return line.waiting.length * this.meanService / slots
  }

  /** Evicts the newest request of the customer with the longest queue for its weight; returns false if that is the newcomer. */
  private evictFromLongest (newcomer: CustomerQueue): boolean {
    let longest = newcomer
    let longestLength = (newcomer.waiting.length + 1) / newcomer.weight
    for (const line of this.lines.values()) {
      if (line.weightedLength <= longestLength) continue
      longest = line
      longestLength = line.weightedLength
    }
    if (longest === newcomer) return false
    longest.waiting.at(-1)?.evict()
    return true
  }

  private enqueue (entry: QueueRequest, line: CustomerQueue, resolve: (result: Result<QueuePermit, QueueRefusal>) => void): void {
    const leave = (reason: QueueRefusalReason): void => {
      if (!line.remove(request)) return
      this.waitingCount -= 1
      entry.signal?.removeEventListener('abort', cancel)
      this.removeIfIdle(line)
      resolve(this.refuse(reason))
    }
    const cancel = (): void => leave(QUEUE_REFUSAL_REASON.cancelled)
    const request: WaitingRequest = {
      deadlineMilliseconds: entry.deadlineMilliseconds,
      start: () => {
        entry.signal?.removeEventListener('abort', cancel)
        resolve(Ok(this.permitFor(line)))
      },
      expire: () => leave(QUEUE_REFUSAL_REASON.deadline),
      evict: () => leave(this.closed ? QUEUE_REFUSAL_REASON.closed : QUEUE_REFUSAL_REASON.full)
    }
    entry.signal?.addEventListener('abort', cancel, { once: true })
    if (line.isIdle) line.normalizedService = Math.max(line.normalizedService, this.virtualTime)
    line.waiting.push(request)
    this.waitingCount += 1
    this.dispatch()
  }

  /** Starts waiting requests while slots are free, the customer with the least normalized service first. */
  private dispatch (): void {
    while (this.waitingCount > 0 && this.hasFreeSlot()) {
      const line = this.leastServed()
      const request = line?.waiting[0]
      if (line === undefined || request === undefined) return
      if (this.clock.monotonicMilliseconds() + this.meanService > request.deadlineMilliseconds) request.expire()
      else this.startNext(line, request)
    }
  }

  private startNext (line: CustomerQueue, request: WaitingRequest): void {
    line.waiting.shift()
    this.waitingCount -= 1
    this.inFlight += 1
    line.inFlight += 1
    this.virtualTime = Math.max(this.virtualTime, line.normalizedService)
    request.start()
  }

  private leastServed (): CustomerQueue | undefined {
    let least: CustomerQueue | undefined
    for (const line of this.lines.values()) {
      if (line.waiting.length === 0) {
        this.removeIfIdle(line)
        continue
      }
      if (least === undefined || line.normalizedService < least.normalizedService) least = line
    }
    return least
  }

  private permitFor (line: CustomerQueue): QueuePermit {
    const expected = this.meanService
    line.chargeService(expected)
    let held = true
    return {
      release: (serviceMilliseconds) => {
        if (!held) return
        held = false
        line.chargeService(serviceMilliseconds - expected)
        this.recordServiceTime(serviceMilliseconds)
        this.inFlight -= 1
        line.inFlight -= 1
        this.removeIfIdle(line)
        this.dispatch()
      }
    }
  }

  private recordServiceTime (serviceMilliseconds: number): void {
    const known = this.meanService === 0 ? serviceMilliseconds : this.meanService
    this.meanService = known + SERVICE_SMOOTHING * (serviceMilliseconds - known)
  }

  private hasFreeSlot (): boolean {
    return this.capacity > 0 && (this.inFlight === 0 || this.inFlight + 1 <= this.capacity)
  }

  private queueOf (entry: QueueRequest): CustomerQueue {
    const known = this.lines.get(entry.customer)
    if (known !== undefined) {
      known.weight = entry.weight
      return known
    }
    const line = CustomerQueue.create(entry.customer, entry.weight, this.virtualTime)
    this.lines.set(entry.customer, line)
    return line
  }

  /** Keeps an idle customer that received more than its share while others wait, so that it cannot reset its service by pausing. */
  private removeIfIdle (line: CustomerQueue): void {
    if (line.isIdle && (line.normalizedService <= this.virtualTime || this.waitingCount === 0)) this.lines.delete(line.customer)
  }

  private refuse (reason: QueueRefusalReason): Result<never, QueueRefusal> {
    this.refused[reason] += 1
    return Err(QueueRefusal.create(reason, Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, Math.ceil(this.meanService))))
  }
}

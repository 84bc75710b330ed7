import type { Clock } from '@hickoryspoke/runtime/clock'
import { Err, Ok, type Result } from 'ts-results-es'
import { CustomerLine, type WaitingRequest } from './customer-line.ts'
import { QUEUE_REFUSAL_REASON, QueueRefusal, type QueueRefusalReason } from './queue-refusal.ts'

/** A request that wants a slot of a pool. */
export interface QueueEntry {
  readonly customer: string
  /** The customer's share against others, such as its rate; above 0. */
  readonly weight: number
  /** Monotonic time in milliseconds by which the request must have finished. */
  readonly deadlineMilliseconds: number
  /** Aborts when the caller goes away. */
  readonly signal?: AbortSignal
}

/** A slot of the pool, held until it is released. */
export interface QueuePass {
  /** Gives the slot back; states how long the upstream worked, in milliseconds. A second call does nothing. */
  release (serviceMilliseconds: number): void
}

/** Sizes of a fair queue. */
export interface FairQueueSettings {
  /** Most requests that wait, of all customers together. */
  readonly mostWaiting: number
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

const FAIR_QUEUE_SETTINGS: FairQueueSettings = { mostWaiting: 1000 }
const SERVICE_SMOOTHING = 0.05
const LEAST_RETRY_AFTER_MILLISECONDS = 100

/**
 * Places before one pool, shared among customers in proportion to their weights while the pool
 * is short of slots (start-time fair queueing over service time). What cannot finish before its
 * deadline is refused at once, and a full queue gives way to the customer that waits least.
 */
export class FairQueue {
  private readonly lines = new Map<string, CustomerLine>()
  private readonly refused = { deadline: 0, full: 0, cancelled: 0, closed: 0 }
  private capacity = 0
  private inFlight = 0
  private waitingCount = 0
  private meanService = 0
  /** Service per weight that a customer who comes back is taken to have had. */
  private virtualTime = 0
  private closed = false

  private constructor (private readonly clock: Clock, private readonly settings: FairQueueSettings) {}

  static create (clock: Clock, settings: FairQueueSettings = FAIR_QUEUE_SETTINGS): FairQueue {
    return new FairQueue(clock, settings)
  }

  /** Sets the slots that this entry may fill at once; with a capacity between 0 and 1 one request runs at a time. */
  setCapacity (slots: number): void {
    this.capacity = slots
    this.dispatch()
  }

  /** Resolves with a pass once a slot is free for the customer, or with the reason of refusal. */
  enter (entry: QueueEntry): Promise<Result<QueuePass, QueueRefusal>> {
    const line = this.lineOf(entry)
    const reason = this.reasonAgainst(entry, line)
    if (reason !== undefined) {
      this.forgetIfIdle(line)
      return Promise.resolve(this.refuse(reason))
    }
    return new Promise((resolve) => this.wait(entry, line, resolve))
  }

  /** Refuses all that wait and all that come. */
  close (): void {
    this.closed = true
    for (const line of [...this.lines.values()]) {
      for (const request of [...line.waiting]) request.displace()
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

  private reasonAgainst (entry: QueueEntry, line: CustomerLine): QueueRefusalReason | undefined {
    if (this.closed) return QUEUE_REFUSAL_REASON.closed
    if (entry.signal?.aborted) return QUEUE_REFUSAL_REASON.cancelled
    const finish = this.clock.monotonicMilliseconds() + this.expectedWait(line) + this.meanService
    if (finish > entry.deadlineMilliseconds) return QUEUE_REFUSAL_REASON.deadline
    if (this.waitingCount >= this.settings.mostWaiting && !this.makeRoom(line)) return QUEUE_REFUSAL_REASON.full
    return undefined
  }

  /** Milliseconds until a new request of a customer gets a slot, when all that wait are served by weight. */
  private expectedWait (line: CustomerLine): number {
    if (line.waiting.length === 0 && this.slotFree()) return 0
    let weights = line.waiting.length === 0 ? line.weight : 0
    for (const other of this.lines.values()) if (other.waiting.length > 0) weights += other.weight
    const slots = Math.max(1, this.capacity) * line.weight / weights
    return line.waiting.length * this.meanService / slots
  }

  /** Displaces the newest request of the customer that waits most for its weight, unless that is the newcomer. */
  private makeRoom (newcomer: CustomerLine): boolean {
    let longest = newcomer
    let longestLength = (newcomer.waiting.length + 1) / newcomer.weight
    for (const line of this.lines.values()) {
      if (line.weightedLength <= longestLength) continue
      longest = line
      longestLength = line.weightedLength
    }
    if (longest === newcomer) return false
    longest.waiting.at(-1)?.displace()
    return true
  }

  private wait (entry: QueueEntry, line: CustomerLine, resolve: (result: Result<QueuePass, QueueRefusal>) => void): void {
    const leave = (reason: QueueRefusalReason): void => {
      if (!line.remove(request)) return
      this.waitingCount -= 1
      entry.signal?.removeEventListener('abort', cancel)
      this.forgetIfIdle(line)
      resolve(this.refuse(reason))
    }
    const cancel = (): void => leave(QUEUE_REFUSAL_REASON.cancelled)
    const request: WaitingRequest = {
      deadlineMilliseconds: entry.deadlineMilliseconds,
      start: () => {
        entry.signal?.removeEventListener('abort', cancel)
        resolve(Ok(this.passFor(line)))
      },
      expire: () => leave(QUEUE_REFUSAL_REASON.deadline),
      displace: () => leave(this.closed ? QUEUE_REFUSAL_REASON.closed : QUEUE_REFUSAL_REASON.full)
    }
    entry.signal?.addEventListener('abort', cancel, { once: true })
    if (line.idle) line.servedPerWeight = Math.max(line.servedPerWeight, this.virtualTime)
    line.waiting.push(request)
    this.waitingCount += 1
    this.dispatch()
  }

  /** Starts waiting requests while slots are free, the customer with the least service for its weight first. */
  private dispatch (): void {
    while (this.waitingCount > 0 && this.slotFree()) {
      const line = this.leastServed()
      const request = line?.waiting[0]
      if (line === undefined || request === undefined) return
      if (this.clock.monotonicMilliseconds() + this.meanService > request.deadlineMilliseconds) request.expire()
      else this.startNext(line, request)
    }
  }

  private startNext (line: CustomerLine, request: WaitingRequest): void {
    line.waiting.shift()
    this.waitingCount -= 1
    this.inFlight += 1
    line.inFlight += 1
    this.virtualTime = Math.max(this.virtualTime, line.servedPerWeight)
    request.start()
  }

  private leastServed (): CustomerLine | undefined {
    let least: CustomerLine | undefined
    for (const line of this.lines.values()) {
      if (line.waiting.length === 0) {
        this.forgetIfIdle(line)
        continue
      }
      if (least === undefined || line.servedPerWeight < least.servedPerWeight) least = line
    }
    return least
  }

  private passFor (line: CustomerLine): QueuePass {
    const expected = this.meanService
    line.charge(expected)
    let held = true
    return {
      release: (serviceMilliseconds) => {
        if (!held) return
        held = false
        line.charge(serviceMilliseconds - expected)
        this.learn(serviceMilliseconds)
        this.inFlight -= 1
        line.inFlight -= 1
        this.forgetIfIdle(line)
        this.dispatch()
      }
    }
  }

  private learn (serviceMilliseconds: number): void {
    const known = this.meanService === 0 ? serviceMilliseconds : this.meanService
    this.meanService = known + SERVICE_SMOOTHING * (serviceMilliseconds - known)
  }

  private slotFree (): boolean {
    return this.capacity > 0 && (this.inFlight === 0 || this.inFlight + 1 <= this.capacity)
  }

  private lineOf (entry: QueueEntry): CustomerLine {
    const known = this.lines.get(entry.customer)
    if (known !== undefined) {
      known.weight = entry.weight
      return known
    }
    const line = CustomerLine.create(entry.customer, entry.weight, this.virtualTime)
    this.lines.set(entry.customer, line)
    return line
  }

  /** While others wait, an idle customer that is ahead of them must not lose its debt by leaving. */
  private forgetIfIdle (line: CustomerLine): void {
    if (line.idle && (line.servedPerWeight <= this.virtualTime || this.waitingCount === 0)) this.lines.delete(line.customer)
  }

  private refuse (reason: QueueRefusalReason): Result<never, QueueRefusal> {
    this.refused[reason] += 1
    return Err(QueueRefusal.create(reason, Math.max(LEAST_RETRY_AFTER_MILLISECONDS, Math.ceil(this.meanService))))
  }
}

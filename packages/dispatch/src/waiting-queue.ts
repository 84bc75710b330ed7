/** Requests that wait for a free upstream. Those that can still be answered in time go first; each group is ordered by priority, 0 first, and by age. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { FairLines } from './fair-lines.ts'
import type { RequestingEntry } from './pool-dispatcher.ts'
import type { UpstreamChoice } from './upstream-choice.ts'
import { WaitingLine } from './waiting-line.ts'

/** A placement question that waits for a free upstream. */
export interface WaitingQuestion {
  readonly question: PlacementQuestion
  readonly requester: RequestingEntry
  /** When the wait began, in monotonic milliseconds. */
  readonly since: number
  /** Ends the wait, with undefined when the request is not placed. */
  readonly resolve: (choice: UpstreamChoice | undefined) => void
}

/** Waiting requests that are offered upstreams in their order. */
export interface WaitingGroup {
  /** The request with this many others before it; undefined when there are fewer. */
  at (place: number): WaitingQuestion | undefined
}

/** The waiting requests of one pool. */
export class WaitingQueue {
  private readonly onTime = WaitingLine.create()
  private readonly late = WaitingLine.create()
  /** Requests that wait by customer in turn; they go before the others, which were added under an earlier policy. */
  readonly fair = FairLines.create()
  private readonly plainGroups = [this.onTime, this.late]

  static create (): WaitingQueue {
    return new WaitingQueue()
  }

  get length (): number {
    return this.onTime.length + this.late.length + this.fair.length
  }

  /** When the oldest request began to wait; Infinity for none. */
  get oldest (): number {
    return Math.min(this.onTime.oldest, this.late.oldest, this.fair.oldest)
  }

  /** The groups in the order in which they are served: requests that can be answered in time, and those that can only be answered late. */
  groups (): readonly WaitingGroup[] {
    return this.fair.length === 0 ? this.plainGroups : [...this.fair.lines(), ...this.plainGroups]
  }

  /** Number of on-time requests that go before a new one with this priority. */
  ahead (priority: number): number {
    return this.onTime.ahead(priority) + this.fair.onTimeUpTo(priority)
  }

  add (waiting: WaitingQuestion): void {
    this.onTime.add(waiting)
  }

  /** Adds a request that waits by customer in turn; one that returns as told goes before the others of its customer. */
  addFair (waiting: WaitingQuestion, isReturning: boolean): void {
    this.fair.add(waiting, isReturning)
  }

  /** Moves a request that can no longer be answered in time behind those that can; false when it is not in the first group. */
  moveToLate (waiting: WaitingQuestion): boolean {
    if (!this.onTime.remove(waiting)) return this.fair.moveToLate(waiting)
    this.late.add(waiting)
    return true
  }

  isWaiting (waiting: WaitingQuestion): boolean {
    return this.onTime.has(waiting) || this.late.has(waiting) || this.fair.isWaiting(waiting)
  }

  /** Removes a request; false when it is not waiting. */
  withdraw (waiting: WaitingQuestion): boolean {
    return this.onTime.remove(waiting) || this.late.remove(waiting) || this.fair.withdraw(waiting)
  }

  /** Removes a request that is served, which was its customer's turn. */
  serve (waiting: WaitingQuestion): void {
    if (!this.fair.serve(waiting)) this.withdraw(waiting)
  }
}

/** Requests that wait for a free upstream. Those that can still be answered in time go first; each group is ordered by priority, 0 first, and by age. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
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

/** The waiting requests of one pool. */
export class WaitingQueue {
  private readonly onTime = WaitingLine.create()
  private readonly late = WaitingLine.create()

  static create (): WaitingQueue {
    return new WaitingQueue()
  }

  get length (): number {
    return this.onTime.length + this.late.length
  }

  /** When the oldest request began to wait; Infinity for none. */
  get oldest (): number {
    return Math.min(this.onTime.oldest, this.late.oldest)
  }

  /** The two groups: requests that can be answered in time, and those that can only be answered late. */
  groups (): readonly WaitingLine[] {
    return [this.onTime, this.late]
  }

  /** Number of on-time requests that go before a new one with this priority. */
  ahead (priority: number): number {
    return this.onTime.ahead(priority)
  }

  add (waiting: WaitingQuestion): void {
    this.onTime.add(waiting)
  }

  /** Moves a request that can no longer be answered in time behind those that can; false when it is not in the first group. */
  moveToLate (waiting: WaitingQuestion): boolean {
    if (!this.onTime.remove(waiting)) return false
    this.late.add(waiting)
    return true
  }

  isWaiting (waiting: WaitingQuestion): boolean {
    return this.onTime.has(waiting) || this.late.has(waiting)
  }

  /** Removes a request; false when it is not waiting. */
  withdraw (waiting: WaitingQuestion): boolean {
    return this.onTime.remove(waiting) || this.late.remove(waiting)
  }
}

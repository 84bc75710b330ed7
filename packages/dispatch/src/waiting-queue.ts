/** Requests that wait for a free upstream. Those that can still be answered in time go first; each group is ordered by priority, 0 first, and by age. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { RequestingEntry } from './pool-dispatcher.ts'
import type { UpstreamChoice } from './upstream-choice.ts'

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
  private readonly onTime: WaitingQuestion[] = []
  private readonly late: WaitingQuestion[] = []
  /** Number of on-time requests by priority. */
  private readonly onTimeCounts = new Map<number, number>()

  static create (): WaitingQueue {
    return new WaitingQueue()
  }

  get length (): number {
    return this.onTime.length + this.late.length
  }

  /** When the oldest request began to wait; Infinity for none. */
  get oldest (): number {
    return [...this.onTime, ...this.late].reduce((oldest, { since }) => Math.min(oldest, since), Infinity)
  }

  /** The two groups: requests that can be answered in time, and those that can only be answered late. */
  groups (): readonly (readonly WaitingQuestion[])[] {
    return [this.onTime, this.late]
  }

  /** Number of on-time requests that go before a new one with this priority. */
  ahead (priority: number): number {
    let count = 0
    for (const [other, requests] of this.onTimeCounts) {
      if (other <= priority) count += requests
    }
    return count
  }

  add (waiting: WaitingQuestion): void {
    insertByPriority(this.onTime, waiting)
    this.countOnTime(waiting, 1)
  }

  /** Moves a request that can no longer be answered in time behind those that can; false when it is not in the first group. */
  moveToLate (waiting: WaitingQuestion): boolean {
    if (!this.removeOnTime(waiting)) return false
    insertByPriority(this.late, waiting)
    return true
  }

  isWaiting (waiting: WaitingQuestion): boolean {
    return this.onTime.includes(waiting) || this.late.includes(waiting)
  }

  /** Removes a request; false when it is not waiting. */
  withdraw (waiting: WaitingQuestion): boolean {
    return this.removeOnTime(waiting) || remove(this.late, waiting)
  }

  private removeOnTime (waiting: WaitingQuestion): boolean {
    if (!remove(this.onTime, waiting)) return false
    this.countOnTime(waiting, -1)
    return true
  }

  private countOnTime ({ question }: WaitingQuestion, change: number): void {
    this.onTimeCounts.set(question.priority, (this.onTimeCounts.get(question.priority) ?? 0) + change)
  }
}

/** Inserts behind all requests of the same or a higher priority. */
function insertByPriority (line: WaitingQuestion[], waiting: WaitingQuestion): void {
  let low = 0
  let high = line.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((line[middle] as WaitingQuestion).question.priority > waiting.question.priority) high = middle
    else low = middle + 1
  }
  line.splice(low, 0, waiting)
}

function remove (line: WaitingQuestion[], waiting: WaitingQuestion): boolean {
  const place = line.indexOf(waiting)
  if (place < 0) return false
  line.splice(place, 1)
  return true
}

/** Requests that wait for a free upstream. Those that can still be answered in time go first; each group is ordered by priority, 0 first, and by age. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { RequestingEntry } from './pool-dispatcher.ts'
import type { UpstreamChoice } from './upstream-choice.ts'

/** A placement question that waits for a free upstream. */
export interface WaitingQuestion {
  readonly question: PlacementQuestion
  readonly asker: RequestingEntry
  /** When the wait began, in monotonic milliseconds. */
  readonly since: number
  /** Ends the wait, with undefined when the request is not placed. */
  readonly resolve: (choice: UpstreamChoice | undefined) => void
}

/** The waiting requests of one pool. */
export class WaitingQueue {
  private readonly onTime: WaitingQuestion[] = []
  private readonly late: WaitingQuestion[] = []

  static create (): WaitingQueue {
    return new WaitingQueue()
  }

  get length (): number {
    return this.onTime.length + this.late.length
  }

  /** When the oldest request began to wait; Infinity for none. */
  get oldest (): number {
    return Math.min(Infinity, ...this.onTime.map(({ since }) => since), ...this.late.map(({ since }) => since))
  }

  /** Copies of the two groups: requests that can be answered in time, and those that can only be answered late. */
  groups (): readonly WaitingQuestion[][] {
    return [[...this.onTime], [...this.late]]
  }

  /** Number of on-time requests that go before a new one with this priority. */
  ahead (priority: number): number {
    let count = 0
    for (const { question } of this.onTime) {
      if (question.priority > priority) break
      count += 1
    }
    return count
  }

  add (waiting: WaitingQuestion): void {
    insertByPriority(this.onTime, waiting)
  }

  /** Moves a request that can no longer be answered in time behind those that can; false when it is not in the first group. */
  moveToLate (waiting: WaitingQuestion): boolean {
    if (!remove(this.onTime, waiting)) return false
    insertByPriority(this.late, waiting)
    return true
  }

  /** Removes a request; false when it is not waiting. */
  withdraw (waiting: WaitingQuestion): boolean {
    return remove(this.onTime, waiting) || remove(this.late, waiting)
  }
}

function insertByPriority (line: WaitingQuestion[], waiting: WaitingQuestion): void {
  const place = line.findIndex((other) => other.question.priority > waiting.question.priority)
  if (place < 0) line.push(waiting)
  else line.splice(place, 0, waiting)
}

function remove (line: WaitingQuestion[], waiting: WaitingQuestion): boolean {
  const place = line.indexOf(waiting)
  if (place < 0) return false
  line.splice(place, 1)
  return true
}

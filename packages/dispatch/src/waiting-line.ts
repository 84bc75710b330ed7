/** Questions that wait for a free upstream: those that can still be answered in time first, each by urgency and age. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Asker } from './pool-dispatcher.ts'
import type { Choice } from './upstream-choice.ts'

/** A question that waits for a free upstream; times are monotonic milliseconds. */
export interface WaitingQuestion {
  readonly question: PlacementQuestion
  readonly asker: Asker
  readonly since: number
  readonly resolve: (choice: Choice | undefined) => void
}

/** What waits in one pool. */
export class WaitingLine {
  private readonly punctual: WaitingQuestion[] = []
  private readonly late: WaitingQuestion[] = []

  static create (): WaitingLine {
    return new WaitingLine()
  }

  get length (): number {
    return this.punctual.length + this.late.length
  }

  /** What can be answered in time, and what can only be late, each with the first to be placed first. */
  parts (): readonly WaitingQuestion[][] {
    return [[...this.punctual], [...this.late]]
  }

  /** Questions that go before a new one of this urgency. */
  ahead (priority: number): number {
    let count = 0
    for (const { question } of this.punctual) {
      if (question.priority > priority) break
      count += 1
    }
    return count
  }

  add (waiting: WaitingQuestion): void {
    insert(this.punctual, waiting)
  }

  /** Moves a question that can no longer be answered in time behind those that can; false when it no longer waits. */
  becomeLate (waiting: WaitingQuestion): boolean {
    if (!remove(this.punctual, waiting)) return false
    insert(this.late, waiting)
    return true
  }

  /** Takes a question back; false when it no longer waits. */
  withdraw (waiting: WaitingQuestion): boolean {
    return remove(this.punctual, waiting) || remove(this.late, waiting)
  }
}

function insert (line: WaitingQuestion[], waiting: WaitingQuestion): void {
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

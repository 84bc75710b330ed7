/** The fair lines of a pool: the most urgent priority first, and within a priority the requests that can still be answered in time. */
import { FairLine } from './fair-line.ts'
import type { WaitingQuestion } from './waiting-queue.ts'

/** The line of one priority, of the requests that can be answered in time or of those that are late. */
interface RankedLine {
  readonly priority: number
  readonly isLate: boolean
  readonly line: FairLine
}

/** Fair lines by rank. */
export class FairLines {
  /** In the order in which they are served. */
  private readonly ranked: RankedLine[] = []

  static create (): FairLines {
    return new FairLines()
  }

  get length (): number {
    let sum = 0
    for (const { line } of this.ranked) sum += line.length
    return sum
  }

  /** When the oldest request began to wait; Infinity for none. */
  get oldest (): number {
    return Math.min(Infinity, ...this.ranked.map(({ line }) => line.oldest))
  }

  /** When the oldest request of each priority that waits began to wait. */
  oldestByPriority (): Map<number, number> {
    const oldest = new Map<number, number>()
    for (const { priority, line } of this.ranked) {
      if (line.length > 0) oldest.set(priority, Math.min(oldest.get(priority) ?? Infinity, line.oldest))
    }
    return oldest
  }

  /** The lines with requests, in the order in which they are served. */
  lines (): FairLine[] {
    return this.ranked.filter(({ line }) => line.length > 0).map(({ line }) => line)
  }

  /** The line of requests of a priority that can be answered in time. */
  onTime (priority: number): FairLine {
    return this.lineOf(priority, false)
  }

  /** Number of waiting requests with a more urgent priority. */
  moreUrgent (priority: number): number {
    let count = 0
    for (const other of this.ranked) {
      if (other.priority < priority) count += other.line.length
    }
    return count
  }

  /** Number of waiting requests with this or a more urgent priority. */
  upTo (priority: number): number {
    let count = 0
    for (const other of this.ranked) {
      if (other.priority <= priority) count += other.line.length
    }
    return count
  }

  /** The same for those that can be answered in time. */
  onTimeUpTo (priority: number): number {
    let count = 0
    for (const other of this.ranked) {
      if (other.priority <= priority && !other.isLate) count += other.line.length
    }
    return count
  }

  add (waiting: WaitingQuestion, isReturning: boolean): void {
    this.onTime(waiting.question.priority).add(waiting, isReturning)
  }

  /** Moves a request behind those of its priority that can still be answered in time; false when it is not among them. */
  moveToLate (waiting: WaitingQuestion): boolean {
    const { priority } = waiting.question
    if (this.length === 0 || !this.onTime(priority).remove(waiting)) return false
    this.lineOf(priority, true).add(waiting)
    return true
  }

  isWaiting (waiting: WaitingQuestion): boolean {
    return this.ranked.some(({ line }) => line.has(waiting))
  }

  /** Removes a request that is not served; false when it is not waiting. */
  withdraw (waiting: WaitingQuestion): boolean {
    return this.ranked.some(({ line }) => line.remove(waiting))
  }

  /** Removes a request that is served; false when it is not waiting. */
  serve (waiting: WaitingQuestion): boolean {
    return this.ranked.some(({ line }) => line.serve(waiting))
  }

  private lineOf (priority: number, isLate: boolean): FairLine {
    const known = this.ranked.find((other) => other.priority === priority && other.isLate === isLate)
    if (known !== undefined) return known.line
    const line = FairLine.create()
    this.ranked.push({ priority, isLate, line })
    this.ranked.sort((left, right) => left.priority - right.priority || Number(left.isLate) - Number(right.isLate))
    return line
  }
}

/** A line of waiting requests by priority, 0 first, and by age. Adding and removing cost the same in a line of any length. */
import type { WaitingQuestion } from './waiting-queue.ts'

/** A request in a line, between its neighbours of the same priority. */
interface Place {
  readonly waiting: WaitingQuestion
  readonly ofPriority: PlacesOfPriority
  previous: Place | undefined
  next: Place | undefined
}

interface PlacesOfPriority {
  readonly priority: number
  first: Place | undefined
  last: Place | undefined
  length: number
}

/** Waiting requests; each is in the line once. */
export class WaitingLine {
  /** By priority, in the order in which they are served. */
  private readonly priorities: PlacesOfPriority[] = []
  private readonly places = new Map<WaitingQuestion, Place>()

  static create (): WaitingLine {
    return new WaitingLine()
  }

  get length (): number {
    return this.places.size
  }

  /** When the oldest request began to wait; Infinity for none. */
  get oldest (): number {
    let oldest = Infinity
    for (const { since } of this.places.keys()) oldest = Math.min(oldest, since)
    return oldest
  }

  has (waiting: WaitingQuestion): boolean {
    return this.places.has(waiting)
  }

  /** Adds a request behind all of the same or a higher priority. */
  add (waiting: WaitingQuestion): void {
    const ofPriority = this.placesOf(waiting.question.priority)
    const place: Place = { waiting, ofPriority, previous: ofPriority.last, next: undefined }
    if (ofPriority.last === undefined) ofPriority.first = place
    else ofPriority.last.next = place
    ofPriority.last = place
    ofPriority.length += 1
    this.places.set(waiting, place)
  }

  /** Removes a request; false when it is not in the line. */
  remove (waiting: WaitingQuestion): boolean {
    const place = this.places.get(waiting)
    if (place === undefined) return false
    this.places.delete(waiting)
    const { ofPriority, previous, next } = place
    if (previous === undefined) ofPriority.first = next
    else previous.next = next
    if (next === undefined) ofPriority.last = previous
    else next.previous = previous
    ofPriority.length -= 1
    return true
  }

  /** Number of requests with this or a higher priority. */
  ahead (priority: number): number {
    let count = 0
    for (const other of this.priorities) {
      if (other.priority <= priority) count += other.length
    }
    return count
  }

  /** The request with this many others before it; undefined when the line is shorter. Made for the first few. */
  at (place: number): WaitingQuestion | undefined {
    let before = place
    for (const { first, length } of this.priorities) {
      if (before < length) return nth(first, before)
      before -= length
    }
    return undefined
  }

  private placesOf (priority: number): PlacesOfPriority {
    const known = this.priorities.find((other) => other.priority === priority)
    if (known !== undefined) return known
    const created: PlacesOfPriority = { priority, first: undefined, last: undefined, length: 0 }
    this.priorities.push(created)
    this.priorities.sort((left, right) => left.priority - right.priority)
    return created
  }
}

function nth (first: Place | undefined, index: number): WaitingQuestion | undefined {
  let place = first
  for (let step = 0; step < index; step += 1) place = place?.next
  return place?.waiting
}

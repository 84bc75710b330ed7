/**
 * Waiting requests of one rank, served by customer in turn. Adding, removing and finding the place of a new request cost the
 * same in a line of any length.
 */
import { DepthCounts } from './depth-counts.ts'
import type { WaitingQuestion } from './waiting-queue.ts'

/** A request, between its neighbours of the same customer. */
interface Place {
  readonly waiting: WaitingQuestion
  readonly turn: Turn
  readonly isReturning: boolean
  previous: Place | undefined
  next: Place | undefined
}

/** The waiting requests of one customer. Those of returning callers are before the others. */
interface Turn {
  readonly customer: string
  first: Place | undefined
  lastReturning: Place | undefined
  last: Place | undefined
  length: number
  returning: number
}

/** A line in which each customer has one turn in each round. */
export class FairLine {
  /** Customers with waiting requests, in the order of their next turns. A map keeps this order, and moves a customer at a constant cost. */
  private readonly turns = new Map<string, Turn>()
  private readonly places = new Map<WaitingQuestion, Place>()
  private readonly depths = DepthCounts.create()

  static create (): FairLine {
    return new FairLine()
  }

  get length (): number {
    return this.places.size
  }

  /** Number of customers with waiting requests. */
  get customers (): number {
    return this.turns.size
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

  /** Adds a request behind the others of its customer, or, for a returning caller, behind those of its customer that have returned. */
  add (waiting: WaitingQuestion, isReturning = false): void {
    const turn = this.turnOf(waiting.question.customer)
    const previous = isReturning ? turn.lastReturning : turn.last
    const next = previous === undefined ? turn.first : previous.next
    const place: Place = { waiting, turn, isReturning, previous, next }
    if (previous === undefined) turn.first = place
    else previous.next = place
    if (next === undefined) turn.last = place
    else next.previous = place
    if (isReturning) turn.lastReturning = place
    this.places.set(waiting, place)
    this.depths.add(turn.length, 1)
    turn.length += 1
    if (isReturning) turn.returning += 1
  }

  /** Removes a request that is not served, so that its customer keeps its turn; false when it is not in the line. */
  remove (waiting: WaitingQuestion): boolean {
    const place = this.places.get(waiting)
    if (place === undefined) return false
    this.places.delete(waiting)
    const { turn, previous, next, isReturning } = place
    if (previous === undefined) turn.first = next
    else previous.next = next
    if (next === undefined) turn.last = previous
    else next.previous = previous
    if (turn.lastReturning === place) turn.lastReturning = previous
    if (isReturning) turn.returning -= 1
    turn.length -= 1
    this.depths.add(turn.length, -1)
    if (turn.length === 0) this.turns.delete(turn.customer)
    return true
  }

  /** Removes a request that is served; the next turn of its customer is after those of all others. */
  serve (waiting: WaitingQuestion): boolean {
    const turn = this.places.get(waiting)?.turn
    if (turn === undefined || !this.remove(waiting)) return false
    if (this.turns.delete(turn.customer)) this.turns.set(turn.customer, turn)
    return true
  }

  /** Number of the customer's requests that a new one of its own goes behind. */
  depthOf (customer: string, isReturning: boolean): number {
    const turn = this.turns.get(customer)
    if (turn === undefined) return 0
    return isReturning ? turn.returning : turn.length
  }

  /** Number of requests that are served before one of a customer that goes behind `depth` others of it: those of earlier rounds and, at most, of its own. */
  ahead (depth: number): number {
    return this.depths.upTo(depth)
  }

  /** The request with this many others before it; undefined when the line is shorter. Made for the first few. */
  at (place: number): WaitingQuestion | undefined {
    let before = place
    for (let round = 0; before < this.length; round += 1) {
      let found = 0
      for (const { first, length } of this.turns.values()) {
        if (length <= round) continue
        if (found === before) return nth(first, round)
        found += 1
      }
      if (found === 0) return undefined
      before -= found
    }
    return undefined
  }

  private turnOf (customer: string): Turn {
    const known = this.turns.get(customer)
    if (known !== undefined) return known
    const created: Turn = { customer, first: undefined, lastReturning: undefined, last: undefined, length: 0, returning: 0 }
    this.turns.set(customer, created)
    return created
  }
}

function nth (first: Place | undefined, index: number): WaitingQuestion | undefined {
  let place = first
  for (let step = 0; step < index; step += 1) place = place?.next
  return place?.waiting
}

/** Bounds of the times after which refused callers are told to return, and the times of those for whom no room is reserved. */

/** Callers honour `Retry-After` up to this share of the time that they have left. */
const HONOURED_SHARE = 1 / 3
/** Callers do not return earlier than this, so that a refused request does not cost the fleet more than one that is served. */
export const MINIMUM_RETURN_MILLISECONDS = 200
/** The fractional parts of the multiples of this number are spread evenly, however many there are. */
const GOLDEN_RATIO = 0.618_033_988_749_895

/** The longest time that a caller honours; `patienceMilliseconds` is what it has left. */
export function longestReturn (patienceMilliseconds: number): number {
  return Math.max(MINIMUM_RETURN_MILLISECONDS, patienceMilliseconds * HONOURED_SHARE)
}

/** A time between the shortest and the longest that the caller honours; `position` is from 0 to 1. */
export function spreadReturn (position: number, patienceMilliseconds: number): number {
  return MINIMUM_RETURN_MILLISECONDS + position * (longestReturn(patienceMilliseconds) - MINIMUM_RETURN_MILLISECONDS)
}

/** Return times of successive callers without a reservation, spread without random numbers. */
export class SpreadReturns {
  private position = 0

  static create (): SpreadReturns {
    return new SpreadReturns()
  }

  /** Any time that the caller honours, where it is not known when there is room. */
  any (patienceMilliseconds: number): number {
    return spreadReturn(this.next(), patienceMilliseconds)
  }

  private next (): number {
    this.position = (this.position + GOLDEN_RATIO) % 1
    return this.position
  }
}

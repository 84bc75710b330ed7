/** The place of an entry among all entries, by which entries without a leader take turns. */

/** `position` counts from 0. */
export interface Seat {
  readonly entries: number
  readonly position: number
}

/**
 * A leader to which few entries are attached yet would have those use more than their part, so a seat in a larger fleet is
 * kept for this time. Entries that have no leader for longer do not serve.
 */
const KEPT_MILLISECONDS = 10_000

/** The seat that the leader gave this entry. */
export class FleetSeat {
  private seat: Seat | undefined
  private givenAt = -Infinity

  static create (): FleetSeat {
    return new FleetSeat()
  }

  /** Undefined before the first leader that gives seats. */
  get current (): Seat | undefined {
    return this.seat
  }

  /** Takes over the seat that a leader gives; one that knows fewer entries than before does not count at once. */
  receive (entries: number, position: number | undefined, now: number): void {
    if (position === undefined || position >= entries) return
    if (this.seat !== undefined && entries < this.seat.entries && now - this.givenAt < KEPT_MILLISECONDS) return
    this.seat = { entries, position }
    this.givenAt = now
  }
}

/** Deadlines of many items on one coarse timer, as most are cancelled before they are due and a timer for each would cost more than the rest. */
import type { Clock } from '@hickoryspoke/runtime/clock'

/** Deadlines are kept by this interval and noticed at its end. */
const INTERVAL_MILLISECONDS = 5

/** Items with one deadline each. */
export class Deadlines<Item> {
  /** Items by the end of the interval in which they are due. */
  private readonly due = new Map<number, Set<Item>>()
  private readonly dueAt = new Map<Item, number>()

  private constructor (private readonly clock: Clock, private readonly handle: (item: Item) => void) {}

  /** `handle` is called for each item that is due; its deadline is gone then. */
  static create<Item> (clock: Clock, handle: (item: Item) => void): Deadlines<Item> {
    return new Deadlines(clock, handle)
  }

  /** Sets the deadline of an item, in monotonic milliseconds; one that it had before is replaced. */
  set (item: Item, at: number): void {
    this.cancel(item)
    const now = this.clock.monotonicMilliseconds()
    const end = Math.ceil(Math.max(now, at) / INTERVAL_MILLISECONDS) * INTERVAL_MILLISECONDS
    this.dueAt.set(item, end)
    this.itemsDue(end, now).add(item)
  }

  /** Removes the deadline of an item. */
  cancel (item: Item): void {
    const end = this.dueAt.get(item)
    if (end === undefined) return
    this.dueAt.delete(item)
    this.due.get(end)?.delete(item)
  }

  private itemsDue (end: number, now: number): Set<Item> {
    const known = this.due.get(end)
    if (known !== undefined) return known
    const created = new Set<Item>()
    this.due.set(end, created)
    this.clock.schedule(end - now, () => this.expire(end))
    return created
  }

  private expire (end: number): void {
    const items = this.due.get(end) ?? []
    this.due.delete(end)
    for (const item of items) {
      if (this.dueAt.get(item) !== end) continue
      this.dueAt.delete(item)
      this.handle(item)
    }
  }
}

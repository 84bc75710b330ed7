/** A list that the dispatcher passes on to entries and to other control VMs, and which the next dispatcher starts from. */
import type { Clock } from '@hickoryspoke/runtime/clock'

/** A received list, and when it was received in monotonic milliseconds. */
export interface ReceivedList<Item> {
  readonly at: number
  readonly items: readonly Item[]
}

/** Minimum interval between two lists, so that a burst of changes costs one message. */
const INTERVAL_MILLISECONDS = 1_000

/** Sends the list while this process leads, and receives it while another does. */
export class DispatcherList<Item> {
  private sentAt = -Infinity
  private sentKeys = ''
  private last: ReceivedList<Item> | undefined

  private constructor (private readonly clock: Clock, private readonly keyOf: (item: Item) => string) {}

  /** Lists with the same keys count as the same. */
  static create<Item> (clock: Clock, keyOf: (item: Item) => string): DispatcherList<Item> {
    return new DispatcherList(clock, keyOf)
  }

  /** The last list received; undefined for none. */
  get received (): ReceivedList<Item> | undefined {
    return this.last
  }

  receive (items: readonly Item[]): void {
    this.last = { at: this.clock.monotonicMilliseconds(), items }
  }

  /** The list to send now; undefined if it is the same as the last one, or if that was sent too recently. */
  nextUpdate (current: () => Item[]): Item[] | undefined {
    const now = this.clock.monotonicMilliseconds()
    if (now - this.sentAt < INTERVAL_MILLISECONDS) return undefined
    const items = current()
    const keys = items.map(this.keyOf).sort().join()
    if (keys === this.sentKeys) return undefined
    this.sentAt = now
    this.sentKeys = keys
    return items
  }
}

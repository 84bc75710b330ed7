import type { Clock, Timer } from '@hickoryspoke/runtime/clock'

interface Scheduled {
  readonly at: number
  readonly order: number
  readonly task: () => void
  cancelled: boolean
}

/** A clock that moves only when told to. */
export class FakeClock implements Clock {
  private current = 0
  private wallOffset = 1_700_000_000_000
  private order = 0
  private scheduled: Scheduled[] = []

  static create (): FakeClock {
    return new FakeClock()
  }

  monotonicMilliseconds (): number {
    return this.current
  }

  wallMilliseconds (): number {
    return this.wallOffset + this.current
  }

  /** Steps the wall time, as an operator or a time service might. */
  stepWall (milliseconds: number): void {
    this.wallOffset += milliseconds
  }

  schedule (delayMilliseconds: number, task: () => void): Timer {
    const entry: Scheduled = { at: this.current + Math.max(0, delayMilliseconds), order: this.order++, task, cancelled: false }
    this.insert(entry)
    return { cancel: () => { entry.cancelled = true } }
  }

  /** Runs synchronous timers due within `milliseconds`; promises settle only afterwards. */
  advance (milliseconds: number): void {
    const end = this.current + milliseconds
    for (let next = this.takeDue(end); next !== undefined; next = this.takeDue(end)) {
      this.current = Math.max(this.current, next.at)
      next.task()
    }
    this.current = end
  }

  /** As `advance`, but lets promises settle after each timer. */
  async advanceAsync (milliseconds: number): Promise<void> {
    const end = this.current + milliseconds
    await settle()
    for (let next = this.takeDue(end); next !== undefined; next = this.takeDue(end)) {
      this.current = Math.max(this.current, next.at)
      next.task()
      await settle()
    }
    this.current = end
    await settle()
  }

  private insert (entry: Scheduled): void {
    let low = 0
    let high = this.scheduled.length
    while (low < high) {
      const middle = (low + high) >>> 1
      const other = this.scheduled[middle] as Scheduled
      if (other.at < entry.at || (other.at === entry.at && other.order < entry.order)) low = middle + 1
      else high = middle
    }
    this.scheduled.splice(low, 0, entry)
  }

  private takeDue (end: number): Scheduled | undefined {
    while (this.scheduled.length > 0) {
      const first = this.scheduled[0] as Scheduled
      if (first.at > end) return undefined
      this.scheduled.shift()
      if (!first.cancelled) return first
    }
    return undefined
  }
}

/** Lets promise callbacks that are due run. */
export async function settle (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}

import type { Clock, Timer } from '@hickoryspoke/runtime/clock'

interface ScheduledTask {
  readonly at: number
  readonly order: number
  readonly task: () => void
  cancelled: boolean
}

/** Clock that only moves when a test advances it. */
export class FakeClock implements Clock {
  private current = 0
  private wallOffset = 1_700_000_000_000
  private order = 0
  private scheduled: ScheduledTask[] = []

  static create (): FakeClock {
    return new FakeClock()
  }

  monotonicMilliseconds (): number {
    return this.current
  }

  wallMilliseconds (): number {
    return this.wallOffset + this.current
  }

  /** Moves the wall time without moving the monotonic time, as an operator or an NTP client might. */
  stepWall (milliseconds: number): void {
    this.wallOffset += milliseconds
  }

  schedule (delayMilliseconds: number, task: () => void): Timer {
    const entry: ScheduledTask = { at: this.current + Math.max(0, delayMilliseconds), order: this.order++, task, cancelled: false }
    this.insert(entry)
    return { cancel: () => { entry.cancelled = true } }
  }

  /** Advances the time and runs the timers that become due, without letting promise callbacks run in between. */
  advance (milliseconds: number): void {
    const end = this.current + milliseconds
    for (let next = this.takeNextDue(end); next !== undefined; next = this.takeNextDue(end)) {
      this.current = Math.max(this.current, next.at)
      next.task()
    }
    this.current = end
  }

  /** Like `advance`, but lets pending promise callbacks run after each timer. */
  async advanceAsync (milliseconds: number): Promise<void> {
    const end = this.current + milliseconds
    await flushPromises()
    for (let next = this.takeNextDue(end); next !== undefined; next = this.takeNextDue(end)) {
      this.current = Math.max(this.current, next.at)
      next.task()
      await flushPromises()
    }
    this.current = end
    await flushPromises()
  }

  private insert (entry: ScheduledTask): void {
    let low = 0
    let high = this.scheduled.length
    while (low < high) {
      const middle = (low + high) >>> 1
      const other = this.scheduled[middle] as ScheduledTask
      if (other.at < entry.at || (other.at === entry.at && other.order < entry.order)) low = middle + 1
      else high = middle
    }
    this.scheduled.splice(low, 0, entry)
  }

  private takeNextDue (end: number): ScheduledTask | undefined {
    while (this.scheduled.length > 0) {
      const first = this.scheduled[0] as ScheduledTask
      if (first.at > end) return undefined
      this.scheduled.shift()
      if (!first.cancelled) return first
    }
    return undefined
  }
}

/** Waits until all pending promise callbacks have run. */
export async function flushPromises (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}

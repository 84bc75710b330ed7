/** A simulated process with one event loop and a limited processor, for tests of what waits while it is busy. */
import type { Clock, Timer } from '@hickoryspoke/runtime/clock'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'

/**
 * Work moves the time of the process ahead. What became due or arrived meanwhile is handled in its next turn, in order of time;
 * after that, promise callbacks run, and the callbacks of `setImmediate` that were set before.
 */
export class BusyProcess implements Clock {
  private readonly outside = FakeClock.create()
  private busyUntil = 0

  static create (): BusyProcess {
    return new BusyProcess()
  }

  monotonicMilliseconds (): number {
    return this.outside.monotonicMilliseconds() + this.lag
  }

  wallMilliseconds (): number {
    return this.outside.wallMilliseconds() + this.lag
  }

  schedule (delayMilliseconds: number, task: () => void): Timer {
    return this.outside.schedule(this.lag + delayMilliseconds, task)
  }

  /** Uses the processor for a time. */
  work (milliseconds: number): void {
    this.busyUntil = this.monotonicMilliseconds() + milliseconds
  }

  /** Runs turns of the event loop for at least this time. */
  async run (milliseconds: number): Promise<void> {
    const end = this.outside.monotonicMilliseconds() + milliseconds
    while (this.outside.monotonicMilliseconds() < end) {
      this.outside.advance(Math.max(1, this.lag))
      await flushPromises()
    }
  }

  /** How far the process is ahead of what arrives. */
  private get lag (): number {
    return Math.max(0, this.busyUntil - this.outside.monotonicMilliseconds())
  }
}

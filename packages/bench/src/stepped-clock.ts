/** A simulated clock whose timers cost the same however many there are, so that it doesn't distort the processor time of what it drives. */
import type { Clock, Timer } from '@hickoryspoke/runtime/clock'

/** Clock that moves in steps of one millisecond. */
export class SteppedClock implements Clock {
  private current = 0
  /** Tasks by the millisecond in which they are due. */
  private readonly due = new Map<number, Set<SteppedTimer>>()

  static create (): SteppedClock {
    return new SteppedClock()
  }

  monotonicMilliseconds (): number {
    return this.current
  }

  wallMilliseconds (): number {
    return this.current
  }

  schedule (delayMilliseconds: number, task: () => void): Timer {
    const at = this.current + Math.max(1, Math.ceil(delayMilliseconds))
    const timers = this.due.get(at) ?? new Set()
    this.due.set(at, timers)
    return new SteppedTimer(timers, task)
  }

  /** Advances the time and runs the timers that become due. */
  advance (milliseconds: number): void {
    for (let step = 0; step < milliseconds; step += 1) this.step()
  }

  private step (): void {
    this.current += 1
    for (const { task } of this.due.get(this.current) ?? []) task()
    this.due.delete(this.current)
  }
}

/** One task; nothing is kept of it once it is cancelled. */
class SteppedTimer implements Timer {
  constructor (private readonly timers: Set<SteppedTimer>, readonly task: () => void) {
    timers.add(this)
  }

  cancel (): void {
    this.timers.delete(this)
  }
}

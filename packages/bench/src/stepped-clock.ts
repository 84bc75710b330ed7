/** A simulated clock whose timers cost the same however many there are, so that it doesn't distort the processor time of what it drives. */
import type { Clock, Timer } from '@hickoryspoke/runtime/clock'

interface SteppedTimer extends Timer {
  task: (() => void) | undefined
}

/** Clock that moves in steps of one millisecond. */
export class SteppedClock implements Clock {
  private current = 0
  /** Timers by the millisecond in which they are due. */
  private readonly due = new Map<number, SteppedTimer[]>()

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
    const timer: SteppedTimer = { task, cancel: () => { timer.task = undefined } }
    const timers = this.due.get(at)
    if (timers === undefined) this.due.set(at, [timer])
    else timers.push(timer)
    return timer
  }

  /** Advances the time by one millisecond and runs the timers that become due. */
  step (): void {
    this.current += 1
    const timers = this.due.get(this.current) ?? []
    this.due.delete(this.current)
    for (const { task } of timers) task?.()
  }
}

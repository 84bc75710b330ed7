import type { Clock } from '@hickoryspoke/runtime/clock'

/** Lets one task wait until another wakes it or a timeout expires. A wake that comes before the wait is not lost. */
export class WakeSignal {
  private pending = false
  private resolveWait: (() => void) | undefined

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): WakeSignal {
    return new WakeSignal(clock)
  }

  wake (): void {
    this.pending = true
    this.resolveWait?.()
  }

  /** Resolves after a wake or after `milliseconds`. */
  async wait (milliseconds: number): Promise<void> {
    if (!this.pending) await this.waitForWake(milliseconds)
    this.pending = false
  }

  private async waitForWake (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = this.clock.schedule(milliseconds, resolve)
      this.resolveWait = () => {
        timer.cancel()
        resolve()
      }
    })
    this.resolveWait = undefined
  }
}

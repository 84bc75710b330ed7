/** Maximum number of whole files sent at the same time; bounds control's memory when many entries start together. */
export const MAXIMUM_CONCURRENT_PUSHES = 4

/** Limits how many whole files are sent at the same time; further sends wait in order. */
export class PushLimiter {
  private running = 0
  private readonly waiting: (() => void)[] = []

  static create (): PushLimiter {
    return new PushLimiter()
  }

  async run (push: () => Promise<void>): Promise<void> {
    if (this.running >= MAXIMUM_CONCURRENT_PUSHES) await new Promise<void>((resolve) => this.waiting.push(resolve))
    this.running += 1
    try {
      await push()
    } finally {
      this.running -= 1
      this.waiting.shift()?.()
    }
  }
}

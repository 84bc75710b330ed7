/** Whole files that control sends at the same time; bounds its memory when many entries start together. */
export const MAXIMUM_CONCURRENT_PUSHES = 4

/** Lets few sends of a whole file run at a time; the others wait in order. */
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

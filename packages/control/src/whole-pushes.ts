/** Whole files that control sends at the same time; bounds its memory when many entries start together. */
export const CONCURRENT_WHOLE_PUSHES = 4

/** Lets few sends of a whole file run at a time; the others wait in order. */
export class WholePushes {
  private running = 0
  private readonly waiting: (() => void)[] = []

  static create (): WholePushes {
    return new WholePushes()
  }

  async run (push: () => Promise<void>): Promise<void> {
    if (this.running >= CONCURRENT_WHOLE_PUSHES) await new Promise<void>((resolve) => this.waiting.push(resolve))
    this.running += 1
    try {
      await push()
    } finally {
      this.running -= 1
      this.waiting.shift()?.()
    }
  }
}

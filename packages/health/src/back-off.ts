const RESET_FACTOR = 10
const MINIMUM_RESET_MILLISECONDS = 60_000
const MILLISECONDS_PER_SECOND = 1_000

interface BackoffState {
  exponent: number
  endsAtMilliseconds: number
  durationMilliseconds: number
}

/** Periods by subject that double each time a fault recurs and start over after a long time without one. */
export class ExponentialBackoff {
  private readonly levels = new Map<string, BackoffState>()

  static create (): ExponentialBackoff {
    return new ExponentialBackoff()
  }

  /** Starts the next period and returns the monotonic time at which it ends; the first period lasts `initialSeconds`. */
  nextExpiry (subject: string, initialSeconds: number, maximumSeconds: number, nowMilliseconds: number): number {
    const last = this.levels.get(subject)
    const isReset = last === undefined || nowMilliseconds > last.endsAtMilliseconds +
      Math.max(MINIMUM_RESET_MILLISECONDS, last.durationMilliseconds * RESET_FACTOR)
    const exponent = isReset ? 0 : last.exponent + 1
    const durationMilliseconds = Math.min(maximumSeconds, initialSeconds * 2 ** exponent) * MILLISECONDS_PER_SECOND
    this.levels.set(subject, { exponent, durationMilliseconds, endsAtMilliseconds: nowMilliseconds + durationMilliseconds })
    return nowMilliseconds + durationMilliseconds
  }

  /** Removes the state of all subjects that are not known any more. */
  retain (isKnown: (subject: string) => boolean): void {
    for (const subject of this.levels.keys()) if (!isKnown(subject)) this.levels.delete(subject)
  }
}

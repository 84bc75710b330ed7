const CALM_FACTOR = 10
const SHORTEST_CALM_MILLISECONDS = 60_000
const MILLISECONDS_PER_SECOND = 1_000

interface Level {
  exponent: number
  endedMilliseconds: number
  lengthMilliseconds: number
}

/** Waiting times that double with each return to the fault and start anew after a long calm. */
export class BackOff {
  private readonly levels = new Map<string, Level>()

  static create (): BackOff {
    return new BackOff()
  }

  /** Monotonic time at which the next wait ends; the first lasts `firstSeconds`. */
  nextEnd (subject: string, firstSeconds: number, longestSeconds: number, nowMilliseconds: number): number {
    const last = this.levels.get(subject)
    const calm = last === undefined || nowMilliseconds > last.endedMilliseconds + Math.max(SHORTEST_CALM_MILLISECONDS, last.lengthMilliseconds * CALM_FACTOR)
    const exponent = calm ? 0 : last.exponent + 1
    const lengthMilliseconds = Math.min(longestSeconds, firstSeconds * 2 ** exponent) * MILLISECONDS_PER_SECOND
    this.levels.set(subject, { exponent, lengthMilliseconds, endedMilliseconds: nowMilliseconds + lengthMilliseconds })
    return nowMilliseconds + lengthMilliseconds
  }

  /** Forgets subjects that have been calm for long. */
  retain (isKnown: (subject: string) => boolean): void {
    for (const subject of this.levels.keys()) if (!isKnown(subject)) this.levels.delete(subject)
  }
}

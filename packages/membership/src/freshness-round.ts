/** Configuration number and membership epoch. Neither ever decreases. */
export interface Versions {
  readonly number: number
  readonly epoch: number
}

/** Whether neither the number nor the epoch of `held` is lower than that of `other`. */
export function isAtLeast (held: Versions, other: Versions): boolean {
  return held.number >= other.number && held.epoch >= other.epoch
}

/** Answers to the questions of one round. All questions were sent at `startedAt` (monotonic milliseconds) or later. */
export class FreshnessRound {
  /** Whether the round has extended the lease. */
  isConfirmed = false
  private readonly answers = new Map<string, Versions>()
  private committed: Versions | undefined

  private constructor (readonly number: number, readonly startedAt: number) {}

  static create (number: number, startedAt: number): FreshnessRound {
    return new FreshnessRound(number, startedAt)
  }

  recordAnswer (witness: string, versions: Versions): void {
    this.answers.set(witness, versions)
  }

  /** Records the versions committed by control. */
  recordCommitted (versions: Versions): void {
    this.committed = versions
  }

  isConfirmedByControl (held: Versions): boolean {
    return this.committed !== undefined && isAtLeast(held, this.committed)
  }

  /** Number of witnesses that answered with versions not newer than `held`. */
  countConfirming (held: Versions, witnesses: readonly string[]): number {
    return witnesses.filter((name) => {
      const answer = this.answers.get(name)
      return answer !== undefined && isAtLeast(held, answer)
    }).length
  }
}

/** Configuration number and membership epoch; each only grows. */
export interface Versions {
  readonly number: number
  readonly epoch: number
}

/** Whether versions are not behind others in either part. */
export function isAtLeast (held: Versions, other: Versions): boolean {
  return held.number >= other.number && held.epoch >= other.epoch
}

/** The answers to the questions of one round, all of which left at `startedAt` (monotonic milliseconds) or later. */
export class FreshnessRound {
  /** Whether the round has extended the lease. */
  isConfirmed = false
  private readonly answers = new Map<string, Versions>()
  private committed: Versions | undefined

  private constructor (readonly number: number, readonly startedAt: number) {}

  static create (number: number, startedAt: number): FreshnessRound {
    return new FreshnessRound(number, startedAt)
  }

  noteAnswer (witness: string, versions: Versions): void {
    this.answers.set(witness, versions)
  }

  /** What control has committed. */
  noteCommitted (versions: Versions): void {
    this.committed = versions
  }

  isConfirmedByControl (held: Versions): boolean {
    return this.committed !== undefined && isAtLeast(held, this.committed)
  }

  /** Witnesses that answered with nothing newer than what is held. */
  countConfirming (held: Versions, witnesses: readonly string[]): number {
    return witnesses.filter((name) => {
      const answer = this.answers.get(name)
      return answer !== undefined && isAtLeast(held, answer)
    }).length
  }
}

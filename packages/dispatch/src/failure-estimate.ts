/** Estimates the probability that an upstream is currently failing most requests, from the outcomes of its latest ones. */

/** Kinds of evidence that one request gives about its upstream. */
export const EVIDENCE = {
  answered: 'answered',
  /** A server error; it may also be caused by the request itself. */
  serverError: 'serverError',
  /** The connection broke, or the answer could not be used. */
  broken: 'broken',
  /** The request takes several times as long as usual. */
  overdue: 'overdue',
  /** The upstream said that it did not run the request. */
  refused: 'refused',
  unreachable: 'unreachable'
} as const

/** One of the values of `EVIDENCE`. */
export type Evidence = typeof EVIDENCE[keyof typeof EVIDENCE]

/** Share of requests that yield each kind of evidence, at a sound or at a failing upstream. */
export type EvidenceShares = Readonly<Record<Evidence, number>>

/** Shares at a failing upstream. Upstreams fail in several ways, so every kind of evidence is common; the shares need not sum to 1. */
export const FAILING_SHARES: EvidenceShares = {
  answered: 0.18, serverError: 0.25, broken: 0.4, overdue: 0.3, refused: 0.2, unreachable: 0.3
}

/** Prior probability of failure: the share of time that an upstream about which nothing is known spends failing. */
export const PRIOR_PROBABILITY = 0.15
/** Mean duration of a failure. */
const MEAN_FAILURE_MILLISECONDS = 7_000
/** Time constant with which the probability returns to the prior while there is no evidence; follows from the two-state model. */
const DECAY_MILLISECONDS = MEAN_FAILURE_MILLISECONDS * (1 - PRIOR_PROBABILITY)
const MAXIMUM_PROBABILITY = 0.95
const MINIMUM_PROBABILITY = 0.01

/** A two-state hidden Markov model of one upstream. */
export class FailureEstimate {
  private last = PRIOR_PROBABILITY
  private lastAt: number
  /** The latest result of `probability`, which is called many times for the same moment. */
  private cachedProbability = Number.NaN
  /** When it was computed; not a number after a change. */
  private cachedAt = Number.NaN

  private constructor (now: number) {
    this.lastAt = now
  }

  /** `now` in monotonic milliseconds. */
  static create (now: number): FailureEstimate {
    return new FailureEstimate(now)
  }

  /** Probability that the upstream is failing now. */
  probability (now: number): number {
    if (this.cachedAt === now) return this.cachedProbability
    const decay = Math.exp(-Math.max(0, now - this.lastAt) / DECAY_MILLISECONDS)
    this.cachedProbability = PRIOR_PROBABILITY + (this.last - PRIOR_PROBABILITY) * decay
    this.cachedAt = now
    return this.cachedProbability
  }

  /** Replaces the estimate with that of another process. */
  adopt (probability: number, now: number): void {
    this.last = probability
    this.lastAt = now
    this.cachedAt = Number.NaN
  }

  /** Updates the estimate with evidence from one request; `sound` holds the shares at sound upstreams of the pool. */
  observe (evidence: Evidence, sound: EvidenceShares, now: number): void {
    const before = this.probability(now)
    const failing = before * FAILING_SHARES[evidence]
    const probability = failing / (failing + (1 - before) * sound[evidence])
    this.last = Math.min(MAXIMUM_PROBABILITY, Math.max(MINIMUM_PROBABILITY, probability))
    this.lastAt = Math.max(this.lastAt, now)
    this.cachedAt = Number.NaN
  }
}

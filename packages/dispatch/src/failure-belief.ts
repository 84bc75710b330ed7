/** How probable it is that an upstream fails most of its requests now, given what became of the latest ones. */

/** What one request says of its upstream. */
export const EVIDENCE = {
  answered: 'answered',
  /** A server error may also be the request's own fault. */
  serverError: 'serverError',
  /** The connection broke, or the answer could not be used. */
  broken: 'broken',
  /** It takes several times as long as usual. */
  overdue: 'overdue',
  /** The upstream said that it did not run the request. */
  refused: 'refused',
  unreachable: 'unreachable'
} as const

/** One of the values of `EVIDENCE`. */
export type Evidence = typeof EVIDENCE[keyof typeof EVIDENCE]

/** Share of requests with each end, at a sound or at a failing upstream. */
export type EvidenceShares = Readonly<Record<Evidence, number>>

/** An upstream may fail in one of several ways, so no end of a request is rare. */
export const FAILING_SHARES: EvidenceShares = {
  answered: 0.18, serverError: 0.25, broken: 0.4, overdue: 0.3, refused: 0.2, unreachable: 0.3
}

/** Part of the time that an upstream of which nothing is known spends failing. */
export const USUAL_PROBABILITY = 0.15
const EPISODE_MILLISECONDS = 7_000
/** Without evidence the probability returns to the usual one with this time constant. */
const RETURN_MILLISECONDS = EPISODE_MILLISECONDS * (1 - USUAL_PROBABILITY)
const HIGHEST_PROBABILITY = 0.95
const LOWEST_PROBABILITY = 0.01

/** A two-state hidden Markov model of one upstream. */
export class FailureBelief {
  private last = USUAL_PROBABILITY
  private lastAt: number
  /** The latest probability asked for, as it is asked for many times at one moment. */
  private asked = { at: Number.NaN, probability: 0 }

  private constructor (now: number) {
    this.lastAt = now
  }

  /** `now` in monotonic milliseconds. */
  static create (now: number): FailureBelief {
    return new FailureBelief(now)
  }

  /** Probability that it fails now. */
  probability (now: number): number {
    if (this.asked.at === now) return this.asked.probability
    const forgotten = Math.exp(-Math.max(0, now - this.lastAt) / RETURN_MILLISECONDS)
    const probability = USUAL_PROBABILITY + (this.last - USUAL_PROBABILITY) * forgotten
    this.asked = { at: now, probability }
    return probability
  }

  /** Takes over what another process believes. */
  adopt (probability: number, now: number): void {
    this.last = probability
    this.lastAt = now
    this.asked = { at: Number.NaN, probability: 0 }
  }

  /** Learns from one request; `sound` are the shares at sound upstreams of the pool. */
  observe (evidence: Evidence, sound: EvidenceShares, now: number): void {
    const before = this.probability(now)
    const failing = before * FAILING_SHARES[evidence]
    const probability = failing / (failing + (1 - before) * sound[evidence])
    this.last = Math.min(HIGHEST_PROBABILITY, Math.max(LOWEST_PROBABILITY, probability))
    this.lastAt = Math.max(this.lastAt, now)
    this.asked = { at: Number.NaN, probability: 0 }
  }
}

/** How requests end at the sound upstreams of a pool, learned from those that probably were sound. */
import { EVIDENCE, type Evidence, type EvidenceShares } from './failure-belief.ts'

/** Requests counted before the first, so that a few ends do not decide. */
const PRIOR_REQUESTS = 100
const PRIOR_SHARES: EvidenceShares = { answered: 0.95, serverError: 0.015, broken: 0.006, overdue: 0.03, refused: 0.03, unreachable: 0.08 }
/** Older requests fade, so that the shares follow the pool. */
const MEMORY_REQUESTS = 600

/** What happens at all upstreams alike is no sign of failure, so suspect ones count as well. */
const LEAST_WEIGHT = 0.2

/** Shares of one pool. */
export class SoundShares {
  private requests = PRIOR_REQUESTS
  private readonly counts: Record<Evidence, number>

  private constructor () {
    const counted = Object.values(EVIDENCE).map((evidence) => [evidence, PRIOR_SHARES[evidence] * PRIOR_REQUESTS])
    this.counts = Object.fromEntries(counted) as Record<Evidence, number>
  }

  static create (): SoundShares {
    return new SoundShares()
  }

  /** Counts the end of a request at an upstream that was sound with this probability. */
  count (evidence: Evidence, soundProbability: number): void {
    const weight = Math.max(LEAST_WEIGHT, soundProbability)
    const kept = 1 - weight / MEMORY_REQUESTS
    this.requests = this.requests * kept + weight
    for (const each of Object.values(EVIDENCE)) this.counts[each] *= kept
    this.counts[evidence] += weight
  }

  /** The shares now; none is below a fifth of its first guess. */
  get shares (): EvidenceShares {
    const shares = Object.values(EVIDENCE).map((evidence) => {
      return [evidence, Math.max(PRIOR_SHARES[evidence] / 5, this.counts[evidence] / this.requests)]
    })
    return Object.fromEntries(shares) as Record<Evidence, number>
  }
}

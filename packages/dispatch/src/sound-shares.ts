/** Learns how often requests at a pool's sound upstreams yield each kind of evidence, weighted by how probably each upstream was sound. */
import { EVIDENCE, type Evidence, type EvidenceShares } from './failure-estimate.ts'

/** Weight of the prior shares in requests, so that a few first outcomes do not dominate. */
const PRIOR_REQUESTS = 100
const PRIOR_SHARES: EvidenceShares = { answered: 0.95, serverError: 0.015, broken: 0.006, overdue: 0.03, refused: 0.03, unreachable: 0.08 }
/** Counts decay with this many requests, so that the shares follow changes in the pool. */
const DECAY_REQUESTS = 600

/** Suspect upstreams count with at least this weight: evidence that is common at all upstreams alike is no sign that one of them fails. */
const MINIMUM_WEIGHT = 0.2
const ALL_EVIDENCE: readonly Evidence[] = Object.values(EVIDENCE)

/** Evidence shares at the sound upstreams of one pool. */
export class SoundShares {
  private requests = PRIOR_REQUESTS
  private readonly counts: Record<Evidence, number>

  private constructor () {
    const priorCounts = ALL_EVIDENCE.map((evidence) => [evidence, PRIOR_SHARES[evidence] * PRIOR_REQUESTS])
    this.counts = Object.fromEntries(priorCounts) as Record<Evidence, number>
  }

  static create (): SoundShares {
    return new SoundShares()
  }

  /** Counts evidence from an upstream that was sound with this probability. */
  count (evidence: Evidence, soundProbability: number): void {
    const weight = Math.max(MINIMUM_WEIGHT, soundProbability)
    const kept = 1 - weight / DECAY_REQUESTS
    this.requests = this.requests * kept + weight
    for (const each of ALL_EVIDENCE) this.counts[each] *= kept
    this.counts[evidence] += weight
  }

  /** The current shares; none falls below a fifth of its prior. */
  get shares (): EvidenceShares {
    return {
      answered: this.shareOf(EVIDENCE.answered),
      serverError: this.shareOf(EVIDENCE.serverError),
      broken: this.shareOf(EVIDENCE.broken),
      overdue: this.shareOf(EVIDENCE.overdue),
      refused: this.shareOf(EVIDENCE.refused),
      unreachable: this.shareOf(EVIDENCE.unreachable)
    }
  }

  private shareOf (evidence: Evidence): number {
    return Math.max(PRIOR_SHARES[evidence] / 5, this.counts[evidence] / this.requests)
  }
}

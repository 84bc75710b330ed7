import { CusumDetector, type DetectorShares } from './cusum-detector.ts'
import { DecayedCount } from './decayed-count.ts'

/** Minimum baseline share of bad attempts; no upstream is assumed to do better than this in the long run. */
export const MINIMUM_BASELINE_SHARE = 0.01

const TOTAL_FAULT_SHARE = 0.9
const WINDOW_MILLISECONDS = 3_000
const HISTORY_MILLISECONDS = 20_000
const ZONE_FAILING_SCORE = 1.5
const ZONE_WORKING_SCORE = -2
const MINIMUM_SHARE = 0.001
const UPSTREAM_FAULT_SHARE = 0.5

/** Attempts from one zone on one upstream, weighted by how far failures are attributed to the upstream. */
export interface WeightedAttempts {
  readonly zone: string
  readonly good: number
  readonly bad: number
  readonly reason: string
  readonly mayBeNetworkFault: boolean
  readonly shares: DetectorShares
  readonly nowMilliseconds: number
}

/** Zones whose observers see the upstream fail, and zones whose observers see it work. */
export interface ZoneViews {
  readonly failing: readonly string[]
  readonly working: readonly string[]
}

interface ZoneEvidence {
  readonly detectors: DetectorPair
  good: number
  bad: number
}

/** Two detectors in parallel: one for upstreams that fail some attempts, one for those that fail nearly all. */
class DetectorPair {
  private readonly partial = CusumDetector.create()
  private readonly total = CusumDetector.create()

  /** Adds attempts to both detectors. Returns true if neither holds any evidence. */
  add (good: number, bad: number, shares: DetectorShares): boolean {
    const partialEnded = this.partial.add(good, bad, shares)
    const totalEnded = this.total.add(good, bad, { baseline: shares.baseline, faulty: Math.max(shares.faulty, TOTAL_FAULT_SHARE) })
    return partialEnded && totalEnded
  }

  strength (): number {
    return Math.max(this.partial.evidence(), this.total.evidence())
  }

  reset (): void {
    this.partial.reset()
    this.total.reset()
  }
}

/** Evidence of all entries about one upstream since it was last seen to work well. */
export class UpstreamEvidence {
  readonly window = DecayedCount.create(WINDOW_MILLISECONDS)
  readonly history = DecayedCount.create(HISTORY_MILLISECONDS)
  private readonly detectors = new DetectorPair()
  private readonly zones = new Map<string, ZoneEvidence>()
  private readonly reasons = new Map<string, number>()
  private badMaybeNetwork = 0
  private badUpstream = 0

  static create (): UpstreamEvidence {
    return new UpstreamEvidence()
  }

  add (attempts: WeightedAttempts): void {
    const { zone, good, bad, shares, nowMilliseconds } = attempts
    this.window.add(good, bad, nowMilliseconds)
    this.history.add(good, bad, nowMilliseconds)
    const zoneEvidence = this.zoneOf(zone)
    zoneEvidence.detectors.add(good, bad, shares)
    if (this.detectors.add(good, bad, shares)) {
      this.clearCounts()
      return
    }
    zoneEvidence.good += good
    zoneEvidence.bad += bad
    if (bad > 0) this.countReason(attempts)
  }

  /** Strength of the evidence of a fault, as a log-likelihood ratio. */
  strength (): number {
    return this.detectors.strength()
  }

  /** Classifies zones by whether their attempts fit the overall share of bad attempts better than the baseline share. */
  zoneViews (shares: DetectorShares): ZoneViews {
    const seen = [...this.zones].map(([zone, counts]) => ({ zone, score: this.logLikelihoodRatio(counts, shares) }))
    return {
      failing: seen.filter((view) => view.score > ZONE_FAILING_SCORE).map((view) => view.zone),
      working: seen.filter((view) => view.score < ZONE_WORKING_SCORE).map((view) => view.zone)
    }
  }

  /** Zones whose own evidence of a fault reaches a threshold. */
  zonesAbove (threshold: number): string[] {
    return [...this.zones].filter(([, evidence]) => evidence.detectors.strength() >= threshold).map(([zone]) => zone)
  }

  /** Whether at least half of the failures came from the upstream itself, so that a network fault does not explain them. */
  isUpstreamFault (): boolean {
    return this.badUpstream > 0 && this.badUpstream >= (this.badUpstream + this.badMaybeNetwork) * UPSTREAM_FAULT_SHARE
  }

  mainReason (): string {
    const sorted = [...this.reasons].sort((left, right) => right[1] - left[1])
    return sorted[0]?.[0] ?? 'none'
  }

  reset (): void {
    this.detectors.reset()
    this.window.reset()
    this.zones.clear()
    this.clearCounts()
  }

  private logLikelihoodRatio (counts: ZoneEvidence, shares: DetectorShares): number {
    const total = [...this.zones.values()].reduce((sum, zone) => ({ good: sum.good + zone.good, bad: sum.bad + zone.bad }), { good: 0, bad: 0 })
    const overall = total.bad / Math.max(1e-9, total.good + total.bad)
    const faulty = Math.min(1 - MINIMUM_SHARE, Math.max(shares.baseline + MINIMUM_SHARE, overall))
    return counts.bad * Math.log(faulty / shares.baseline) + counts.good * Math.log((1 - faulty) / (1 - shares.baseline))
  }

  private countReason (attempts: WeightedAttempts): void {
    if (attempts.mayBeNetworkFault) this.badMaybeNetwork += attempts.bad
    else this.badUpstream += attempts.bad
    this.reasons.set(attempts.reason, (this.reasons.get(attempts.reason) ?? 0) + attempts.bad)
  }

  private clearCounts (): void {
    for (const zone of this.zones.values()) {
      zone.good = 0
      zone.bad = 0
    }
    this.reasons.clear()
    this.badMaybeNetwork = 0
    this.badUpstream = 0
  }

  private zoneOf (zone: string): ZoneEvidence {
    const known = this.zones.get(zone)
    if (known !== undefined) return known
    const created = { detectors: new DetectorPair(), good: 0, bad: 0 }
    this.zones.set(zone, created)
    return created
  }
}

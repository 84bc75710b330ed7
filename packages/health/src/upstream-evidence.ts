import { ChangeDetector, type DetectorShares } from './change-detector.ts'
import { DecayedCount } from './decayed-count.ts'

/** Share of bad attempts below which no upstream is thought to stay. */
export const LOWEST_USUAL_SHARE = 0.01

const TOTAL_FAULT_SHARE = 0.9
const WINDOW_MILLISECONDS = 3_000
const HISTORY_MILLISECONDS = 20_000
const SIDE_SEES_FAULT = 1.5
const SIDE_SEES_NONE = -2
const LOWEST_SHARE = 0.001
const OWN_FAULT_SHARE = 0.5

/** Attempts of one zone on one upstream, already weighed. */
export interface WeighedAttempts {
  readonly zone: string
  readonly good: number
  readonly bad: number
  readonly reason: string
  readonly mayBePath: boolean
  readonly shares: DetectorShares
  readonly nowMilliseconds: number
}

/** Zones that see the upstream fail, and zones that see it work. */
export interface Sides {
  readonly bad: readonly string[]
  readonly good: readonly string[]
}

interface ZoneEvidence {
  readonly detectors: DetectorPair
  good: number
  bad: number
}

/** Two detectors side by side: one for upstreams that fail now and then, one for those that fail nearly always. */
class DetectorPair {
  private readonly partial = ChangeDetector.create()
  private readonly total = ChangeDetector.create()

  /** True when neither holds evidence any more. */
  add (good: number, bad: number, shares: DetectorShares): boolean {
    const partialEnded = this.partial.add(good, bad, shares)
    const totalEnded = this.total.add(good, bad, { usual: shares.usual, faulty: Math.max(shares.faulty, TOTAL_FAULT_SHARE) })
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

/** What all entries saw of one upstream since it was last seen to work well. */
export class UpstreamEvidence {
  readonly window = DecayedCount.create(WINDOW_MILLISECONDS)
  readonly history = DecayedCount.create(HISTORY_MILLISECONDS)
  private readonly detectors = new DetectorPair()
  private readonly zones = new Map<string, ZoneEvidence>()
  private readonly reasons = new Map<string, number>()
  private badPath = 0
  private badOwn = 0

  static create (): UpstreamEvidence {
    return new UpstreamEvidence()
  }

  add (attempts: WeighedAttempts): void {
    const { zone, good, bad, shares, nowMilliseconds } = attempts
    this.window.add(good, bad, nowMilliseconds)
    this.history.add(good, bad, nowMilliseconds)
    const zoneEvidence = this.zoneOf(zone)
    zoneEvidence.detectors.add(good, bad, shares)
    if (this.detectors.add(good, bad, shares)) {
      this.startAnew()
      return
    }
    zoneEvidence.good += good
    zoneEvidence.bad += bad
    if (bad > 0) this.countReason(attempts)
  }

  /** Evidence of a fault, as the logarithm of likelihoods. */
  strength (): number {
    return this.detectors.strength()
  }

  /** How the zones see it, judged by the share of bad attempts over all of them. */
  sides (shares: DetectorShares): Sides {
    const seen = [...this.zones].map(([zone, counts]) => ({ zone, likelihood: this.likelihood(counts, shares) }))
    return {
      bad: seen.filter((side) => side.likelihood > SIDE_SEES_FAULT).map((side) => side.zone),
      good: seen.filter((side) => side.likelihood < SIDE_SEES_NONE).map((side) => side.zone)
    }
  }

  /** Zones whose own evidence of a fault passes a threshold. */
  zonesBeyond (threshold: number): string[] {
    return [...this.zones].filter(([, evidence]) => evidence.detectors.strength() >= threshold).map(([zone]) => zone)
  }

  /** Whether most failures were answers of the upstream itself, which no network fault explains. */
  isUpstreamsOwn (): boolean {
    return this.badOwn > 0 && this.badOwn >= (this.badOwn + this.badPath) * OWN_FAULT_SHARE
  }

  mainReason (): string {
    const sorted = [...this.reasons].sort((left, right) => right[1] - left[1])
    return sorted[0]?.[0] ?? 'none'
  }

  reset (): void {
    this.detectors.reset()
    this.window.reset()
    this.zones.clear()
    this.startAnew()
  }

  private likelihood (counts: ZoneEvidence, shares: DetectorShares): number {
    const total = [...this.zones.values()].reduce((sum, zone) => ({ good: sum.good + zone.good, bad: sum.bad + zone.bad }), { good: 0, bad: 0 })
    const overall = total.bad / Math.max(1e-9, total.good + total.bad)
    const faulty = Math.min(1 - LOWEST_SHARE, Math.max(shares.usual + LOWEST_SHARE, overall))
    return counts.bad * Math.log(faulty / shares.usual) + counts.good * Math.log((1 - faulty) / (1 - shares.usual))
  }

  private countReason (attempts: WeighedAttempts): void {
    if (attempts.mayBePath) this.badPath += attempts.bad
    else this.badOwn += attempts.bad
    this.reasons.set(attempts.reason, (this.reasons.get(attempts.reason) ?? 0) + attempts.bad)
  }

  private startAnew (): void {
    for (const zone of this.zones.values()) {
      zone.good = 0
      zone.bad = 0
    }
    this.reasons.clear()
    this.badPath = 0
    this.badOwn = 0
  }

  private zoneOf (zone: string): ZoneEvidence {
    const known = this.zones.get(zone)
    if (known !== undefined) return known
    const created = { detectors: new DetectorPair(), good: 0, bad: 0 }
    this.zones.set(zone, created)
    return created
  }
}

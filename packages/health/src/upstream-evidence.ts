import { ChangeDetector, type DetectorShares } from './change-detector.ts'
import { DecayedCount } from './decayed-count.ts'

const WINDOW_MILLISECONDS = 3_000
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
  readonly detector: ChangeDetector
  good: number
  bad: number
}

/** What all entries saw of one upstream since it was last seen to work well. */
export class UpstreamEvidence {
  readonly detector = ChangeDetector.create()
  readonly window = DecayedCount.create(WINDOW_MILLISECONDS)
  goodStreak = 0
  lastMilliseconds = -Infinity
  private readonly zones = new Map<string, ZoneEvidence>()
  private readonly reasons = new Map<string, number>()
  private badPath = 0
  private badOwn = 0

  static create (): UpstreamEvidence {
    return new UpstreamEvidence()
  }

  add (attempts: WeighedAttempts): void {
    const { zone, good, bad, shares, nowMilliseconds } = attempts
    this.lastMilliseconds = nowMilliseconds
    this.window.add(good, bad, nowMilliseconds)
    this.goodStreak = bad > 0 ? 0 : this.goodStreak + good
    const zoneEvidence = this.zoneOf(zone)
    zoneEvidence.detector.add(good, bad, shares)
    if (this.detector.add(good, bad, shares)) {
      this.startAnew()
      return
    }
    zoneEvidence.good += good
    zoneEvidence.bad += bad
    if (bad > 0) this.countReason(attempts)
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
    return [...this.zones].filter(([, evidence]) => evidence.detector.evidence() >= threshold).map(([zone]) => zone)
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
    this.detector.reset()
    this.window.reset()
    this.zones.clear()
    this.goodStreak = 0
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
    const created = { detector: ChangeDetector.create(), good: 0, bad: 0 }
    this.zones.set(zone, created)
    return created
  }
}

import type { DetectorShares } from './cusum-detector.ts'
import type { DecayedCount } from './decayed-count.ts'
import { MINIMUM_BASELINE_SHARE, UpstreamEvidence, type ZoneViews, type WeightedAttempts } from './upstream-evidence.ts'

const MAXIMUM_BASELINE_SHARE = 0.6
const BASELINE_MARGIN = 1.5
const FAULTY_TO_BASELINE_FACTOR = 2.5
const MAXIMUM_FAULTY_SHARE = 0.95
const BASELINE_REFRESH_MILLISECONDS = 100
const SOME_ZONES_THRESHOLD_SHARE = 0.7
const MINIMUM_WINDOW_ATTEMPTS = 1
const POOL_EVIDENCE_FACTOR = 4
const POOL_QUANTILE = 0.7
const SMALL_POOL_QUANTILE = 0.5
const LARGE_POOL_MINIMUM_OTHERS = 6

/** Which observers are affected by a fault: all, those in some zones, or not yet confirmed by a second zone. */
export const FindingScope = { All: 'all', SomeZones: 'some_zones', Unconfirmed: 'unconfirmed' } as const
export type FindingScope = typeof FindingScope[keyof typeof FindingScope]

/** A fault of an upstream indicated by the evidence. */
export interface Finding {
  readonly address: string
  readonly scope: FindingScope
  /** Zones whose observers see the fault. */
  readonly observers: readonly string[]
  /** The kind of outcome that contributed most. */
  readonly reason: string
  readonly evidence: number
}

/** Parameters for deriving findings from the evidence. */
export interface DetectionParameters {
  readonly threshold: number
  readonly faultyShare: number
  /** Number of zones that contain entries. */
  readonly zoneCount: number
}

/** Compares the upstreams of one pool with each other by one symptom and finds those that are faulty. */
export class SymptomDetector {
  private readonly upstreams = new Map<string, UpstreamEvidence>()
  private baselineShare = 0
  /** Monotonic time at which `baselineShare` was last computed. */
  private usualMilliseconds = -Infinity

  static create (): SymptomDetector {
    return new SymptomDetector()
  }

  add (address: string, attempts: Omit<WeightedAttempts, 'shares'>, faultyShare: number): void {
    this.evidenceOf(address).add({ ...attempts, shares: this.shares(faultyShare, attempts.nowMilliseconds) })
  }

  /** The faults that the evidence currently indicates. */
  findings (question: DetectionParameters, now: number): Finding[] {
    const found: Finding[] = []
    for (const [address, evidence] of this.upstreams) {
      const finding = this.evaluate(address, evidence, question, now)
      if (finding !== undefined) found.push(finding)
    }
    return found
  }

  evidenceAgainst (address: string): number {
    return this.upstreams.get(address)?.strength() ?? 0
  }

  reset (address: string): void {
    this.upstreams.get(address)?.reset()
  }

  retain (addresses: ReadonlySet<string>): void {
    for (const address of this.upstreams.keys()) if (!addresses.has(address)) this.upstreams.delete(address)
  }

  private evaluate (address: string, evidence: UpstreamEvidence, question: DetectionParameters, now: number): Finding | undefined {
    const strength = evidence.strength()
    const someZonesThreshold = question.threshold * SOME_ZONES_THRESHOLD_SHARE
    if (strength < someZonesThreshold && evidence.zonesAbove(someZonesThreshold).length === 0) return undefined
    const finding = { address, reason: evidence.mainReason(), evidence: strength }
    const zones = evidence.zoneViews(this.shares(question.faultyShare, now))
    const needed = question.threshold + this.poolEvidenceMargin(evidence)
    if (strength >= needed && this.isOutlier(evidence, now)) return { ...finding, ...scopeOf(evidence, zones, question) }
    const failingZones = evidence.zonesAbove(someZonesThreshold).filter((zone) => zones.failing.includes(zone))
    const othersSeeItWork = zones.working.length > 0 && failingZones.length > 0 && !evidence.isUpstreamFault()
    return othersSeeItWork ? { ...finding, scope: FindingScope.SomeZones, observers: failingZones } : undefined
  }

  /** Evidence required in addition to the threshold when many upstreams of the pool look faulty at the same time. */
  private poolEvidenceMargin (evidence: UpstreamEvidence): number {
    const others = [...this.upstreams.values()].filter((other) => other !== evidence).map((other) => other.strength())
    others.sort((left, right) => left - right)
    const quantile = others.length < LARGE_POOL_MINIMUM_OTHERS ? SMALL_POOL_QUANTILE : POOL_QUANTILE
    return POOL_EVIDENCE_FACTOR * (others[Math.floor(others.length * quantile)] ?? 0)
  }

  /** Whether the upstream fails much more often than the baseline of its pool; otherwise the cause is not this upstream. */
  private isOutlier (evidence: UpstreamEvidence, now: number): boolean {
    return evidence.window.badShare(now) >= FAULTY_TO_BASELINE_FACTOR * this.baseline(now)
  }

  private shares (faultyShare: number, now: number): DetectorShares {
    const baseline = Math.min(MAXIMUM_BASELINE_SHARE, Math.max(MINIMUM_BASELINE_SHARE, BASELINE_MARGIN * this.baseline(now)))
    return { baseline, faulty: Math.min(MAXIMUM_FAULTY_SHARE, Math.max(faultyShare, FAULTY_TO_BASELINE_FACTOR * baseline)) }
  }

  /** Baseline share of bad attempts: the higher of the pool's medians over a short and a long window. */
  private baseline (now: number): number {
    if (now < this.usualMilliseconds + BASELINE_REFRESH_MILLISECONDS) return this.baselineShare
    const windows = [...this.upstreams.values()]
    const recent = lowerMedian(windows.map((evidence) => evidence.window), now)
    const longTerm = lowerMedian(windows.map((evidence) => evidence.history), now)
    this.baselineShare = Math.max(recent, longTerm)
    this.usualMilliseconds = now
    return this.baselineShare
  }

  private evidenceOf (address: string): UpstreamEvidence {
    const known = this.upstreams.get(address)
    if (known !== undefined) return known
    const created = UpstreamEvidence.create()
    this.upstreams.set(address, created)
    return created
  }
}

function scopeOf (evidence: UpstreamEvidence, zones: ZoneViews, question: DetectionParameters): Pick<Finding, 'scope' | 'observers'> {
  const observers = zones.failing
  if (evidence.isUpstreamFault() || question.zoneCount < 2) return { scope: FindingScope.All, observers }
  if (zones.working.length > 0) return { scope: FindingScope.SomeZones, observers }
  return { scope: observers.length > 1 ? FindingScope.All : FindingScope.Unconfirmed, observers }
}

/** Lower median of the bad shares, which stays unaffected until more than half of the pool is faulty. */
function lowerMedian (counts: readonly DecayedCount[], now: number): number {
  const seen = counts.filter((count) => count.total(now) >= MINIMUM_WINDOW_ATTEMPTS)
  const shares = seen.map((count) => count.badShare(now)).sort((left, right) => left - right)
  return shares[(shares.length - 1) >> 1] ?? 0
}

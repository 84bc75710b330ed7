import type { PoolPolicy } from '@hickoryspoke/configuration/pool-policy'
import type { EvidenceRow } from '@hickoryspoke/protocol/generated/evidence'
import { AttemptKind, bucketMilliseconds, kindFacts, Meaning } from './attempt-outcome.ts'
import type { DetectorShares } from './change-detector.ts'
import { FailureAttribution } from './failure-attribution.ts'
import { LatencyBaseline } from './latency-baseline.ts'
import { UpstreamEvidence } from './upstream-evidence.ts'

const LOWEST_USUAL_SHARE = 0.02
const HIGHEST_USUAL_SHARE = 0.6
const USUAL_MARGIN = 1.5
const FAULTY_OVER_USUAL = 2.5
const HIGHEST_FAULTY_SHARE = 0.95
const USUAL_REFRESH_MILLISECONDS = 100
const ONE_SIDE_THRESHOLD_SHARE = 0.7
const MINIMUM_WINDOW_ATTEMPTS = 1
const ATTRIBUTED_SHARE = 0.5
const SLOW_REASON = 'slow'
const COLD_EXCUSES: ReadonlySet<string> = new Set([SLOW_REASON, AttemptKind.Overdue])

/** Which observers a fault concerns. */
export const FindingScope = { All: 'all', OneSide: 'one_side', Unconfirmed: 'unconfirmed' } as const
export type FindingScope = typeof FindingScope[keyof typeof FindingScope]

/** A fault that the evidence shows. */
export interface Finding {
  readonly address: string
  readonly scope: FindingScope
  /** Zones that see the fault. */
  readonly observers: readonly string[]
  /** The kind of outcome that weighed most. */
  readonly reason: string
  readonly evidence: number
}

/** Judges the upstreams of one pool against each other by the attempts of all entries. */
export class PoolJudge {
  private readonly upstreams = new Map<string, UpstreamEvidence>()
  private readonly baselines = new Map<number, LatencyBaseline>()
  private readonly attribution = FailureAttribution.create()
  private usualShare = 0
  private usualMilliseconds = -Infinity

  private constructor (private policy: PoolPolicy) {}

  static create (policy: PoolPolicy): PoolJudge {
    return new PoolJudge(policy)
  }

  setPolicy (policy: PoolPolicy): void {
    this.policy = policy
  }

  /** Takes one row of an observer in a zone; a cold upstream may be slow. */
  add (zone: string, row: EvidenceRow, nowMilliseconds: number, isCold = false): void {
    const { meaning, reason, mayBePath } = this.interpret(row)
    if (meaning === Meaning.Nothing || (isCold && COLD_EXCUSES.has(reason) && meaning === Meaning.Bad)) return
    const bad = meaning === Meaning.Bad ? row.count : 0
    const good = row.count - bad
    this.attribution.count(row.customerTag, row.address, good, bad, nowMilliseconds)
    this.attribution.count(row.routeTag, row.address, good, bad, nowMilliseconds)
    const ownBad = bad === 0 ? 0 : bad * this.ownShare(row, nowMilliseconds)
    const evidence = this.evidenceOf(row.address)
    evidence.add({ zone, good, bad: ownBad, reason, mayBePath, shares: this.shares(nowMilliseconds), nowMilliseconds })
  }

  /** Takes the result of a probe from a zone; it weighs as one attempt. */
  addProbe (zone: string, address: string, reachable: boolean, nowMilliseconds: number): void {
    const [good, bad] = reachable ? [1, 0] : [0, 1]
    this.evidenceOf(address).add({ zone, good, bad, reason: 'probe_failed', mayBePath: true, shares: this.shares(nowMilliseconds), nowMilliseconds })
  }

  /** The faults that the evidence shows now. */
  findings (fleetZones: number, nowMilliseconds: number): Finding[] {
    const found: Finding[] = []
    for (const [address, evidence] of this.upstreams) {
      const finding = this.judge(address, evidence, fleetZones, nowMilliseconds)
      if (finding !== undefined) found.push(finding)
    }
    return found.sort((left, right) => right.evidence - left.evidence)
  }

  /** Evidence of a fault of one upstream, as the logarithm of likelihoods. */
  evidenceAgainst (address: string): number {
    return this.upstreams.get(address)?.detector.evidence() ?? 0
  }

  /** Good attempts in a row since the last bad one or the last `forget`. */
  goodStreak (address: string): number {
    return this.upstreams.get(address)?.goodStreak ?? 0
  }

  /** Monotonic time of the last attempt on an upstream. */
  lastAttemptMilliseconds (address: string): number {
    return this.upstreams.get(address)?.lastMilliseconds ?? -Infinity
  }

  /** Starts anew with an upstream, as after a change of its state. */
  forget (address: string): void {
    this.upstreams.get(address)?.reset()
  }

  /** Drops everything about upstreams that are gone. */
  retain (addresses: ReadonlySet<string>): void {
    for (const address of this.upstreams.keys()) if (!addresses.has(address)) this.upstreams.delete(address)
  }

  private judge (address: string, evidence: UpstreamEvidence, fleetZones: number, now: number): Finding | undefined {
    const { detection_threshold: threshold } = this.policy
    const finding = { address, reason: evidence.mainReason(), evidence: evidence.detector.evidence() }
    const sides = evidence.sides(this.shares(now))
    if (finding.evidence >= threshold && this.standsOut(evidence, now)) {
      if (evidence.isUpstreamsOwn() || fleetZones < 2) return { ...finding, scope: FindingScope.All, observers: sides.bad }
      if (sides.good.length > 0) return { ...finding, scope: FindingScope.OneSide, observers: sides.bad }
      return { ...finding, scope: sides.bad.length > 1 ? FindingScope.All : FindingScope.Unconfirmed, observers: sides.bad }
    }
    const oneSide = evidence.zonesBeyond(threshold * ONE_SIDE_THRESHOLD_SHARE).filter((zone) => sides.bad.includes(zone))
    const seenGood = sides.good.length > 0 && oneSide.length > 0 && !evidence.isUpstreamsOwn()
    return seenGood ? { ...finding, scope: FindingScope.OneSide, observers: oneSide } : undefined
  }

  /** An upstream that is no worse than the middle of its pool is not the fault. */
  private standsOut (evidence: UpstreamEvidence, now: number): boolean {
    return evidence.window.badShare(now) >= FAULTY_OVER_USUAL * this.usual(now)
  }

  private interpret (row: EvidenceRow): { meaning: Meaning, reason: string, mayBePath: boolean } {
    const facts = kindFacts(row.kind)
    const baseline = this.baselineOf(row.routeTag)
    const milliseconds = bucketMilliseconds(row.latencyBucket)
    const slow = milliseconds > baseline.slowBeyondMilliseconds(this.policy.slow_factor)
    if (facts.kind === AttemptKind.Answered) {
      baseline.add(row.latencyBucket, row.count)
      return { meaning: slow ? Meaning.Bad : Meaning.Good, reason: SLOW_REASON, mayBePath: true }
    }
    const tooEarly = facts.onlyWhenSlow && !slow && Number.isFinite(baseline.slowBeyondMilliseconds(1))
    return { meaning: tooEarly ? Meaning.Nothing : facts.meaning, reason: facts.kind, mayBePath: facts.mayBePath }
  }

  private ownShare (row: EvidenceRow, now: number): number {
    const byCustomer = this.attribution.shareElsewhere(row.customerTag, row.address, now)
    const byRoute = this.attribution.shareElsewhere(row.routeTag, row.address, now)
    const elsewhere = Math.max(byCustomer, byRoute)
    return elsewhere >= ATTRIBUTED_SHARE ? 0 : 1 - elsewhere
  }

  private shares (now: number): DetectorShares {
    const usual = Math.min(HIGHEST_USUAL_SHARE, Math.max(LOWEST_USUAL_SHARE, USUAL_MARGIN * this.usual(now)))
    return { usual, faulty: Math.min(HIGHEST_FAULTY_SHARE, Math.max(this.policy.faulty_share, FAULTY_OVER_USUAL * usual)) }
  }

  /** Lower median of the bad shares over the pool: half the pool may be faulty before it moves. */
  private usual (now: number): number {
    if (now < this.usualMilliseconds + USUAL_REFRESH_MILLISECONDS) return this.usualShare
    const seen = [...this.upstreams.values()].filter((evidence) => evidence.window.total(now) >= MINIMUM_WINDOW_ATTEMPTS)
    const shares = seen.map((evidence) => evidence.window.badShare(now)).sort((left, right) => left - right)
    this.usualShare = shares[(shares.length - 1) >> 1] ?? 0
    this.usualMilliseconds = now
    return this.usualShare
  }

  private evidenceOf (address: string): UpstreamEvidence {
    const known = this.upstreams.get(address)
    if (known !== undefined) return known
    const created = UpstreamEvidence.create()
    this.upstreams.set(address, created)
    return created
  }

  private baselineOf (routeTag: number): LatencyBaseline {
    const known = this.baselines.get(routeTag)
    if (known !== undefined) return known
    const created = LatencyBaseline.create()
    this.baselines.set(routeTag, created)
    return created
  }
}

import { LOWEST_USUAL_SHARE, UpstreamEvidence, type Sides, type WeighedAttempts } from './upstream-evidence.ts'
import type { DetectorShares } from './change-detector.ts'
import type { DecayedCount } from './decayed-count.ts'

const HIGHEST_USUAL_SHARE = 0.6
const USUAL_MARGIN = 1.5
const FAULTY_OVER_USUAL = 2.5
const HIGHEST_FAULTY_SHARE = 0.95
const USUAL_REFRESH_MILLISECONDS = 100
const ONE_SIDE_THRESHOLD_SHARE = 0.7
const MINIMUM_WINDOW_ATTEMPTS = 1
const POOL_EVIDENCE_FACTOR = 4
const POOL_QUANTILE = 0.7
const SMALL_POOL_QUANTILE = 0.5
const SMALL_POOL_OTHERS = 6

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

/** What findings depend on besides the evidence. */
export interface JudgeQuestion {
  readonly threshold: number
  readonly faultyShare: number
  /** Zones in which there are entries. */
  readonly fleetZones: number
}

/** Judges the upstreams of one pool against each other by one kind of badness. */
export class ChannelJudge {
  private readonly upstreams = new Map<string, UpstreamEvidence>()
  private usualShare = 0
  private usualMilliseconds = -Infinity

  static create (): ChannelJudge {
    return new ChannelJudge()
  }

  add (address: string, attempts: Omit<WeighedAttempts, 'shares'>, faultyShare: number): void {
    this.evidenceOf(address).add({ ...attempts, shares: this.shares(faultyShare, attempts.nowMilliseconds) })
  }

  /** The faults that the evidence shows now, by address. */
  findings (question: JudgeQuestion, now: number): Finding[] {
    const found: Finding[] = []
    for (const [address, evidence] of this.upstreams) {
      const finding = this.judge(address, evidence, question, now)
      if (finding !== undefined) found.push(finding)
    }
    return found
  }

  evidenceAgainst (address: string): number {
    return this.upstreams.get(address)?.strength() ?? 0
  }

  forget (address: string): void {
    this.upstreams.get(address)?.reset()
  }

  retain (addresses: ReadonlySet<string>): void {
    for (const address of this.upstreams.keys()) if (!addresses.has(address)) this.upstreams.delete(address)
  }

  private judge (address: string, evidence: UpstreamEvidence, question: JudgeQuestion, now: number): Finding | undefined {
    const strength = evidence.strength()
    const oneSideThreshold = question.threshold * ONE_SIDE_THRESHOLD_SHARE
    if (strength < oneSideThreshold && evidence.zonesBeyond(oneSideThreshold).length === 0) return undefined
    const finding = { address, reason: evidence.mainReason(), evidence: strength }
    const sides = evidence.sides(this.shares(question.faultyShare, now))
    const needed = question.threshold + this.evidenceInPool(evidence)
    if (strength >= needed && this.standsOut(evidence, now)) return { ...finding, ...scopeOf(evidence, sides, question) }
    const oneSide = evidence.zonesBeyond(oneSideThreshold).filter((zone) => sides.bad.includes(zone))
    const otherSeesGood = sides.good.length > 0 && oneSide.length > 0 && !evidence.isUpstreamsOwn()
    return otherSeesGood ? { ...finding, scope: FindingScope.OneSide, observers: oneSide } : undefined
  }

  /** What must be exceeded besides the threshold when much of the pool looks faulty at once. */
  private evidenceInPool (evidence: UpstreamEvidence): number {
    const others = [...this.upstreams.values()].filter((other) => other !== evidence).map((other) => other.strength())
    others.sort((left, right) => left - right)
    const quantile = others.length < SMALL_POOL_OTHERS ? SMALL_POOL_QUANTILE : POOL_QUANTILE
    return POOL_EVIDENCE_FACTOR * (others[Math.floor(others.length * quantile)] ?? 0)
  }

  /** An upstream that is no worse than the middle of its pool is not the fault. */
  private standsOut (evidence: UpstreamEvidence, now: number): boolean {
    return evidence.window.badShare(now) >= FAULTY_OVER_USUAL * this.usual(now)
  }

  private shares (faultyShare: number, now: number): DetectorShares {
    const usual = Math.min(HIGHEST_USUAL_SHARE, Math.max(LOWEST_USUAL_SHARE, USUAL_MARGIN * this.usual(now)))
    return { usual, faulty: Math.min(HIGHEST_FAULTY_SHARE, Math.max(faultyShare, FAULTY_OVER_USUAL * usual)) }
  }

  /** Usual share of bad attempts: the higher of the pool's middles over a short and a long window. */
  private usual (now: number): number {
    if (now < this.usualMilliseconds + USUAL_REFRESH_MILLISECONDS) return this.usualShare
    const windows = [...this.upstreams.values()]
    const lately = lowerMedian(windows.map((evidence) => evidence.window), now)
    const forLonger = lowerMedian(windows.map((evidence) => evidence.history), now)
    this.usualShare = Math.max(lately, forLonger)
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
}

function scopeOf (evidence: UpstreamEvidence, sides: Sides, question: JudgeQuestion): Pick<Finding, 'scope' | 'observers'> {
  const observers = sides.bad
  if (evidence.isUpstreamsOwn() || question.fleetZones < 2) return { scope: FindingScope.All, observers }
  if (sides.good.length > 0) return { scope: FindingScope.OneSide, observers }
  return { scope: observers.length > 1 ? FindingScope.All : FindingScope.Unconfirmed, observers }
}

/** Lower median of the bad shares: half the pool may be faulty before it moves. */
function lowerMedian (counts: readonly DecayedCount[], now: number): number {
  const seen = counts.filter((count) => count.total(now) >= MINIMUM_WINDOW_ATTEMPTS)
  const shares = seen.map((count) => count.badShare(now)).sort((left, right) => left - right)
  return shares[(shares.length - 1) >> 1] ?? 0
}

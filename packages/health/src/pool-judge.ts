import type { PoolPolicy } from '@hickoryspoke/configuration/pool-policy'
import type { EvidenceRow } from '@hickoryspoke/protocol/generated/evidence'
import { AttemptKind, bucketMilliseconds, kindFacts, Meaning } from './attempt-outcome.ts'
import { ChannelJudge, type Finding } from './channel-judge.ts'
import { FailureAttribution } from './failure-attribution.ts'
import { LatencyBaseline } from './latency-baseline.ts'

const ATTRIBUTED_SHARE = 0.5
const SLOW_REASON = 'slow'
const PROBE_FAILED_REASON = 'probe_failed'

/** Kinds of badness, judged apart so that one that is common in the pool does not hide another. */
const Channel = { Failing: 'failing', Slow: 'slow' } as const
type Channel = typeof Channel[keyof typeof Channel]

interface Reading {
  readonly channel: Channel
  readonly isBad: boolean
  readonly reason: string
  readonly mayBePath: boolean
}

/** Judges the upstreams of one pool against each other by the attempts of all entries. */
export class PoolJudge {
  private readonly channels: Record<Channel, ChannelJudge> = { failing: ChannelJudge.create(), slow: ChannelJudge.create() }
  private readonly attributions: Record<Channel, FailureAttribution> = { failing: FailureAttribution.create(), slow: FailureAttribution.create() }
  private readonly baselines = new Map<number, LatencyBaseline>()
  private readonly streaks = new Map<string, number>()
  private readonly lastAttempts = new Map<string, number>()

  private constructor (private policy: PoolPolicy) {}

  static create (policy: PoolPolicy): PoolJudge {
    return new PoolJudge(policy)
  }

  setPolicy (policy: PoolPolicy): void {
    this.policy = policy
  }

  /** Takes one row of an observer in a zone; a cold upstream may be slow. */
  add (zone: string, row: EvidenceRow, nowMilliseconds: number, isCold = false): void {
    this.lastAttempts.set(row.address, nowMilliseconds)
    for (const reading of this.interpret(row)) {
      if (isCold && reading.channel === Channel.Slow && reading.isBad) continue
      this.addReading(zone, row, reading, nowMilliseconds)
    }
  }

  /** Takes the result of a probe from a zone; it weighs as one attempt. */
  addProbe (zone: string, address: string, reachable: boolean, nowMilliseconds: number): void {
    const [good, bad] = reachable ? [1, 0] : [0, 1]
    const attempts = { zone, good, bad, reason: PROBE_FAILED_REASON, mayBePath: true, nowMilliseconds }
    this.channels.failing.add(address, attempts, this.policy.faulty_share)
  }

  /** The faults that the evidence shows now, the strongest first. */
  findings (fleetZones: number, nowMilliseconds: number): Finding[] {
    const question = { threshold: this.policy.detection_threshold, faultyShare: this.policy.faulty_share, fleetZones }
    const found = Object.values(this.channels).flatMap((channel) => channel.findings(question, nowMilliseconds))
    return found.sort((left, right) => right.evidence - left.evidence)
  }

  /** Evidence of a fault of one upstream, as the logarithm of likelihoods. */
  evidenceAgainst (address: string): number {
    return Math.max(...Object.values(this.channels).map((channel) => channel.evidenceAgainst(address)))
  }

  /** Good attempts in a row since the last bad one or the last `forget`. */
  goodStreak (address: string): number {
    return this.streaks.get(address) ?? 0
  }

  /** Monotonic time of the last attempt on an upstream. */
  lastAttemptMilliseconds (address: string): number {
    return this.lastAttempts.get(address) ?? -Infinity
  }

  /** Starts anew with an upstream, as after a change of its state. */
  forget (address: string): void {
    this.streaks.delete(address)
    for (const channel of Object.values(this.channels)) channel.forget(address)
  }

  /** Drops everything about upstreams that are gone. */
  retain (addresses: ReadonlySet<string>): void {
    for (const channel of Object.values(this.channels)) channel.retain(addresses)
    for (const address of this.lastAttempts.keys()) if (!addresses.has(address)) this.lastAttempts.delete(address)
    for (const address of this.streaks.keys()) if (!addresses.has(address)) this.streaks.delete(address)
  }

  private addReading (zone: string, row: EvidenceRow, reading: Reading, now: number): void {
    const { channel, isBad, reason, mayBePath } = reading
    const [good, bad] = isBad ? [0, row.count] : [row.count, 0]
    const attribution = this.attributions[channel]
    attribution.count(row.customerTag, row.address, good, bad, now)
    attribution.count(row.routeTag, row.address, good, bad, now)
    const ownBad = isBad ? bad * this.ownShare(attribution, row, now) : 0
    if (good + ownBad === 0) return
    this.streaks.set(row.address, isBad ? 0 : this.goodStreak(row.address) + good)
    this.channels[channel].add(row.address, { zone, good, bad: ownBad, reason, mayBePath, nowMilliseconds: now }, this.policy.faulty_share)
  }

  private interpret (row: EvidenceRow): Reading[] {
    const facts = kindFacts(row.kind)
    const baseline = this.baselineOf(row.routeTag)
    const isSlow = bucketMilliseconds(row.latencyBucket) > baseline.slowBeyondMilliseconds(this.policy.slow_factor)
    if (facts.kind === AttemptKind.Overdue) return [slowReading(true, facts.kind)]
    if (facts.kind === AttemptKind.Answered) {
      baseline.add(row.latencyBucket, row.count)
      return [slowReading(isSlow, SLOW_REASON), { channel: Channel.Failing, isBad: false, reason: '', mayBePath: true }]
    }
    const tooEarly = facts.onlyWhenSlow && !isSlow && baseline.isKnown()
    if (tooEarly || facts.meaning === Meaning.Nothing) return []
    return [{ channel: Channel.Failing, isBad: facts.meaning === Meaning.Bad, reason: facts.kind, mayBePath: facts.mayBePath }]
  }

  /** The part of a failure that does not follow its customer or its route over other upstreams. */
  private ownShare (attribution: FailureAttribution, row: EvidenceRow, now: number): number {
    const byCustomer = attribution.shareElsewhere(row.customerTag, row.address, now)
    const byRoute = attribution.shareElsewhere(row.routeTag, row.address, now)
    const elsewhere = Math.max(byCustomer, byRoute)
    return elsewhere >= ATTRIBUTED_SHARE ? 0 : 1 - elsewhere
  }

  private baselineOf (routeTag: number): LatencyBaseline {
    const known = this.baselines.get(routeTag)
    if (known !== undefined) return known
    const created = LatencyBaseline.create()
    this.baselines.set(routeTag, created)
    return created
  }
}

function slowReading (isBad: boolean, reason: string): Reading {
  return { channel: Channel.Slow, isBad, reason, mayBePath: true }
}

import type { PoolPolicy } from '@hickoryspoke/configuration/pool-policy'
import type { EvidenceRow } from '@hickoryspoke/protocol/generated/evidence'
import { AttemptKind, bucketMilliseconds, kindProperties, OutcomeClass } from './attempt-outcome.ts'
import { FailureAttribution } from './failure-attribution.ts'
import { LatencyBaseline } from './latency-baseline.ts'
import { SymptomDetector, type Finding } from './symptom-detector.ts'

const FULLY_ATTRIBUTED_SHARE = 0.5
const SLOW_REASON = 'slow'
const PROBE_FAILED_REASON = 'probe_failed'

/** Symptoms of a faulty upstream. Each has its own detector, so that one common in the pool does not hide the other. */
const Symptom = { Failing: 'failing', Slow: 'slow' } as const
type Symptom = typeof Symptom[keyof typeof Symptom]

interface SymptomObservation {
  readonly symptom: Symptom
  readonly isBad: boolean
  readonly reason: string
  readonly mayBeNetworkFault: boolean
}

/** Compares the upstreams of one pool with each other by the attempts of all entries and finds those that are faulty. */
export class OutlierDetector {
  private readonly detectors: Record<Symptom, SymptomDetector> = { failing: SymptomDetector.create(), slow: SymptomDetector.create() }
  private readonly attributions: Record<Symptom, FailureAttribution> = { failing: FailureAttribution.create(), slow: FailureAttribution.create() }
  private readonly baselines = new Map<number, LatencyBaseline>()
  private readonly streaks = new Map<string, number>()
  private readonly lastAttempts = new Map<string, number>()

  private constructor (private policy: PoolPolicy) {}

  static create (policy: PoolPolicy): OutlierDetector {
    return new OutlierDetector(policy)
  }

  setPolicy (policy: PoolPolicy): void {
    this.policy = policy
  }

  /** Adds one evidence row from an observer in a zone. An upstream in slow start is not penalized for slow answers. */
  add (zone: string, row: EvidenceRow, nowMilliseconds: number, inSlowStart = false): void {
    this.lastAttempts.set(row.address, nowMilliseconds)
    for (const observation of this.toObservations(row)) {
      if (inSlowStart && observation.symptom === Symptom.Slow && observation.isBad) continue
      this.addObservation(zone, row, observation, nowMilliseconds)
    }
  }

  /** Adds the result of a probe from a zone; it counts as one attempt. */
  addProbe (zone: string, address: string, reachable: boolean, nowMilliseconds: number): void {
    const [good, bad] = reachable ? [1, 0] : [0, 1]
    const attempts = { zone, good, bad, reason: PROBE_FAILED_REASON, mayBeNetworkFault: true, nowMilliseconds }
    this.detectors.failing.add(address, attempts, this.policy.faulty_share)
  }

  /** The faults that the evidence currently indicates, the strongest first. */
  findings (zoneCount: number, nowMilliseconds: number): Finding[] {
    const question = { threshold: this.policy.detection_threshold, faultyShare: this.policy.faulty_share, zoneCount }
    const found = Object.values(this.detectors).flatMap((detector) => detector.findings(question, nowMilliseconds))
    return found.sort((left, right) => right.evidence - left.evidence)
  }

  /** Strength of the evidence against one upstream, as a log-likelihood ratio. */
  evidenceAgainst (address: string): number {
    return Math.max(...Object.values(this.detectors).map((detector) => detector.evidenceAgainst(address)))
  }

  /** Number of consecutive good attempts since the last bad one or the last `reset`. */
  goodStreak (address: string): number {
    return this.streaks.get(address) ?? 0
  }

  /** Monotonic time at which the last evidence of attempts on an upstream arrived; `-Infinity` if there was none. */
  lastAttemptMilliseconds (address: string): number {
    return this.lastAttempts.get(address) ?? -Infinity
  }

  /** Discards the evidence about an upstream, for instance after a change of its state. */
  reset (address: string): void {
    this.streaks.delete(address)
    for (const detector of Object.values(this.detectors)) detector.reset(address)
  }

  /** Removes the state of all upstreams except those given. */
  retain (addresses: ReadonlySet<string>): void {
    for (const detector of Object.values(this.detectors)) detector.retain(addresses)
    for (const address of this.lastAttempts.keys()) if (!addresses.has(address)) this.lastAttempts.delete(address)
    for (const address of this.streaks.keys()) if (!addresses.has(address)) this.streaks.delete(address)
  }

  private addObservation (zone: string, row: EvidenceRow, observation: SymptomObservation, now: number): void {
    const { symptom, isBad, reason, mayBeNetworkFault } = observation
    const [good, bad] = isBad ? [0, row.count] : [row.count, 0]
    const attribution = this.attributions[symptom]
    attribution.count(row.customerTag, row.address, good, bad, now)
    attribution.count(row.routeTag, row.address, good, bad, now)
    const upstreamBad = isBad ? bad * this.upstreamShare(attribution, row, now) : 0
    if (good + upstreamBad === 0) return
    this.streaks.set(row.address, isBad ? 0 : this.goodStreak(row.address) + good)
    this.detectors[symptom].add(row.address, { zone, good, bad: upstreamBad, reason, mayBeNetworkFault, nowMilliseconds: now }, this.policy.faulty_share)
  }

  private toObservations (row: EvidenceRow): SymptomObservation[] {
    const properties = kindProperties(row.kind)
    const baseline = this.baselineOf(row.routeTag)
    const isSlow = bucketMilliseconds(row.latencyBucket) > baseline.slowThresholdMilliseconds(this.policy.slow_factor)
    if (properties.kind === AttemptKind.Overdue) return [latencyObservation(true, properties.kind)]
    if (properties.kind === AttemptKind.Answered) {
      baseline.add(row.latencyBucket, row.count)
      return [latencyObservation(isSlow, SLOW_REASON), { symptom: Symptom.Failing, isBad: false, reason: '', mayBeNetworkFault: true }]
    }
    const tooEarly = properties.countsOnlyWhenSlow && !isSlow && baseline.isKnown()
    if (tooEarly || properties.outcomeClass === OutcomeClass.Neutral) return []
    return [{
      symptom: Symptom.Failing,
      isBad: properties.outcomeClass === OutcomeClass.Bad,
      reason: properties.kind,
      mayBeNetworkFault: properties.mayBeNetworkFault
    }]
  }

  /** The part of a failure that is attributed to the upstream, because its customer or route does not fail elsewhere as well. */
  private upstreamShare (attribution: FailureAttribution, row: EvidenceRow, now: number): number {
    const byCustomer = attribution.shareElsewhere(row.customerTag, row.address, now)
    const byRoute = attribution.shareElsewhere(row.routeTag, row.address, now)
    const elsewhere = Math.max(byCustomer, byRoute)
    return elsewhere >= FULLY_ATTRIBUTED_SHARE ? 0 : 1 - elsewhere
  }

  private baselineOf (routeTag: number): LatencyBaseline {
    const known = this.baselines.get(routeTag)
    if (known !== undefined) return known
    const created = LatencyBaseline.create()
    this.baselines.set(routeTag, created)
    return created
  }
}

function latencyObservation (isBad: boolean, reason: string): SymptomObservation {
  return { symptom: Symptom.Slow, isBad, reason, mayBeNetworkFault: true }
}

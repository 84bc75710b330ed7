import type { PoolPolicy } from '@hickoryspoke/configuration/pool-policy'
import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import type { Advisory, Ejection, EvidenceRow } from '@hickoryspoke/protocol/generated/evidence'
import { AdvisoryStore } from './advisory-store.ts'
import { ExponentialBackoff } from './back-off.ts'
import { EjectionLedger } from './ejection-ledger.ts'
import { EjectionState } from './ejection-lifecycle.ts'
import { HealthEventKind, type HealthEventHandler } from './health-event.ts'
import { OutlierDetector } from './outlier-detector.ts'
import { FindingScope, type Finding } from './symptom-detector.ts'

const MAXIMUM_TRIAL_MILLISECONDS = 30_000
const TRIAL_THRESHOLD_SHARE = 0.4
const MILLISECONDS_PER_SECOND = 1_000

/** Health settings of one pool from the configuration. */
export interface HealthPool {
  readonly name: string
  /** Minimum share of the announced slots that ejections must leave in service. */
  readonly healthy_floor: number
  readonly policy: PoolPolicy
}

/** Dependencies of `PoolCoordinator`. */
export interface PoolCoordinatorOptions {
  readonly pool: HealthPool
  readonly announced: () => readonly UpstreamRecord[]
  readonly onEvent: HealthEventHandler
  /** Asks an entry outside the given zones to probe an upstream. */
  readonly requestProbe: (address: string, exceptZones: readonly string[]) => void
}

/** Collects the evidence of all entries about one pool and decides which of its upstreams to eject, avoid or return to service. */
export class PoolCoordinator {
  private readonly detector: OutlierDetector
  private readonly ledger = EjectionLedger.create()
  private readonly activeAdvisories = AdvisoryStore.create()
  private readonly backoff = ExponentialBackoff.create()
  private readonly phaseDeadlines = new Map<string, number>()
  private readonly probeRequestedAt = new Map<string, number>()
  private pool: HealthPool

  private constructor (private readonly options: PoolCoordinatorOptions) {
    this.pool = options.pool
    this.detector = OutlierDetector.create(options.pool.policy)
  }

  static create (options: PoolCoordinatorOptions): PoolCoordinator {
    return new PoolCoordinator(options)
  }

  updatePool (pool: HealthPool): void {
    this.pool = pool
    this.detector.setPolicy(pool.policy)
  }

  /** Adds the evidence reported by an entry in a zone. */
  addEvidence (zone: string, rows: readonly EvidenceRow[], now: number): void {
    const inSlowStart = new Set(this.options.announced().filter((record) => this.isInSlowStart(record, now)).map((record) => record.address))
    for (const row of rows) this.detector.add(zone, row, now, inSlowStart.has(row.address))
  }

  addProbeResult (zone: string, address: string, reachable: boolean, now: number): void {
    this.detector.addProbe(zone, address, reachable, now)
  }

  /**
   * Updates ejections and advisories from the evidence; ejections are granted only if `mayGrant` is set.
   * Returns true if anything changed, so that the entries must be notified.
   */
  decide (mayGrant: boolean, zoneCount: number, now: number): boolean {
    const announced = this.options.announced()
    const before = this.fingerprint()
    this.releaseInvalidGrants(announced, now)
    this.detector.retain(new Set(announced.map((record) => record.address)))
    for (const finding of this.detector.findings(zoneCount, now)) this.handleFinding(finding, announced, mayGrant, now)
    for (const address of this.ledger.addresses()) this.follow(address, now)
    for (const address of this.activeAdvisories.expire(now)) this.detector.reset(address)
    this.probeIdleUpstreams(announced, now)
    return this.fingerprint() !== before
  }

  advisories (): Advisory[] {
    return this.activeAdvisories.list()
  }

  /** Lists the ejections for an answer to an entry and extends their leases. */
  issueLeases (now: number): Ejection[] {
    return this.ledger.issueLeases(now)
  }

  hasActiveDecisions (): boolean {
    return !this.ledger.isEmpty() || this.activeAdvisories.list().length > 0
  }

  private handleFinding (finding: Finding, announced: readonly UpstreamRecord[], mayGrant: boolean, now: number): void {
    const record = announced.find((candidate) => candidate.address === finding.address)
    if (record === undefined || this.ledger.stateOf(finding.address) !== EjectionState.InService) return
    if (finding.scope !== FindingScope.All) {
      this.avoid(finding, finding.observers, now)
      if (finding.scope === FindingScope.Unconfirmed) this.requestConfirmingProbe(finding, now)
      return
    }
    const { address, incarnation, slots } = record
    const proposal = { address, incarnation, slots, reason: finding.reason, observers: finding.observers }
    const granted = mayGrant && this.ledger.propose(proposal, announced, this.pool.healthy_floor, now)
    if (granted) this.recordEjection(finding, now)
    else this.avoidEverywhere(finding, mayGrant, now)
  }

  private recordEjection (finding: Finding, now: number): void {
    this.startEjectionPeriod(finding.address, now)
    this.detector.reset(finding.address)
    this.activeAdvisories.remove(finding.address)
    this.emit(HealthEventKind.Ejected, finding.address, finding.reason, finding.observers)
  }

  private avoidEverywhere (finding: Finding, mayGrant: boolean, now: number): void {
    const isNew = !this.activeAdvisories.has(finding.address, '')
    this.avoid(finding, [''], now)
    if (isNew && mayGrant) this.emit(HealthEventKind.FloorForbids, finding.address, finding.reason, finding.observers)
  }

  private avoid (finding: Finding, zones: readonly string[], now: number): void {
    const { ejection_seconds: first, maximum_ejection_seconds: max } = this.pool.policy
    for (const zone of zones) {
      if (this.activeAdvisories.has(finding.address, zone)) continue
      const untilMilliseconds = this.backoff.nextExpiry(`${finding.address} ${zone}`, first, max, now)
      this.activeAdvisories.post({ address: finding.address, zone, reason: finding.reason }, untilMilliseconds)
      this.emit(HealthEventKind.Avoided, finding.address, finding.reason, finding.observers)
    }
  }

  private requestConfirmingProbe (finding: Finding, now: number): void {
    const requestedAt = this.probeRequestedAt.get(finding.address) ?? -Infinity
    if (now < requestedAt + MILLISECONDS_PER_SECOND) return
    this.probeRequestedAt.set(finding.address, now)
    this.options.requestProbe(finding.address, finding.observers)
  }

  /** Requests a probe, from one entry at a time, of every upstream that has had no traffic for the probe interval. */
  private probeIdleUpstreams (announced: readonly UpstreamRecord[], now: number): void {
    const intervalMilliseconds = this.pool.policy.probe_seconds * MILLISECONDS_PER_SECOND
    for (const { address } of announced) {
      const last = Math.max(this.detector.lastAttemptMilliseconds(address), this.probeRequestedAt.get(address) ?? -Infinity)
      if (last === -Infinity) this.probeRequestedAt.set(address, now)
      if (last === -Infinity || now < last + intervalMilliseconds) continue
      this.probeRequestedAt.set(address, now)
      this.options.requestProbe(address, [])
    }
  }

  private follow (address: string, now: number): void {
    const deadlinePassed = now >= (this.phaseDeadlines.get(address) ?? 0)
    const state = this.ledger.stateOf(address)
    if (state === EjectionState.Ejected && deadlinePassed) this.beginTrial(address, now)
    else if (state === EjectionState.Trial) this.evaluateTrial(address, deadlinePassed, now)
  }

  private beginTrial (address: string, now: number): void {
    this.ledger.beginTrial(address)
    this.detector.reset(address)
    this.phaseDeadlines.set(address, now + MAXIMUM_TRIAL_MILLISECONDS)
    this.emit(HealthEventKind.Trial, address, 'wait_over', [])
  }

  private evaluateTrial (address: string, deadlinePassed: boolean, now: number): void {
    const { detection_threshold: threshold, trial_requests: wanted } = this.pool.policy
    const evidence = this.detector.evidenceAgainst(address)
    if (evidence >= threshold * TRIAL_THRESHOLD_SHARE) {
      this.ledger.relapse(address)
      this.startEjectionPeriod(address, now)
      this.detector.reset(address)
      this.emit(HealthEventKind.Relapsed, address, 'trial_failed', [])
    } else if (this.detector.goodStreak(address) >= wanted || (deadlinePassed && evidence === 0)) {
      this.ledger.release(address, 'recover')
      this.detector.reset(address)
      this.emit(HealthEventKind.Returned, address, 'trial_passed', [])
    }
  }

  private startEjectionPeriod (address: string, now: number): void {
    const { ejection_seconds: first, maximum_ejection_seconds: max } = this.pool.policy
    this.phaseDeadlines.set(address, this.backoff.nextExpiry(address, first, max, now))
  }

  private releaseInvalidGrants (announced: readonly UpstreamRecord[], now: number): void {
    for (const address of this.ledger.reconcile(announced, this.pool.healthy_floor, now)) {
      this.detector.reset(address)
      this.emit(HealthEventKind.Released, address, 'gone_or_floor', [])
    }
  }

  private isInSlowStart (record: UpstreamRecord, now: number): boolean {
    return now < record.seenSinceMilliseconds + this.pool.policy.slow_start_seconds * MILLISECONDS_PER_SECOND
  }

  private fingerprint (): string {
    const ejections = this.ledger.addresses().map((address) => `${address} ${this.ledger.stateOf(address)}`)
    const advisories = this.activeAdvisories.list().map((advisory) => `${advisory.address} ${advisory.zone}`)
    return [...ejections, ...advisories].join('\n')
  }

  private emit (kind: HealthEventKind, address: string, reason: string, observers: readonly string[]): void {
    this.options.onEvent({ kind, pool: this.pool.name, address, reason, observers })
  }
}

import type { PoolPolicy } from '@hickoryspoke/configuration/pool-policy'
import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import type { Advisory, Ejection, EvidenceRow } from '@hickoryspoke/protocol/generated/evidence'
import { AdvisoryBoard } from './advisory-board.ts'
import { BackOff } from './back-off.ts'
import { FindingScope, type Finding } from './channel-judge.ts'
import { EjectionLedger } from './ejection-ledger.ts'
import { EjectionState } from './ejection-lifecycle.ts'
import { HealthEventKind, type HealthEventHandler } from './health-event.ts'
import { PoolJudge } from './pool-judge.ts'

const LONGEST_TRIAL_MILLISECONDS = 30_000
const TRIAL_THRESHOLD_SHARE = 0.4
const MILLISECONDS_PER_SECOND = 1_000

/** One pool as operators describe it. */
export interface HealthPool {
  readonly name: string
  /** Share of the announced slots that ejections never go below. */
  readonly healthy_floor: number
  readonly policy: PoolPolicy
}

/** What the home of a pool needs. */
export interface PoolHomeOptions {
  readonly pool: HealthPool
  readonly announced: () => readonly UpstreamRecord[]
  readonly onEvent: HealthEventHandler
  /** Asks an entry outside the given zones to probe an upstream. */
  readonly requestProbe: (address: string, exceptZones: readonly string[]) => void
}

/** Gathers the evidence of all entries on one pool and decides about its upstreams. */
export class PoolHome {
  private readonly judge: PoolJudge
  private readonly ledger = EjectionLedger.create()
  private readonly advised = AdvisoryBoard.create()
  private readonly backOff = BackOff.create()
  private readonly waitEnds = new Map<string, number>()
  private readonly probeAsked = new Map<string, number>()
  private pool: HealthPool

  private constructor (private readonly options: PoolHomeOptions) {
    this.pool = options.pool
    this.judge = PoolJudge.create(options.pool.policy)
  }

  static create (options: PoolHomeOptions): PoolHome {
    return new PoolHome(options)
  }

  setPool (pool: HealthPool): void {
    this.pool = pool
    this.judge.setPolicy(pool.policy)
  }

  /** Takes the evidence of an entry in a zone. */
  takeEvidence (zone: string, rows: readonly EvidenceRow[], now: number): void {
    const cold = new Set(this.options.announced().filter((record) => this.isCold(record, now)).map((record) => record.address))
    for (const row of rows) this.judge.add(zone, row, now, cold.has(row.address))
  }

  takeProbe (zone: string, address: string, reachable: boolean, now: number): void {
    this.judge.addProbe(zone, address, reachable, now)
  }

  /** Decides what the evidence allows; true when entries should be told. */
  decide (mayGrant: boolean, fleetZones: number, now: number): boolean {
    const announced = this.options.announced()
    const before = this.fingerprint()
    this.endVoidGrants(announced, now)
    this.judge.retain(new Set(announced.map((record) => record.address)))
    for (const finding of this.judge.findings(fleetZones, now)) this.act(finding, announced, mayGrant, now)
    for (const address of this.ledger.addresses()) this.follow(address, now)
    for (const address of this.advised.expire(now)) this.judge.forget(address)
    this.probeIdle(announced, now)
    return this.fingerprint() !== before
  }

  advisories (): Advisory[] {
    return this.advised.list()
  }

  /** The ejections for an answer to an entry. */
  lend (now: number): Ejection[] {
    return this.ledger.lend(now)
  }

  hasNews (): boolean {
    return !this.ledger.isEmpty() || this.advised.list().length > 0
  }

  private act (finding: Finding, announced: readonly UpstreamRecord[], mayGrant: boolean, now: number): void {
    const record = announced.find((candidate) => candidate.address === finding.address)
    if (record === undefined || this.ledger.stateOf(finding.address) !== EjectionState.InService) return
    if (finding.scope !== FindingScope.All) {
      this.avoid(finding, finding.observers, now)
      if (finding.scope === FindingScope.Unconfirmed) this.askForProbe(finding, now)
      return
    }
    const { address, incarnation, slots } = record
    const proposal = { address, incarnation, slots, reason: finding.reason, observers: finding.observers }
    const granted = mayGrant && this.ledger.propose(proposal, announced, this.pool.healthy_floor, now)
    if (granted) this.recordEjection(finding, now)
    else this.avoidEverywhere(finding, mayGrant, now)
  }

  private recordEjection (finding: Finding, now: number): void {
    this.startWait(finding.address, now)
    this.judge.forget(finding.address)
    this.advised.drop(finding.address)
    this.emit(HealthEventKind.Ejected, finding.address, finding.reason, finding.observers)
  }

  private avoidEverywhere (finding: Finding, mayGrant: boolean, now: number): void {
    const isNew = !this.advised.has(finding.address, '')
    this.avoid(finding, [''], now)
    if (isNew && mayGrant) this.emit(HealthEventKind.FloorForbids, finding.address, finding.reason, finding.observers)
  }

  private avoid (finding: Finding, zones: readonly string[], now: number): void {
    const { ejection_seconds: first, maximum_ejection_seconds: longest } = this.pool.policy
    for (const zone of zones) {
      if (this.advised.has(finding.address, zone)) continue
      const untilMilliseconds = this.backOff.nextEnd(`${finding.address} ${zone}`, first, longest, now)
      this.advised.post({ address: finding.address, zone, reason: finding.reason }, untilMilliseconds)
      this.emit(HealthEventKind.Avoided, finding.address, finding.reason, finding.observers)
    }
  }

  private askForProbe (finding: Finding, now: number): void {
    const asked = this.probeAsked.get(finding.address) ?? -Infinity
    if (now < asked + MILLISECONDS_PER_SECOND) return
    this.probeAsked.set(finding.address, now)
    this.options.requestProbe(finding.address, finding.observers)
  }

  /** An upstream without traffic is probed by one entry of the fleet now and then. */
  private probeIdle (announced: readonly UpstreamRecord[], now: number): void {
    const intervalMilliseconds = this.pool.policy.probe_seconds * MILLISECONDS_PER_SECOND
    for (const { address } of announced) {
      const last = Math.max(this.judge.lastAttemptMilliseconds(address), this.probeAsked.get(address) ?? -Infinity)
      if (last === -Infinity) this.probeAsked.set(address, now)
      if (last === -Infinity || now < last + intervalMilliseconds) continue
      this.probeAsked.set(address, now)
      this.options.requestProbe(address, [])
    }
  }

  private follow (address: string, now: number): void {
    const waitEnded = now >= (this.waitEnds.get(address) ?? 0)
    const state = this.ledger.stateOf(address)
    if (state === EjectionState.Ejected && waitEnded) this.beginTrial(address, now)
    else if (state === EjectionState.Trial) this.followTrial(address, waitEnded, now)
  }

  private beginTrial (address: string, now: number): void {
    this.ledger.beginTrial(address)
    this.judge.forget(address)
    this.waitEnds.set(address, now + LONGEST_TRIAL_MILLISECONDS)
    this.emit(HealthEventKind.Trial, address, 'wait_over', [])
  }

  private followTrial (address: string, isLong: boolean, now: number): void {
    const { detection_threshold: threshold, trial_requests: wanted } = this.pool.policy
    const evidence = this.judge.evidenceAgainst(address)
    if (evidence >= threshold * TRIAL_THRESHOLD_SHARE) {
      this.ledger.relapse(address)
      this.startWait(address, now)
      this.judge.forget(address)
      this.emit(HealthEventKind.Relapsed, address, 'trial_failed', [])
    } else if (this.judge.goodStreak(address) >= wanted || (isLong && evidence === 0)) {
      this.ledger.release(address, 'recover')
      this.judge.forget(address)
      this.emit(HealthEventKind.Returned, address, 'trial_passed', [])
    }
  }

  private startWait (address: string, now: number): void {
    const { ejection_seconds: first, maximum_ejection_seconds: longest } = this.pool.policy
    this.waitEnds.set(address, this.backOff.nextEnd(address, first, longest, now))
  }

  private endVoidGrants (announced: readonly UpstreamRecord[], now: number): void {
    for (const address of this.ledger.settle(announced, this.pool.healthy_floor, now)) {
      this.judge.forget(address)
      this.emit(HealthEventKind.Released, address, 'gone_or_floor', [])
    }
  }

  private isCold (record: UpstreamRecord, now: number): boolean {
    return now < record.seenSinceMilliseconds + this.pool.policy.slow_start_seconds * MILLISECONDS_PER_SECOND
  }

  private fingerprint (): string {
    const ejections = this.ledger.addresses().map((address) => `${address} ${this.ledger.stateOf(address)}`)
    const advisories = this.advised.list().map((advisory) => `${advisory.address} ${advisory.zone}`)
    return [...ejections, ...advisories].join('\n')
  }

  private emit (kind: HealthEventKind, address: string, reason: string, observers: readonly string[]): void {
    this.options.onEvent({ kind, pool: this.pool.name, address, reason, observers })
  }
}

import { defaultPoolPolicy } from '@hickoryspoke/configuration/pool-policy'
import type { AnnouncementRegistry } from '@hickoryspoke/membership/announcement-registry'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import type {
  Advisory, Ejection, EvidenceMessage, EvidenceReport, PoolEvidence, ProbeReport, ProbeRequest, Verdict, VerdictNotice, VerdictRequest
} from '@hickoryspoke/protocol/generated/evidence'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { MessageHandler, PeerNetwork } from '@hickoryspoke/runtime/network'
import { pickOne, type RandomSource } from '@hickoryspoke/runtime/random'
import { EJECTION_LEASE_MILLISECONDS } from './ejection-ledger.ts'
import { EvidenceCollector, type ObservedAttempt } from './evidence-collector.ts'
import type { HealthEventHandler } from './health-event.ts'
import { PoolCoordinator, type HealthPool } from './pool-coordinator.ts'
import { PoolRoles } from './pool-roles.ts'
import { PoolStanding, type UpstreamStanding } from './pool-standing.ts'
import { describePool, type UpstreamView } from './upstream-view.ts'

const TICK_MILLISECONDS = 50
const REPORT_MILLISECONDS = 500
const NOTICE_REPEAT_MILLISECONDS = 5_000
const VERDICT_REQUEST_INTERVAL_MILLISECONDS = 500
const MICROSECONDS_PER_MILLISECOND = 1_000
const DEFAULT_FLOOR = 0.5

/** Result of probing an upstream's health endpoint. */
export interface ProbeResult {
  readonly reachable: boolean
  readonly healthy: boolean
}

/** Dependencies of `UpstreamHealth`. */
export interface UpstreamHealthOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<EvidenceMessage>
  /** Availability zone of this entry. */
  readonly zone: string
  readonly registry: AnnouncementRegistry
  readonly epochLease: EpochLease
  /** Probes an upstream's health endpoint; never rejects. */
  readonly probe: (address: string) => Promise<ProbeResult>
  readonly onEvent?: HealthEventHandler
}

/**
 * Health checking of upstreams at one entry: reports this entry's evidence, coordinates the pools assigned to this entry,
 * and applies the verdicts and advisories of other entries.
 */
export class UpstreamHealth {
  private readonly collector = EvidenceCollector.create()
  private readonly roles: PoolRoles
  private readonly pools = new Map<string, HealthPool>()
  private readonly coordinators = new Map<string, PoolCoordinator>()
  private readonly standings = new Map<string, PoolStanding>()
  private readonly verdictRequestedAt = new Map<string, number>()
  private readonly noticeSentAt = new Map<string, number>()
  private noticeVersion = 0
  private lastReportMilliseconds = 0

  private constructor (private readonly options: UpstreamHealthOptions) {
    const { network, registry, epochLease } = options
    this.roles = PoolRoles.create(network.self, registry.liveness, epochLease)
    registry.onChange((pool) => this.standings.get(pool)?.invalidate())
  }

  static create (options: UpstreamHealthOptions): UpstreamHealth {
    return new UpstreamHealth(options)
  }

  /** Applies the pools of the accepted configuration. */
  applyPools (pools: readonly HealthPool[]): void {
    this.pools.clear()
    for (const pool of pools) {
      this.pools.set(pool.name, pool)
      this.coordinators.get(pool.name)?.updatePool(pool)
      this.standings.get(pool.name)?.updatePool(pool)
    }
  }

  applyMembership (membership: EntryMembership): void {
    this.roles.applyMembership(membership)
  }

  /** Records the outcome of an attempt as evidence. */
  observe (attempt: ObservedAttempt): void {
    this.collector.add(attempt)
  }

  policyOf (pool: string): HealthPool['policy'] {
    return this.poolOf(pool).policy
  }

  /** How this entry should treat each serving upstream of a pool, in registry order. */
  standing (pool: string): readonly UpstreamStanding[] {
    return this.standingOf(pool).list(this.now())
  }

  /** Every upstream of every pool as this entry sees it. */
  view (): UpstreamView[] {
    const { registry } = this.options
    return registry.poolNames().sort().flatMap((pool) => describePool(pool, registry.records(pool), this.standing(pool), this.now()))
  }

  /** Runs the periodic reports, decisions and lease renewals until the signal aborts. */
  async start (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.options.clock, TICK_MILLISECONDS, signal, () => this.tick())
  }

  /** Handles an evidence message from another entry. */
  receive (from: string, message: EvidenceMessage): void {
    const body = message.body
    if (body === undefined) return
    const handlers: { [Case in typeof body.$case]: MessageHandler<never> } = {
      report: this.receiveReport,
      notice: this.receiveNotice,
      verdictRequest: this.answerVerdictRequest,
      verdict: this.receiveVerdict,
      probeRequest: this.receiveProbeRequest,
      probeReport: this.receiveProbeReport
    }
    handlers[body.$case](from, body.value as never)
  }

  private tick (): void {
    this.report()
    for (const pool of this.pools.keys()) if (this.roles.coordinatorOf(pool) === this.options.network.self) this.decide(pool)
    for (const [pool, standing] of this.standings) if (standing.isRenewalDue(this.now())) this.ask(pool)
  }

  private report (): void {
    const all = this.now() >= this.lastReportMilliseconds + REPORT_MILLISECONDS
    if (all) this.lastReportMilliseconds = this.now()
    const byCoordinator = new Map<string, PoolEvidence[]>()
    for (const evidence of this.collector.take(all)) {
      const coordinator = this.roles.coordinatorOf(evidence.pool) ?? this.options.network.self
      byCoordinator.set(coordinator, [...byCoordinator.get(coordinator) ?? [], evidence])
    }
    for (const [coordinator, pools] of byCoordinator) this.send(coordinator, { $case: 'report', value: { pools } })
  }

  private decide (pool: string): void {
    const coordinator = this.coordinatorFor(pool)
    const changed = coordinator.decide(this.roles.mayGrant(pool, this.now()), this.roles.zoneCount(), this.now())
    const repeat = coordinator.hasActiveDecisions() && this.now() >= (this.noticeSentAt.get(pool) ?? 0) + NOTICE_REPEAT_MILLISECONDS
    if (!changed && !repeat) return
    this.noticeSentAt.set(pool, this.now())
    this.noticeVersion += 1
    const value: VerdictNotice = { pool, epoch: this.roles.epoch(), version: this.noticeVersion, advisories: coordinator.advisories() }
    for (const entry of this.options.registry.liveness.liveEntries()) this.send(entry.name, { $case: 'notice', value })
  }

  private ask (pool: string): void {
    const owner = this.roles.ejectionOwnerOf(pool)
    if (owner === undefined || this.now() < (this.verdictRequestedAt.get(pool) ?? -Infinity) + VERDICT_REQUEST_INTERVAL_MILLISECONDS) return
    this.verdictRequestedAt.set(pool, this.now())
    this.send(owner, { $case: 'verdictRequest', value: { pool, stampMicroseconds: Math.floor(this.now() * MICROSECONDS_PER_MILLISECOND) } })
  }

  private readonly receiveReport = (from: string, report: EvidenceReport): void => {
    const zone = this.roles.zoneOf(from)
    if (zone === undefined) return
    for (const { pool, rows } of report.pools) if (this.pools.has(pool)) this.coordinatorFor(pool).addEvidence(zone, rows, this.now())
  }

  private readonly receiveNotice = (from: string, notice: VerdictNotice): void => {
    if (!this.pools.has(notice.pool)) return
    this.standingOf(notice.pool).applyAdvisories(from, notice.advisories, this.now())
    if (from !== this.roles.ejectionOwnerOf(notice.pool)) return
    this.verdictRequestedAt.delete(notice.pool)
    this.ask(notice.pool)
  }

  private readonly answerVerdictRequest = (from: string, request: VerdictRequest): void => {
    const { pool, stampMicroseconds } = request
    if (!this.pools.has(pool) || !this.roles.mayGrant(pool, this.now())) return
    const ejections: Ejection[] = this.coordinatorFor(pool).issueLeases(this.now())
    const advisories: Advisory[] = this.coordinatorFor(pool).advisories()
    const epoch = this.roles.epoch()
    const lease = { stampMicroseconds, leaseMilliseconds: EJECTION_LEASE_MILLISECONDS }
    const value: Verdict = { pool, epoch, version: this.noticeVersion, ...lease, ejections, advisories }
    this.send(from, { $case: 'verdict', value })
  }

  private readonly receiveVerdict = (from: string, verdict: Verdict): void => {
    if (!this.pools.has(verdict.pool) || from !== this.roles.ejectionOwnerOf(verdict.pool)) return
    this.standingOf(verdict.pool).applyVerdict(verdict, this.now())
  }

  private readonly receiveProbeRequest = (from: string, request: ProbeRequest): void => {
    void this.runProbe(from, request)
  }

  private readonly receiveProbeReport = (from: string, report: ProbeReport): void => {
    const zone = this.roles.zoneOf(from)
    if (zone !== undefined && this.pools.has(report.pool)) this.coordinatorFor(report.pool).addProbeResult(zone, report.address, report.reachable, this.now())
  }

  private async runProbe (asker: string, request: ProbeRequest): Promise<void> {
    const known = this.options.registry.upstreams(request.pool).some((record) => record.address === request.address)
    if (!known) return
    const result = await this.options.probe(request.address)
    this.send(asker, { $case: 'probeReport', value: { ...request, ...result } })
  }

  private requestProbe (pool: string, address: string, exceptZones: readonly string[]): void {
    const names = this.roles.liveEntriesOutside(exceptZones)
    if (names.length > 0) this.send(pickOne(this.options.random, names), { $case: 'probeRequest', value: { pool, address } })
  }

  private coordinatorFor (pool: string): PoolCoordinator {
    const known = this.coordinators.get(pool)
    if (known !== undefined) return known
    const created = PoolCoordinator.create({
      pool: this.poolOf(pool),
      announced: () => this.options.registry.upstreams(pool),
      onEvent: (event) => this.options.onEvent?.(event),
      requestProbe: (address, exceptZones) => this.requestProbe(pool, address, exceptZones)
    })
    this.coordinators.set(pool, created)
    return created
  }

  private standingOf (pool: string): PoolStanding {
    const known = this.standings.get(pool)
    if (known !== undefined) return known
    const { registry, zone } = this.options
    const created = PoolStanding.create({ pool: this.poolOf(pool), zone, announced: () => registry.upstreams(pool) })
    this.standings.set(pool, created)
    return created
  }

  private poolOf (pool: string): HealthPool {
    return this.pools.get(pool) ?? { name: pool, healthy_floor: DEFAULT_FLOOR, policy: defaultPoolPolicy() }
  }

  private send (to: string, body: NonNullable<EvidenceMessage['body']>): void {
    if (to === this.options.network.self) this.receive(to, { body })
    else this.options.network.send(to, { body })
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }
}

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
import { PoolHome, type HealthPool } from './pool-home.ts'
import { PoolOffices } from './pool-offices.ts'
import { PoolStanding, type UpstreamStanding } from './pool-standing.ts'
import { describePool, type UpstreamView } from './upstream-view.ts'

const TICK_MILLISECONDS = 50
const REPORT_MILLISECONDS = 500
const NOTICE_REPEAT_MILLISECONDS = 5_000
const QUESTION_INTERVAL_MILLISECONDS = 500
const MICROSECONDS = 1_000
const DEFAULT_FLOOR = 0.5

/** What a probe of an upstream's health endpoint found. */
export interface ProbeResult {
  readonly reachable: boolean
  readonly healthy: boolean
}

/** What the health of upstreams needs from its process. */
export interface UpstreamHealthOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<EvidenceMessage>
  /** Availability zone of this entry. */
  readonly zone: string
  readonly registry: AnnouncementRegistry
  readonly epochLease: EpochLease
  /** Asks an upstream's health endpoint; never throws. */
  readonly probe: (address: string) => Promise<ProbeResult>
  readonly onEvent?: HealthEventHandler
}

/** Reports this entry's evidence, decides for the pools whose home is here, and applies the verdicts of other homes. */
export class UpstreamHealth {
  private readonly collector = EvidenceCollector.create()
  private readonly offices: PoolOffices
  private readonly pools = new Map<string, HealthPool>()
  private readonly homes = new Map<string, PoolHome>()
  private readonly standings = new Map<string, PoolStanding>()
  private readonly asked = new Map<string, number>()
  private readonly noticed = new Map<string, number>()
  private noticeVersion = 0
  private reportedMilliseconds = 0

  private constructor (private readonly options: UpstreamHealthOptions) {
    const { network, registry, epochLease } = options
    this.offices = PoolOffices.create(network.self, registry.liveness, epochLease)
    registry.onChange((pool) => this.standings.get(pool)?.invalidate())
  }

  static create (options: UpstreamHealthOptions): UpstreamHealth {
    return new UpstreamHealth(options)
  }

  /** Takes the pools of the accepted configuration. */
  applyPools (pools: readonly HealthPool[]): void {
    this.pools.clear()
    for (const pool of pools) {
      this.pools.set(pool.name, pool)
      this.homes.get(pool.name)?.setPool(pool)
      this.standings.get(pool.name)?.setPool(pool)
    }
  }

  applyMembership (membership: EntryMembership): void {
    this.offices.applyMembership(membership)
  }

  /** Notes the end of an attempt as evidence. */
  observe (attempt: ObservedAttempt): void {
    this.collector.add(attempt)
  }

  policyOf (pool: string): HealthPool['policy'] {
    return this.poolOf(pool).policy
  }

  /** How this entry should treat each serving upstream of a pool, in the order of the registry. */
  standing (pool: string): readonly UpstreamStanding[] {
    return this.standingOf(pool).list(this.now())
  }

  /** Every upstream of every pool as this entry sees it. */
  view (): UpstreamView[] {
    const { registry } = this.options
    return registry.poolNames().sort().flatMap((pool) => describePool(pool, registry.records(pool), this.standing(pool), this.now()))
  }

  /** Runs until the signal aborts. */
  async start (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.options.clock, TICK_MILLISECONDS, signal, () => this.tick())
  }

  /** Takes an evidence message from another entry. */
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
    for (const pool of this.pools.keys()) if (this.offices.judgeOf(pool) === this.options.network.self) this.decide(pool)
    for (const [pool, standing] of this.standings) if (standing.isRenewalDue(this.now())) this.ask(pool)
  }

  private report (): void {
    const all = this.now() >= this.reportedMilliseconds + REPORT_MILLISECONDS
    if (all) this.reportedMilliseconds = this.now()
    const byJudge = new Map<string, PoolEvidence[]>()
    for (const evidence of this.collector.take(all)) {
      const judge = this.offices.judgeOf(evidence.pool) ?? this.options.network.self
      byJudge.set(judge, [...byJudge.get(judge) ?? [], evidence])
    }
    for (const [judge, pools] of byJudge) this.send(judge, { $case: 'report', value: { pools } })
  }

  private decide (pool: string): void {
    const home = this.homeFor(pool)
    const changed = home.decide(this.offices.mayGrant(pool, this.now()), this.offices.zoneCount(), this.now())
    const repeat = home.hasNews() && this.now() >= (this.noticed.get(pool) ?? 0) + NOTICE_REPEAT_MILLISECONDS
    if (!changed && !repeat) return
    this.noticed.set(pool, this.now())
    this.noticeVersion += 1
    const value: VerdictNotice = { pool, epoch: this.offices.epoch(), version: this.noticeVersion, advisories: home.advisories() }
    for (const entry of this.options.registry.liveness.liveEntries()) this.send(entry.name, { $case: 'notice', value })
  }

  private ask (pool: string): void {
    const home = this.offices.homeOf(pool)
    if (home === undefined || this.now() < (this.asked.get(pool) ?? -Infinity) + QUESTION_INTERVAL_MILLISECONDS) return
    this.asked.set(pool, this.now())
    this.send(home, { $case: 'verdictRequest', value: { pool, stampMicroseconds: Math.floor(this.now() * MICROSECONDS) } })
  }

  private readonly receiveReport = (from: string, report: EvidenceReport): void => {
    const zone = this.offices.zoneOf(from)
    if (zone === undefined) return
    for (const { pool, rows } of report.pools) if (this.pools.has(pool)) this.homeFor(pool).takeEvidence(zone, rows, this.now())
  }

  private readonly receiveNotice = (from: string, notice: VerdictNotice): void => {
    if (!this.pools.has(notice.pool)) return
    this.standingOf(notice.pool).takeAdvisories(from, notice.advisories, this.now())
    if (from !== this.offices.homeOf(notice.pool)) return
    this.asked.delete(notice.pool)
    this.ask(notice.pool)
  }

  private readonly answerVerdictRequest = (from: string, request: VerdictRequest): void => {
    const { pool, stampMicroseconds } = request
    if (!this.pools.has(pool) || !this.offices.mayGrant(pool, this.now())) return
    const ejections: Ejection[] = this.homeFor(pool).lend(this.now())
    const advisories: Advisory[] = this.homeFor(pool).advisories()
    const epoch = this.offices.epoch()
    const lease = { stampMicroseconds, leaseMilliseconds: EJECTION_LEASE_MILLISECONDS }
    const value: Verdict = { pool, epoch, version: this.noticeVersion, ...lease, ejections, advisories }
    this.send(from, { $case: 'verdict', value })
  }

  private readonly receiveVerdict = (from: string, verdict: Verdict): void => {
    if (!this.pools.has(verdict.pool) || from !== this.offices.homeOf(verdict.pool)) return
    this.standingOf(verdict.pool).takeVerdict(verdict, this.now())
  }

  private readonly receiveProbeRequest = (from: string, request: ProbeRequest): void => {
    void this.probeFor(from, request)
  }

  private readonly receiveProbeReport = (from: string, report: ProbeReport): void => {
    const zone = this.offices.zoneOf(from)
    if (zone !== undefined && this.pools.has(report.pool)) this.homeFor(report.pool).takeProbe(zone, report.address, report.reachable, this.now())
  }

  private async probeFor (asker: string, request: ProbeRequest): Promise<void> {
    const known = this.options.registry.upstreams(request.pool).some((record) => record.address === request.address)
    if (!known) return
    const result = await this.options.probe(request.address)
    this.send(asker, { $case: 'probeReport', value: { ...request, ...result } })
  }

  private requestProbe (pool: string, address: string, exceptZones: readonly string[]): void {
    const names = this.offices.namesOutside(exceptZones)
    if (names.length > 0) this.send(pickOne(this.options.random, names), { $case: 'probeRequest', value: { pool, address } })
  }

  private homeFor (pool: string): PoolHome {
    const known = this.homes.get(pool)
    if (known !== undefined) return known
    const created = PoolHome.create({
      pool: this.poolOf(pool),
      announced: () => this.options.registry.upstreams(pool),
      onEvent: (event) => this.options.onEvent?.(event),
      requestProbe: (address, exceptZones) => this.requestProbe(pool, address, exceptZones)
    })
    this.homes.set(pool, created)
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

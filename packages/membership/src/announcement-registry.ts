import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import type { GossipMessage, LeaseQuestion, RenewalBatch, UpstreamNews } from '@hickoryspoke/protocol/generated/gossip'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { MessageHandler, PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { Err, Ok, type Result } from 'ts-results-es'
import { AnnouncementRefused, parseAnnouncement, RefusalReason, type Announcement } from './announcement.ts'
import { EntryLiveness } from './entry-liveness.ts'
import { LeaseAction, LeaseWatch } from './lease-watch.ts'
import { LoadHints } from './load-hints.ts'
import { NewsDissemination } from './news-dissemination.ts'
import { BUCKET_COUNT, bucketOf } from './overlay.ts'
import { RecordTable } from './record-table.ts'
import { RecordVersion, UpstreamState, versionAfterExpiry, type UpstreamRecord } from './upstream-record.ts'

const LEASE_SWEEP_INTERVAL_MILLISECONDS = 250
const RENEWAL_FLUSH_INTERVAL_MILLISECONDS = 100
const PRUNE_INTERVAL_MILLISECONDS = 60_000
const ENDED_RETENTION_MILLISECONDS = 3 * 3_600_000
/** After receiving nothing from peers for this long, an entry discards its table as outdated. */
const STALE_TABLE_AGE_MILLISECONDS = 3_600_000
const PERCENT = 100

/** Dependencies of an `AnnouncementRegistry`. */
export interface AnnouncementRegistryOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<GossipMessage>
  /** Availability zone of this entry. */
  readonly zone: string
  /** Liveness of entries, if shared with other components; created by the registry if omitted. */
  readonly liveness?: EntryLiveness
}

type ChangeHandler = (pool: string) => void

/** Registry of the upstreams that have announced themselves to any entry of the fleet. */
export class AnnouncementRegistry {
  readonly liveness: EntryLiveness
  private readonly table = RecordTable.create()
  private readonly leases = LeaseWatch.create()
  private readonly loadHints: LoadHints
  private readonly dissemination: NewsDissemination
  private readonly changeHandlers: ChangeHandler[] = []
  private readonly renewals = new Map<string, UpstreamRecord>()
  private readonly stop = new AbortController()
  private lastPeerMessageMilliseconds: number

  private constructor (private readonly options: AnnouncementRegistryOptions) {
    const { clock, network } = options
    this.liveness = options.liveness ?? EntryLiveness.create(options)
    this.lastPeerMessageMilliseconds = clock.monotonicMilliseconds()
    this.loadHints = LoadHints.create(clock, (address, load) => this.table.setLoad(address, load))
    this.dissemination = NewsDissemination.create(
      { clock, network, table: this.table, neighbours: () => this.liveness.neighbours() },
      (news) => this.merge(news)
    )
    this.liveness.attach({ tableDigest: () => this.table.digest(), takeLoadHints: () => this.loadHints.takeForHeartbeat() })
  }

  static create (options: AnnouncementRegistryOptions): AnnouncementRegistry {
    return new AnnouncementRegistry(options)
  }

  /** Validates and applies an announcement, whose token the caller has checked. Changes are sent to the neighbours before this returns. */
  announce (announcement: unknown): Result<void, AnnouncementRefused> {
    const parsed = parseAnnouncement(announcement)
    if (parsed.isErr()) return parsed
    const known = this.table.get(parsed.value.address)
    const refusal = findRefusal(parsed.value, known)
    if (refusal !== undefined) return Err(refusal)
    this.applyAnnouncement(parsed.value, known)
    return Ok.EMPTY
  }

  /** Withdraws an incarnation of an upstream permanently and fleet-wide; by default the known incarnation. */
  withdraw (pool: string, address: string, incarnation?: number): Result<void, AnnouncementRefused> {
    const known = this.table.get(address)
    if (known === undefined || known.pool !== pool) return Err(AnnouncementRefused.create(RefusalReason.UnknownUpstream, 'no such upstream is announced'))
    if (incarnation !== undefined && incarnation < known.incarnation) return Err(staleIncarnationRefusal(known))
    this.publish({ ...known, incarnation: incarnation ?? known.incarnation, version: RecordVersion.Withdrawn })
    return Ok.EMPTY
  }

  /** Serving upstreams of a pool. The same array is returned until something changes. */
  upstreams (pool: string): readonly UpstreamRecord[] {
    return this.table.servingOf(pool)
  }

  /** All records of a pool, including draining upstreams and those that ended recently. */
  records (pool: string): readonly UpstreamRecord[] {
    return this.table.recordsOf(pool)
  }

  poolNames (): string[] {
    return this.table.poolNames()
  }

  /** Calls back with the name of a pool after one of its upstreams was added, removed or changed state. */
  onChange (handler: ChangeHandler): void {
    this.changeHandlers.push(handler)
  }

  applyMembership (membership: EntryMembership): void {
    this.liveness.applyMembership(membership)
  }

  /** Runs heartbeats, lease checks and pruning until the signal aborts or `close` is called. */
  async start (signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.stop.abort(), { once: true })
    if (signal.aborted) this.stop.abort()
    const { clock } = this.options
    await Promise.all([
      this.liveness.start(this.stop.signal),
      repeatEvery(clock, LEASE_SWEEP_INTERVAL_MILLISECONDS, this.stop.signal, () => this.sweepLeases()),
      repeatEvery(clock, RENEWAL_FLUSH_INTERVAL_MILLISECONDS, this.stop.signal, () => this.flushRenewals()),
      repeatEvery(clock, PRUNE_INTERVAL_MILLISECONDS, this.stop.signal, () => this.pruneOldRecords())
    ])
  }

  /** Tells the neighbours that this entry leaves, and stops the background tasks. */
  close (): void {
    if (this.stop.signal.aborted) return
    this.flushRenewals()
    this.liveness.leave()
    this.stop.abort()
  }

  /** Handles a gossip message from another entry. */
  receive (from: string, message: GossipMessage): void {
    this.dropStaleTable()
    this.liveness.receive(from, message)
    const body = message.body
    if (body === undefined || this.stop.signal.aborted) return
    const handlers: { [Case in typeof body.$case]?: MessageHandler<never> } = {
      news: this.dissemination.receiveNews,
      digests: this.dissemination.receiveDigests,
      heartbeat: this.receiveHeartbeat,
      renewals: this.receiveRenewals,
      leaseQuestion: this.answerLeaseQuestion,
      leaseAnswer: this.receiveLeaseAnswer
    }
    handlers[body.$case]?.(from, body.value as never)
  }

  private applyAnnouncement (announcement: Announcement, known: UpstreamRecord | undefined): void {
    const { load, state, ...shared } = announcement
    this.leases.recordHeard(shared.address, shared.incarnation, this.now())
    const news = { ...shared, version: versionFor(announcement, known) }
    const unchanged = known !== undefined && known.incarnation === news.incarnation && known.version === news.version
    if (!unchanged) this.publish(news)
    this.loadHints.report(shared.address, load)
    const record = this.table.get(shared.address)
    if (unchanged && record !== undefined) this.renewals.set(record.address, record)
  }

  private publish (news: UpstreamNews): void {
    if (this.merge(news)) this.dissemination.broadcast(news)
  }

  private merge (news: UpstreamNews): boolean {
    const merged = this.table.merge(news, this.now())
    if (merged === undefined) return false
    for (const handler of this.changeHandlers) handler(news.pool)
    if (merged.before !== undefined && merged.before.pool !== news.pool) for (const handler of this.changeHandlers) handler(merged.before.pool)
    this.refuteExpiry(news)
    return true
  }

  /** Revives a record that another entry expired although this entry heard the upstream within its lease. */
  private refuteExpiry (news: UpstreamNews): void {
    const record = this.table.get(news.address)
    if (record?.state !== UpstreamState.Expired) return
    const lastHeard = this.leases.lastHeard(news.address, news.incarnation)
    if (lastHeard !== undefined && lastHeard + news.leaseMilliseconds > this.now()) this.publish({ ...news, version: news.version + 1 })
  }

  private readonly receiveHeartbeat = (from: string, heartbeat: Extract<GossipMessage['body'], { $case: 'heartbeat' }>['value']): void => {
    this.loadHints.receive(heartbeat.loads)
    this.dissemination.compareDigest(from, heartbeat.tableDigest)
  }

  private readonly receiveRenewals = (_from: string, batch: RenewalBatch): void => {
    for (const renewal of batch.renewals) {
      this.leases.recordHeard(renewal.address, renewal.incarnation, this.now())
      this.loadHints.report(renewal.address, renewal.loadPercent / PERCENT)
      const record = this.table.get(renewal.address)
      if (record !== undefined && record.incarnation === renewal.incarnation) this.refuteExpiry(record)
    }
  }

  private readonly answerLeaseQuestion = (from: string, question: LeaseQuestion): void => {
    const lastHeard = this.leases.lastHeard(question.address, question.incarnation)
    if (lastHeard === undefined) return
    const heardMillisecondsAgo = Math.round(this.now() - lastHeard)
    this.options.network.send(from, { body: { $case: 'leaseAnswer', value: { ...question, heardMillisecondsAgo } } })
  }

  private readonly receiveLeaseAnswer = (_from: string, answer: LeaseQuestion & { heardMillisecondsAgo: number }): void => {
    this.leases.recordHeard(answer.address, answer.incarnation, this.now() - answer.heardMillisecondsAgo)
  }

  private flushRenewals (): void {
    const batches = new Map<string, RenewalBatch>()
    for (const record of this.renewals.values()) {
      const { address, incarnation } = record
      const loadPercent = Math.round(Math.min(10, this.loadHints.loadOf(address)) * PERCENT)
      for (const home of this.homesOf(address)) batchOf(batches, home).renewals.push({ address, incarnation, loadPercent })
    }
    this.renewals.clear()
    for (const [home, value] of batches) if (home !== this.options.network.self) this.options.network.send(home, { body: { $case: 'renewals', value } })
  }

  private sweepLeases (): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      if (!this.liveness.overlay().homesOf(bucket).includes(this.options.network.self)) continue
      for (const record of this.table.recordsInBucket(bucket)) if (hasLease(record)) this.checkLease(record)
    }
  }

  private checkLease (record: UpstreamRecord): void {
    const action = this.leases.nextAction(record, this.now())
    if (action === LeaseAction.Ask) this.askOtherHomes(record)
    if (action === LeaseAction.Expire) this.publish({ ...record, version: versionAfterExpiry(record.version) })
  }

  private askOtherHomes (record: UpstreamRecord): void {
    const { network } = this.options
    const value: LeaseQuestion = { address: record.address, incarnation: record.incarnation }
    for (const home of this.homesOf(record.address)) if (home !== network.self) network.send(home, { body: { $case: 'leaseQuestion', value } })
  }

  private homesOf (address: string): readonly string[] {
    return this.liveness.overlay().homesOf(bucketOf(address))
  }

  private pruneOldRecords (): void {
    const oldest = this.now() - ENDED_RETENTION_MILLISECONDS
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) this.table.pruneEnded(bucket, oldest)
    this.leases.prune((address) => this.table.get(address)?.leaseMilliseconds ?? 0, this.now())
  }

  /** Discards the table when a message arrives after a long silence: it is outdated, and nothing must be sent from it. */
  private dropStaleTable (): void {
    const silentMilliseconds = this.now() - this.lastPeerMessageMilliseconds
    this.lastPeerMessageMilliseconds = this.now()
    if (silentMilliseconds < STALE_TABLE_AGE_MILLISECONDS) return
    const pools = this.table.poolNames()
    this.table.clear()
    for (const pool of pools) for (const handler of this.changeHandlers) handler(pool)
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }
}

function batchOf (batches: Map<string, RenewalBatch>, home: string): RenewalBatch {
  const batch = batches.get(home) ?? { renewals: [] }
  batches.set(home, batch)
  return batch
}

function hasLease (record: UpstreamRecord): boolean {
  return record.state === UpstreamState.Serving || record.state === UpstreamState.Draining
}

function staleIncarnationRefusal (known: UpstreamRecord): AnnouncementRefused {
  return AnnouncementRefused.create(RefusalReason.StaleIncarnation, `the address is ${known.state} at incarnation ${known.incarnation}`)
}

function findRefusal (announcement: Announcement, known: UpstreamRecord | undefined): AnnouncementRefused | undefined {
  if (known === undefined) return undefined
  const held = hasLease(known)
  if (held && known.pool !== announcement.pool) {
    return AnnouncementRefused.create(RefusalReason.AddressClaimed, 'the address is announced in another pool')
  }
  if (announcement.incarnation < known.incarnation) return staleIncarnationRefusal(known)
  if (announcement.incarnation > known.incarnation) return undefined
  if (known.state === UpstreamState.Withdrawn) return staleIncarnationRefusal(known)
  const conflicts = known.zone !== announcement.zone || known.slots !== announcement.slots || known.pool !== announcement.pool
  if (conflicts) return AnnouncementRefused.create(RefusalReason.AddressClaimed, 'another upstream announced this address with the same incarnation')
  if (known.state === UpstreamState.Draining && announcement.state === 'serving') return staleIncarnationRefusal(known)
  return undefined
}

function versionFor (announcement: Announcement, known: UpstreamRecord | undefined): number {
  if (announcement.state === 'draining') return RecordVersion.Draining
  if (known === undefined || known.incarnation !== announcement.incarnation) return RecordVersion.First
  return known.state === UpstreamState.Expired ? known.version + 1 : known.version
}

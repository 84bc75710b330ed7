import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import type { GossipMessage, LeaseQuestion, RenewalBatch, UpstreamNews } from '@hickoryspoke/protocol/generated/gossip'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { MessageHandler, PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { Err, Ok, type Result } from 'ts-results-es'
import { AnnouncementRefused, parseAnnouncement, RefusalReason, type Announcement } from './announcement.ts'
import { EntryLiveness } from './entry-liveness.ts'
import { LeaseStep, LeaseWatch } from './lease-watch.ts'
import { LoadHints } from './load-hints.ts'
import { NewsSpread } from './news-spread.ts'
import { BUCKET_COUNT, bucketOf } from './overlay.ts'
import { RecordTable } from './record-table.ts'
import { RecordVersion, UpstreamState, versionAfterExpiry, type UpstreamRecord } from './upstream-record.ts'

const LEASE_SWEEP_MILLISECONDS = 250
const RENEWAL_FLUSH_MILLISECONDS = 100
const HOUSEKEEPING_MILLISECONDS = 60_000
const ENDED_RETENTION_MILLISECONDS = 3 * 3_600_000
const STALE_TABLE_MILLISECONDS = 3_600_000
const PERCENT = 100

/** What the registry needs from its process. */
export interface AnnouncementRegistryOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<GossipMessage>
  /** Availability zone of this entry. */
  readonly zone: string
  /** Shared liveness of entries; one of its own where it is left out. */
  readonly liveness?: EntryLiveness
}

type ChangeHandler = (pool: string) => void

/** The upstreams that announced themselves anywhere in the fleet. */
export class AnnouncementRegistry {
  readonly liveness: EntryLiveness
  private readonly table = RecordTable.create()
  private readonly leases = LeaseWatch.create()
  private readonly hints: LoadHints
  private readonly spread: NewsSpread
  private readonly changeHandlers: ChangeHandler[] = []
  private readonly renewals = new Map<string, UpstreamRecord>()
  private readonly stop = new AbortController()
  private heardPeersMilliseconds: number

  private constructor (private readonly options: AnnouncementRegistryOptions) {
    const { clock, network } = options
    this.liveness = options.liveness ?? EntryLiveness.create(options)
    this.heardPeersMilliseconds = clock.monotonicMilliseconds()
    this.hints = LoadHints.create(clock, (address, load) => this.table.setLoad(address, load))
    this.spread = NewsSpread.create({ clock, network, table: this.table, neighbours: () => this.liveness.neighbours() }, (news) => this.merge(news))
    this.liveness.attach({ tableDigest: () => this.table.digest(), takeLoadHints: () => this.hints.take() })
  }

  static create (options: AnnouncementRegistryOptions): AnnouncementRegistry {
    return new AnnouncementRegistry(options)
  }

  /** Takes an upstream's announcement in; the caller has checked its token. Neighbours are told before this returns. */
  announce (announcement: unknown): Result<void, AnnouncementRefused> {
    const parsed = parseAnnouncement(announcement)
    if (parsed.isErr()) return parsed
    const known = this.table.get(parsed.value.address)
    const refusal = findRefusal(parsed.value, known)
    if (refusal !== undefined) return Err(refusal)
    this.takeIn(parsed.value, known)
    return Ok.EMPTY
  }

  /** Ends an upstream's incarnation for good, fleet-wide; the known one where none is given. */
  withdraw (pool: string, address: string, incarnation?: number): Result<void, AnnouncementRefused> {
    const known = this.table.get(address)
    if (known === undefined || known.pool !== pool) return Err(AnnouncementRefused.create(RefusalReason.UnknownUpstream, 'no such upstream is announced'))
    if (incarnation !== undefined && incarnation < known.incarnation) return Err(staleIncarnation(known))
    this.publish({ ...known, incarnation: incarnation ?? known.incarnation, version: RecordVersion.Withdrawn })
    return Ok.EMPTY
  }

  /** The serving upstreams of a pool; the same array until something changes. */
  upstreams (pool: string): readonly UpstreamRecord[] {
    return this.table.servingOf(pool)
  }

  /** All records of a pool, those that drain or ended lately included. */
  records (pool: string): readonly UpstreamRecord[] {
    return this.table.recordsOf(pool)
  }

  poolNames (): string[] {
    return this.table.poolNames()
  }

  /** Calls back with the pool after any of its upstreams came, changed state or went. */
  onChange (handler: ChangeHandler): void {
    this.changeHandlers.push(handler)
  }

  applyMembership (membership: EntryMembership): void {
    this.liveness.applyMembership(membership)
  }

  /** Runs heartbeats and leases until the signal aborts or `close` is called. */
  async start (signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.stop.abort(), { once: true })
    if (signal.aborted) this.stop.abort()
    const { clock } = this.options
    await Promise.all([
      this.liveness.start(this.stop.signal),
      repeatEvery(clock, LEASE_SWEEP_MILLISECONDS, this.stop.signal, () => this.sweepLeases()),
      repeatEvery(clock, RENEWAL_FLUSH_MILLISECONDS, this.stop.signal, () => this.flushRenewals()),
      repeatEvery(clock, HOUSEKEEPING_MILLISECONDS, this.stop.signal, () => this.forgetOld())
    ])
  }

  /** Announces that this entry leaves and stops its tasks. */
  close (): void {
    if (this.stop.signal.aborted) return
    this.flushRenewals()
    this.liveness.leave()
    this.stop.abort()
  }

  /** Takes a gossip message from another entry. */
  receive (from: string, message: GossipMessage): void {
    this.dropStaleTable()
    this.liveness.receive(from, message)
    const body = message.body
    if (body === undefined || this.stop.signal.aborted) return
    const handlers: { [Case in typeof body.$case]?: MessageHandler<never> } = {
      news: this.spread.receiveNews,
      digests: this.spread.receiveDigests,
      heartbeat: this.receiveHeartbeat,
      renewals: this.receiveRenewals,
      leaseQuestion: this.answerLeaseQuestion,
      leaseAnswer: this.receiveLeaseAnswer
    }
    handlers[body.$case]?.(from, body.value as never)
  }

  private takeIn (announcement: Announcement, known: UpstreamRecord | undefined): void {
    const { load, state, ...shared } = announcement
    this.leases.hear(shared.address, shared.incarnation, this.now())
    const news = { ...shared, version: versionFor(announcement, known) }
    const unchanged = known !== undefined && known.incarnation === news.incarnation && known.version === news.version
    if (!unchanged) this.publish(news)
    this.hints.report(shared.address, load)
    const record = this.table.get(shared.address)
    if (unchanged && record !== undefined) this.renewals.set(record.address, record)
  }

  private publish (news: UpstreamNews): void {
    if (this.merge(news)) this.spread.tellAtOnce(news)
  }

  private merge (news: UpstreamNews): boolean {
    const merged = this.table.merge(news, this.now())
    if (merged === undefined) return false
    for (const handler of this.changeHandlers) handler(news.pool)
    if (merged.before !== undefined && merged.before.pool !== news.pool) for (const handler of this.changeHandlers) handler(merged.before.pool)
    this.refuteExpiry(news)
    return true
  }

  /** An upstream that this entry heard within its lease did not expire. */
  private refuteExpiry (news: UpstreamNews): void {
    const record = this.table.get(news.address)
    if (record?.state !== UpstreamState.Expired) return
    const heard = this.leases.heardOf(news.address, news.incarnation)
    if (heard !== undefined && heard + news.leaseMilliseconds > this.now()) this.publish({ ...news, version: news.version + 1 })
  }

  private readonly receiveHeartbeat = (from: string, heartbeat: Extract<GossipMessage['body'], { $case: 'heartbeat' }>['value']): void => {
    this.hints.receive(heartbeat.loads)
    this.spread.compare(from, heartbeat.tableDigest)
  }

  private readonly receiveRenewals = (_from: string, batch: RenewalBatch): void => {
    for (const renewal of batch.renewals) {
      this.leases.hear(renewal.address, renewal.incarnation, this.now())
      this.hints.report(renewal.address, renewal.loadPercent / PERCENT)
      const record = this.table.get(renewal.address)
      if (record !== undefined && record.incarnation === renewal.incarnation) this.refuteExpiry(record)
    }
  }

  private readonly answerLeaseQuestion = (from: string, question: LeaseQuestion): void => {
    const heard = this.leases.heardOf(question.address, question.incarnation)
    if (heard === undefined) return
    const heardMillisecondsAgo = Math.round(this.now() - heard)
    this.options.network.send(from, { body: { $case: 'leaseAnswer', value: { ...question, heardMillisecondsAgo } } })
  }

  private readonly receiveLeaseAnswer = (_from: string, answer: LeaseQuestion & { heardMillisecondsAgo: number }): void => {
    this.leases.hear(answer.address, answer.incarnation, this.now() - answer.heardMillisecondsAgo)
  }

  private flushRenewals (): void {
    const batches = new Map<string, RenewalBatch>()
    for (const record of this.renewals.values()) {
      const { address, incarnation } = record
      const loadPercent = Math.round(Math.min(10, this.hints.loadOf(address)) * PERCENT)
      for (const home of this.homesOf(address)) batchFor(batches, home).renewals.push({ address, incarnation, loadPercent })
    }
    this.renewals.clear()
    for (const [home, value] of batches) if (home !== this.options.network.self) this.options.network.send(home, { body: { $case: 'renewals', value } })
  }

  private sweepLeases (): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      if (!this.liveness.overlay().homesOf(bucket).includes(this.options.network.self)) continue
      for (const record of this.table.recordsInBucket(bucket)) if (isLeased(record)) this.watchLease(record)
    }
  }

  private watchLease (record: UpstreamRecord): void {
    const step = this.leases.step(record, this.now())
    if (step === LeaseStep.Ask) this.askOtherHomes(record)
    if (step === LeaseStep.Expire) this.publish({ ...record, version: versionAfterExpiry(record.version) })
  }

  private askOtherHomes (record: UpstreamRecord): void {
    const { network } = this.options
    const value: LeaseQuestion = { address: record.address, incarnation: record.incarnation }
    for (const home of this.homesOf(record.address)) if (home !== network.self) network.send(home, { body: { $case: 'leaseQuestion', value } })
  }

  private homesOf (address: string): readonly string[] {
    return this.liveness.overlay().homesOf(bucketOf(address))
  }

  private forgetOld (): void {
    const oldest = this.now() - ENDED_RETENTION_MILLISECONDS
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) this.table.forgetEnded(bucket, oldest)
    this.leases.forget((address) => this.table.get(address)?.leaseMilliseconds ?? 0, this.now())
  }

  /** After long silence the table is old news: it is dropped before anything is sent from it. */
  private dropStaleTable (): void {
    const silentMilliseconds = this.now() - this.heardPeersMilliseconds
    this.heardPeersMilliseconds = this.now()
    if (silentMilliseconds < STALE_TABLE_MILLISECONDS) return
    const pools = this.table.poolNames()
    this.table.clear()
    for (const pool of pools) for (const handler of this.changeHandlers) handler(pool)
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }
}

function batchFor (batches: Map<string, RenewalBatch>, home: string): RenewalBatch {
  const batch = batches.get(home) ?? { renewals: [] }
  batches.set(home, batch)
  return batch
}

function isLeased (record: UpstreamRecord): boolean {
  return record.state === UpstreamState.Serving || record.state === UpstreamState.Draining
}

function staleIncarnation (known: UpstreamRecord): AnnouncementRefused {
  return AnnouncementRefused.create(RefusalReason.StaleIncarnation, `the address is ${known.state} at incarnation ${known.incarnation}`)
}

function findRefusal (announcement: Announcement, known: UpstreamRecord | undefined): AnnouncementRefused | undefined {
  if (known === undefined) return undefined
  const held = isLeased(known)
  if (held && known.pool !== announcement.pool) {
    return AnnouncementRefused.create(RefusalReason.AddressClaimed, 'the address is announced in another pool')
  }
  if (announcement.incarnation < known.incarnation) return staleIncarnation(known)
  if (announcement.incarnation > known.incarnation) return undefined
  if (known.state === UpstreamState.Withdrawn) return staleIncarnation(known)
  const conflicts = known.zone !== announcement.zone || known.slots !== announcement.slots || known.pool !== announcement.pool
  if (conflicts) return AnnouncementRefused.create(RefusalReason.AddressClaimed, 'another upstream announced this address with the same incarnation')
  if (known.state === UpstreamState.Draining && announcement.state === 'serving') return staleIncarnation(known)
  return undefined
}

function versionFor (announcement: Announcement, known: UpstreamRecord | undefined): number {
  if (announcement.state === 'draining') return RecordVersion.Draining
  if (known === undefined || known.incarnation !== announcement.incarnation) return RecordVersion.First
  return known.state === UpstreamState.Expired ? known.version + 1 : known.version
}

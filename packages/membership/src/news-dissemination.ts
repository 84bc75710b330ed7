import type { GossipMessage, NewsBatch, TableDigests, UpstreamNews } from '@hickoryspoke/protocol/generated/gossip'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RecordTable } from './record-table.ts'
import { isNewer, newsOf } from './upstream-record.ts'

const FORWARD_DELAY_MILLISECONDS = 15
const COMPARE_AFTER_CHANGE_MILLISECONDS = 300
const COMPARE_INTERVAL_MILLISECONDS = 800
/** A repair message is sent after the bucket with which it reaches this many news. */
const NEWS_PER_MESSAGE_THRESHOLD = 500

/** Dependencies of a `NewsDissemination`. */
export interface NewsDisseminationOptions {
  readonly clock: Clock
  readonly network: PeerNetwork<GossipMessage>
  readonly table: RecordTable
  readonly neighbours: () => readonly string[]
}

/** Floods news to the neighbours once, and repairs losses by comparing table digests (anti-entropy). */
export class NewsDissemination {
  private readonly waiting = new Map<string, { readonly news: UpstreamNews, readonly except: string }>()
  private readonly comparedMilliseconds = new Map<string, number>()
  private changedMilliseconds = -Infinity

  private constructor (private readonly options: NewsDisseminationOptions, private readonly merge: (news: UpstreamNews) => boolean) {}

  static create (options: NewsDisseminationOptions, merge: (news: UpstreamNews) => boolean): NewsDissemination {
    return new NewsDissemination(options, merge)
  }

  /** Sends news that originates at this entry to all neighbours without delay. */
  broadcast (news: UpstreamNews): void {
    this.changedMilliseconds = this.now()
    const value: NewsBatch = { news: [newsOf(news)], fullBuckets: [] }
    for (const neighbour of this.options.neighbours()) this.send(neighbour, value)
  }

  /** Compares a neighbour's table digest with this entry's. If they still differ a while after the last change, starts a repair. */
  compareDigest (from: string, digest: number): void {
    const { table, network } = this.options
    if (digest === table.digest() || this.now() < this.changedMilliseconds + COMPARE_AFTER_CHANGE_MILLISECONDS) return
    if (this.now() < (this.comparedMilliseconds.get(from) ?? -Infinity) + COMPARE_INTERVAL_MILLISECONDS) return
    this.comparedMilliseconds.set(from, this.now())
    network.send(from, { body: { $case: 'digests', value: { buckets: table.digests() } } })
  }

  /** Answers the bucket digests of a peer with this entry's content of the buckets that differ. */
  readonly receiveDigests = (from: string, digests: TableDigests): void => {
    const { table } = this.options
    const own = table.digests()
    const differing = own.map((_digest, bucket) => bucket).filter((bucket) => own[bucket] !== digests.buckets[bucket])
    let batch: NewsBatch = { news: [], fullBuckets: [] }
    for (const bucket of differing) {
      batch.news.push(...table.recordsInBucket(bucket).map(newsOf))
      batch.fullBuckets.push(bucket)
      if (batch.news.length < NEWS_PER_MESSAGE_THRESHOLD) continue
      this.send(from, batch)
      batch = { news: [], fullBuckets: [] }
    }
    if (batch.fullBuckets.length > 0) this.send(from, batch)
  }

  /** Merges news and forwards what was new. Answers full buckets with the records that are newer here. */
  readonly receiveNews = (from: string, batch: NewsBatch): void => {
    for (const news of batch.news) if (this.merge(news)) this.forward(news, from)
    if (batch.fullBuckets.length === 0) return
    const given = new Map(batch.news.map((news) => [news.address, news]))
    const newer = batch.fullBuckets
      .flatMap((bucket) => this.options.table.recordsInBucket(bucket))
      .filter((record) => isNewerThanGiven(record, given.get(record.address)))
    if (newer.length > 0) this.send(from, { news: newer.map(newsOf), fullBuckets: [] })
  }

  private forward (news: UpstreamNews, except: string): void {
    this.changedMilliseconds = this.now()
    if (this.waiting.size === 0) this.options.clock.schedule(FORWARD_DELAY_MILLISECONDS, () => this.flush())
    this.waiting.set(news.address, { news, except })
  }

  private flush (): void {
    const waiting = [...this.waiting.values()]
    this.waiting.clear()
    for (const neighbour of this.options.neighbours()) {
      const news = waiting.filter((item) => item.except !== neighbour).map((item) => newsOf(item.news))
      if (news.length > 0) this.send(neighbour, { news, fullBuckets: [] })
    }
  }

  private send (to: string, value: NewsBatch): void {
    this.options.network.send(to, { body: { $case: 'news', value } })
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }
}

function isNewerThanGiven (record: UpstreamNews, given: UpstreamNews | undefined): boolean {
  return given === undefined || isNewer(record, given)
}

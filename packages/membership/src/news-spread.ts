import type { GossipMessage, NewsBatch, TableDigests, UpstreamNews } from '@hickoryspoke/protocol/generated/gossip'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RecordTable } from './record-table.ts'
import { isNewer, newsOf } from './upstream-record.ts'

const FORWARD_DELAY_MILLISECONDS = 15
const QUIET_BEFORE_COMPARE_MILLISECONDS = 300
const COMPARE_INTERVAL_MILLISECONDS = 800
const NEWS_PER_MESSAGE = 500

/** What spreading needs: its table and its neighbours. */
export interface NewsSpreadOptions {
  readonly clock: Clock
  readonly network: PeerNetwork<GossipMessage>
  readonly table: RecordTable
  readonly neighbours: () => readonly string[]
}

/** Floods news over the neighbours once, and repairs what was missed by comparing digests. */
export class NewsSpread {
  private readonly waiting = new Map<string, { readonly news: UpstreamNews, readonly except: string }>()
  private readonly comparedMilliseconds = new Map<string, number>()
  private changedMilliseconds = -Infinity

  private constructor (private readonly options: NewsSpreadOptions, private readonly merge: (news: UpstreamNews) => boolean) {}

  static create (options: NewsSpreadOptions, merge: (news: UpstreamNews) => boolean): NewsSpread {
    return new NewsSpread(options, merge)
  }

  /** Sends news of this entry's own to all neighbours without delay. */
  tellAtOnce (news: UpstreamNews): void {
    this.changedMilliseconds = this.now()
    const value: NewsBatch = { news: [newsOf(news)], fullBuckets: [] }
    for (const neighbour of this.options.neighbours()) this.send(neighbour, value)
  }

  /** Compares a neighbour's digest with ours; in a quiet moment a difference starts a repair. */
  compare (from: string, digest: number): void {
    const { table, network } = this.options
    if (digest === table.digest() || this.now() < this.changedMilliseconds + QUIET_BEFORE_COMPARE_MILLISECONDS) return
    if (this.now() < (this.comparedMilliseconds.get(from) ?? -Infinity) + COMPARE_INTERVAL_MILLISECONDS) return
    this.comparedMilliseconds.set(from, this.now())
    network.send(from, { body: { $case: 'digests', value: { buckets: table.digests() } } })
  }

  /** Answers another table's digests with our content of the buckets that differ. */
  readonly receiveDigests = (from: string, digests: TableDigests): void => {
    const { table } = this.options
    const own = table.digests()
    const differing = own.map((_digest, bucket) => bucket).filter((bucket) => own[bucket] !== digests.buckets[bucket])
    let batch: NewsBatch = { news: [], fullBuckets: [] }
    for (const bucket of differing) {
      batch.news.push(...table.recordsInBucket(bucket).map(newsOf))
      batch.fullBuckets.push(bucket)
      if (batch.news.length < NEWS_PER_MESSAGE) continue
      this.send(from, batch)
      batch = { news: [], fullBuckets: [] }
    }
    if (batch.fullBuckets.length > 0) this.send(from, batch)
  }

  /** Merges news and passes on what was new; answers full buckets with what is known better here. */
  readonly receiveNews = (from: string, batch: NewsBatch): void => {
    for (const news of batch.news) if (this.merge(news)) this.forward(news, from)
    if (batch.fullBuckets.length === 0) return
    const given = new Map(batch.news.map((news) => [news.address, news]))
    const better = batch.fullBuckets
      .flatMap((bucket) => this.options.table.recordsInBucket(bucket))
      .filter((record) => isBetter(record, given.get(record.address)))
    if (better.length > 0) this.send(from, { news: better.map(newsOf), fullBuckets: [] })
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

function isBetter (record: UpstreamNews, given: UpstreamNews | undefined): boolean {
  return given === undefined || isNewer(record, given)
}

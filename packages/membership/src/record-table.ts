import type { UpstreamNews } from '@hickoryspoke/protocol/generated/gossip'
import { BUCKET_COUNT, bucketOf } from './overlay.ts'
import { isNewer, newsDigest, newsOf, stateOfVersion, UpstreamState, type UpstreamRecord } from './upstream-record.ts'

interface StoredRecord {
  record: UpstreamRecord
  readonly digest: number
  readonly changedMilliseconds: number
}

/** Table of the latest news by address, with a digest per bucket for finding differences between two tables quickly. */
export class RecordTable {
  private readonly buckets: Map<string, StoredRecord>[] = Array.from({ length: BUCKET_COUNT }, () => new Map<string, StoredRecord>())
  private readonly bucketDigests = new Uint32Array(BUCKET_COUNT)
  private readonly pools = new Map<string, Set<string>>()
  private readonly serving = new Map<string, readonly UpstreamRecord[]>()
  private rootDigest = 0

  static create (): RecordTable {
    return new RecordTable()
  }

  get (address: string): UpstreamRecord | undefined {
    return this.buckets[bucketOf(address)]?.get(address)?.record
  }

  /** Stores news if it is newer than the known record. Returns the previous record, or undefined if nothing changed. */
  merge (news: UpstreamNews, nowMilliseconds: number): { readonly before: UpstreamRecord | undefined } | undefined {
    const before = this.get(news.address)
    if (before !== undefined && !isNewer(news, before)) return undefined
    const sameIncarnation = before !== undefined && before.incarnation === news.incarnation
    const state = stateOfVersion(news.version)
    const isContinued = sameIncarnation && before.state === UpstreamState.Serving
    const seenSinceMilliseconds = isContinued ? before.seenSinceMilliseconds : nowMilliseconds
    const record = { ...newsOf(news), state, load: sameIncarnation ? before.load : 0, seenSinceMilliseconds }
    this.remove(news.address)
    this.insert(record, nowMilliseconds)
    return { before }
  }

  setLoad (address: string, load: number): void {
    const stored = this.buckets[bucketOf(address)]?.get(address)
    if (stored === undefined || stored.record.load === load) return
    stored.record = { ...stored.record, load }
    this.serving.delete(stored.record.pool)
  }

  /** Serving upstreams of a pool. The same array is returned until something changes. */
  servingOf (pool: string): readonly UpstreamRecord[] {
    const known = this.serving.get(pool)
    if (known !== undefined) return known
    const records = this.recordsOf(pool).filter((record) => record.state === UpstreamState.Serving)
    this.serving.set(pool, records)
    return records
  }

  /** All records of a pool, sorted by address. */
  recordsOf (pool: string): UpstreamRecord[] {
    const addresses = [...this.pools.get(pool) ?? []].sort()
    return addresses.map((address) => this.get(address)).filter((record) => record !== undefined)
  }

  poolNames (): string[] {
    return [...this.pools.keys()]
  }

  recordsInBucket (bucket: number): UpstreamRecord[] {
    return [...(this.buckets[bucket] as Map<string, StoredRecord>).values()].map((stored) => stored.record)
  }

  /** Removes withdrawn and expired records of a bucket that have not changed since the given time. */
  pruneEnded (bucket: number, unchangedSinceMilliseconds: number): void {
    for (const [address, stored] of this.buckets[bucket] as Map<string, StoredRecord>) {
      const ended = stored.record.state === UpstreamState.Withdrawn || stored.record.state === UpstreamState.Expired
      if (ended && stored.changedMilliseconds < unchangedSinceMilliseconds) this.remove(address)
    }
  }

  clear (): void {
    for (const bucket of this.buckets) for (const address of [...bucket.keys()]) this.remove(address)
  }

  digest (): number {
    return this.rootDigest
  }

  digests (): number[] {
    return [...this.bucketDigests]
  }

  private insert (record: UpstreamRecord, nowMilliseconds: number): void {
    const bucket = bucketOf(record.address)
    const digest = newsDigest(record)
    this.buckets[bucket]?.set(record.address, { record, digest, changedMilliseconds: nowMilliseconds })
    this.xorDigest(bucket, digest)
    const addresses = this.pools.get(record.pool) ?? new Set<string>()
    addresses.add(record.address)
    this.pools.set(record.pool, addresses)
    this.serving.delete(record.pool)
  }

  private remove (address: string): void {
    const bucket = bucketOf(address)
    const stored = this.buckets[bucket]?.get(address)
    if (stored === undefined) return
    this.buckets[bucket]?.delete(address)
    this.xorDigest(bucket, stored.digest)
    const addresses = this.pools.get(stored.record.pool)
    addresses?.delete(address)
    if (addresses?.size === 0) this.pools.delete(stored.record.pool)
    this.serving.delete(stored.record.pool)
  }

  private xorDigest (bucket: number, digest: number): void {
    this.bucketDigests[bucket] = (this.bucketDigests[bucket] as number) ^ digest
    this.rootDigest = (this.rootDigest ^ digest) >>> 0
  }
}

import type { UpstreamNews } from '@hickoryspoke/protocol/generated/gossip'
import { BUCKET_COUNT, bucketOf } from './overlay.ts'
import { isNewer, newsDigest, newsOf, stateOfVersion, UpstreamState, type UpstreamRecord } from './upstream-record.ts'

interface Kept {
  record: UpstreamRecord
  readonly digest: number
  readonly changedMilliseconds: number
}

/** All news by address, with digests by bucket that tell quickly where two tables differ. */
export class RecordTable {
  private readonly buckets: Map<string, Kept>[] = Array.from({ length: BUCKET_COUNT }, () => new Map<string, Kept>())
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

  /** Takes news in when it is newer; gives the record before, or `undefined` when nothing changed. */
  merge (news: UpstreamNews, nowMilliseconds: number): { readonly before: UpstreamRecord | undefined } | undefined {
    const before = this.get(news.address)
    if (before !== undefined && !isNewer(news, before)) return undefined
    const sameIncarnation = before !== undefined && before.incarnation === news.incarnation
    const state = stateOfVersion(news.version)
    const continued = sameIncarnation && before.state === UpstreamState.Serving
    const seenSinceMilliseconds = continued ? before.seenSinceMilliseconds : nowMilliseconds
    const record = { ...newsOf(news), state, load: sameIncarnation ? before.load : 0, seenSinceMilliseconds }
    this.remove(news.address)
    this.insert(record, nowMilliseconds)
    return { before }
  }

  setLoad (address: string, load: number): void {
    const kept = this.buckets[bucketOf(address)]?.get(address)
    if (kept === undefined || kept.record.load === load) return
    kept.record = { ...kept.record, load }
    this.serving.delete(kept.record.pool)
  }

  /** Serving upstreams of a pool; the same array until something changes. */
  servingOf (pool: string): readonly UpstreamRecord[] {
    const known = this.serving.get(pool)
    if (known !== undefined) return known
    const records = this.recordsOf(pool).filter((record) => record.state === UpstreamState.Serving)
    this.serving.set(pool, records)
    return records
  }

  /** Every record of a pool, in order of address. */
  recordsOf (pool: string): UpstreamRecord[] {
    const addresses = [...this.pools.get(pool) ?? []].sort()
    return addresses.map((address) => this.get(address)).filter((record) => record !== undefined)
  }

  poolNames (): string[] {
    return [...this.pools.keys()]
  }

  recordsInBucket (bucket: number): UpstreamRecord[] {
    return [...(this.buckets[bucket] as Map<string, Kept>).values()].map((kept) => kept.record)
  }

  /** Drops withdrawn and expired records of a bucket that have not changed since a moment. */
  forgetEnded (bucket: number, unchangedSinceMilliseconds: number): void {
    for (const [address, kept] of this.buckets[bucket] as Map<string, Kept>) {
      const ended = kept.record.state === UpstreamState.Withdrawn || kept.record.state === UpstreamState.Expired
      if (ended && kept.changedMilliseconds < unchangedSinceMilliseconds) this.remove(address)
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
    this.toggle(bucket, digest)
    const addresses = this.pools.get(record.pool) ?? new Set<string>()
    addresses.add(record.address)
    this.pools.set(record.pool, addresses)
    this.serving.delete(record.pool)
  }

  private remove (address: string): void {
    const bucket = bucketOf(address)
    const kept = this.buckets[bucket]?.get(address)
    if (kept === undefined) return
    this.buckets[bucket]?.delete(address)
    this.toggle(bucket, kept.digest)
    const addresses = this.pools.get(kept.record.pool)
    addresses?.delete(address)
    if (addresses?.size === 0) this.pools.delete(kept.record.pool)
    this.serving.delete(kept.record.pool)
  }

  private toggle (bucket: number, digest: number): void {
    this.bucketDigests[bucket] = (this.bucketDigests[bucket] as number) ^ digest
    this.rootDigest = (this.rootDigest ^ digest) >>> 0
  }
}

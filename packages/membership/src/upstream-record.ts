import type { UpstreamNews } from '@hickoryspoke/protocol/generated/gossip'
import { hashName } from '@hickoryspoke/runtime/hashing'

/** State of an upstream as known to the fleet. */
export const UpstreamState = {
  Serving: 'serving',
  /** The lease has expired. The same incarnation may return. */
  Expired: 'expired',
  Draining: 'draining',
  Withdrawn: 'withdrawn'
} as const
export type UpstreamState = typeof UpstreamState[keyof typeof UpstreamState]

/** News about one address, with fields that are local to this entry. */
export interface UpstreamRecord extends UpstreamNews {
  readonly state: UpstreamState
  /** Reported load as a share of capacity: 0 is idle, 1 is full. A hint that may be out of date. */
  readonly load: number
  /** Monotonic time since when this entry has known this incarnation; reset by news that follows any state but serving. */
  readonly seenSinceMilliseconds: number
}

const DRAINING_VERSION = 2 ** 40
const WITHDRAWN_VERSION = DRAINING_VERSION + 1
const DIGEST_RANGE = 2 ** 32

/** Versions of one incarnation, in order: alternately serving (even) and expired (odd), then draining, then withdrawn. */
export const RecordVersion = {
  First: 0,
  Draining: DRAINING_VERSION,
  Withdrawn: WITHDRAWN_VERSION
} as const

/** State encoded by a version. */
export function stateOfVersion (version: number): UpstreamState {
  if (version >= WITHDRAWN_VERSION) return UpstreamState.Withdrawn
  if (version === DRAINING_VERSION) return UpstreamState.Draining
  return version % 2 === 0 ? UpstreamState.Serving : UpstreamState.Expired
}

/** Version after the lease has expired. A draining upstream is withdrawn. */
export function versionAfterExpiry (version: number): number {
  return stateOfVersion(version) === UpstreamState.Serving ? version + 1 : WITHDRAWN_VERSION
}

/** Whether `news` replaces `than`. This is a total order, so all entries converge whatever order news arrives in. */
export function isNewer (news: UpstreamNews, than: UpstreamNews): boolean {
  if (news.incarnation !== than.incarnation) return news.incarnation > than.incarnation
  if (news.version !== than.version) return news.version > than.version
  return contentKey(news) > contentKey(than)
}

/** 32-bit digest of one piece of news. Table digests are the XOR of these. */
export function newsDigest (news: UpstreamNews): number {
  return hashName(`${news.address} ${news.incarnation} ${news.version} ${contentKey(news)}`) % DIGEST_RANGE
}

/** The part of a record that is sent to other entries. */
export function newsOf (record: UpstreamNews): UpstreamNews {
  const { pool, address, zone, slots, incarnation, version, leaseMilliseconds } = record
  return { pool, address, zone, slots, incarnation, version, leaseMilliseconds }
}

function contentKey (news: UpstreamNews): string {
  return `${news.pool} ${news.zone} ${news.slots} ${news.leaseMilliseconds}`
}

import type { UpstreamNews } from '@hickoryspoke/protocol/generated/gossip'
import { hashName } from '@hickoryspoke/runtime/hashing'

/** What an upstream may be, as the fleet believes. */
export const UpstreamState = {
  Serving: 'serving',
  /** Its lease ran out; the same incarnation may come back. */
  Expired: 'expired',
  Draining: 'draining',
  Withdrawn: 'withdrawn'
} as const
export type UpstreamState = typeof UpstreamState[keyof typeof UpstreamState]

/** News about one address together with what this entry adds to it. */
export interface UpstreamRecord extends UpstreamNews {
  readonly state: UpstreamState
  /** Reported load from 0 (idle) to 1 (full); a hint that may lag. */
  readonly load: number
  /** Monotonic time at which this entry first saw this incarnation. */
  readonly seenSinceMilliseconds: number
}

const DRAINING_VERSION = 2 ** 40
const WITHDRAWN_VERSION = DRAINING_VERSION + 1
const DIGEST_RANGE = 2 ** 32

/** Versions of one incarnation, in order: serving and expired by turns, then draining, then withdrawn. */
export const RecordVersion = {
  First: 0,
  Draining: DRAINING_VERSION,
  Withdrawn: WITHDRAWN_VERSION
} as const

/** The state that a version stands for. */
export function stateOfVersion (version: number): UpstreamState {
  if (version >= WITHDRAWN_VERSION) return UpstreamState.Withdrawn
  if (version === DRAINING_VERSION) return UpstreamState.Draining
  return version % 2 === 0 ? UpstreamState.Serving : UpstreamState.Expired
}

/** The version that ends the lease of a record; a draining upstream ends for good. */
export function versionAfterExpiry (version: number): number {
  return stateOfVersion(version) === UpstreamState.Serving ? version + 1 : WITHDRAWN_VERSION
}

/** Whether the first news replaces the second; every entry decides alike, in whatever order news comes. */
export function isNewer (news: UpstreamNews, than: UpstreamNews): boolean {
  if (news.incarnation !== than.incarnation) return news.incarnation > than.incarnation
  if (news.version !== than.version) return news.version > than.version
  return contentKey(news) > contentKey(than)
}

/** A 32-bit digest of one piece of news, combined by exclusive or into those of the table. */
export function newsDigest (news: UpstreamNews): number {
  return hashName(`${news.address} ${news.incarnation} ${news.version} ${contentKey(news)}`) % DIGEST_RANGE
}

/** Only the shared part of a record, for sending. */
export function newsOf (record: UpstreamNews): UpstreamNews {
  const { pool, address, zone, slots, incarnation, version, leaseMilliseconds } = record
  return { pool, address, zone, slots, incarnation, version, leaseMilliseconds }
}

function contentKey (news: UpstreamNews): string {
  return `${news.pool} ${news.zone} ${news.slots} ${news.leaseMilliseconds}`
}

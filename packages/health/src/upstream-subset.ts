import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import { hashName } from '@hickoryspoke/runtime/hashing'

const USABLE_LIMIT_SHARE = 0.8
const TARGET_CONNECTIONS = 2
const MINIMUM_SUBSET_SIZE = 6
const MAXIMUM_CONNECTIONS = 64

/** Number of upstreams of a pool that one entry uses, and the number of connections to each. */
export interface SubsetSize {
  readonly upstreams: number
  readonly connectionsEach: number
}

/** Computes sizes that respect an upstream's connection limit even if every entry of the fleet is active. */
export function subsetSize (upstreamCount: number, entryCount: number, connectionLimit: number): SubsetSize {
  const usable = connectionLimit * USABLE_LIMIT_SHARE
  const entriesPerUpstream = Math.max(1, Math.floor(usable / TARGET_CONNECTIONS))
  const fairSize = Math.floor(upstreamCount * entriesPerUpstream / Math.max(1, entryCount))
  const upstreams = Math.min(upstreamCount, Math.max(MINIMUM_SUBSET_SIZE, fairSize))
  const entriesSharing = Math.max(1, entryCount * upstreams / Math.max(1, upstreamCount))
  const connectionsEach = Math.min(MAXIMUM_CONNECTIONS, Math.max(1, Math.floor(usable / entriesSharing)))
  return { upstreams, connectionsEach }
}

/** Chooses the upstreams of an entry by rendezvous hashing, so that one that is added or removed changes at most one member. */
export function chooseSubset (entry: string, upstreams: readonly UpstreamRecord[], size: number): readonly UpstreamRecord[] {
  if (size >= upstreams.length) return upstreams
  const weighted = upstreams.map((record) => ({ record, weight: hashName(`${entry}\u0000${record.address}`) }))
  weighted.sort((left, right) => right.weight - left.weight)
  return weighted.slice(0, size).map((item) => item.record)
}

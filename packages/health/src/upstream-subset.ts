import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import { hashName } from '@hickoryspoke/runtime/hashing'

const LIMIT_SHARE = 0.8
const WANTED_CONNECTIONS = 2
const SMALLEST_SUBSET = 6
const LARGEST_CONNECTIONS = 64

/** How many upstreams of a pool one entry uses, and with how many connections each. */
export interface SubsetSize {
  readonly upstreams: number
  readonly connectionsEach: number
}

/** Sizes that keep to an upstream's connection limit with every entry of the fleet at work. */
export function subsetSize (upstreamCount: number, entryCount: number, connectionLimit: number): SubsetSize {
  const usable = connectionLimit * LIMIT_SHARE
  const entriesEach = Math.max(1, Math.floor(usable / WANTED_CONNECTIONS))
  const fair = Math.floor(upstreamCount * entriesEach / Math.max(1, entryCount))
  const upstreams = Math.min(upstreamCount, Math.max(SMALLEST_SUBSET, fair))
  const users = Math.max(1, entryCount * upstreams / Math.max(1, upstreamCount))
  const connectionsEach = Math.min(LARGEST_CONNECTIONS, Math.max(1, Math.floor(usable / users)))
  return { upstreams, connectionsEach }
}

/** The upstreams of highest rendezvous weight for an entry: one that comes or goes moves no other. */
export function chooseSubset (entry: string, upstreams: readonly UpstreamRecord[], size: number): readonly UpstreamRecord[] {
  if (size >= upstreams.length) return upstreams
  const weighted = upstreams.map((record) => ({ record, weight: hashName(`${entry}\u0000${record.address}`) }))
  weighted.sort((left, right) => right.weight - left.weight)
  return weighted.slice(0, size).map((item) => item.record)
}

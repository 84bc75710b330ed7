import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import { UpstreamState } from '@hickoryspoke/membership/upstream-record'
import type { UpstreamStanding } from './pool-standing.ts'

const MILLISECONDS_PER_SECOND = 1_000

/** One upstream as an entry sees it, for operators. */
export interface UpstreamView {
  readonly pool: string
  readonly address: string
  readonly zone: string
  readonly slots: number
  readonly incarnation: number
  /** `in_service`, `slow_start`, `avoided`, `trial`, `ejected`, `draining`, `expired` or `withdrawn`. */
  readonly state: string
  /** Seconds for which this entry has seen the upstream in this state. */
  readonly sinceSeconds: number
  readonly reason: string
  /** Zones whose evidence led to the state. */
  readonly observers: readonly string[]
  readonly reportedLoad: number
}

/** Describes the upstreams of a pool for operators. */
export function describePool (pool: string, records: readonly UpstreamRecord[], standings: readonly UpstreamStanding[], now: number): UpstreamView[] {
  const byAddress = new Map(standings.map((standing) => [standing.record.address, standing]))
  return records.map((record) => {
    const standing = record.state === UpstreamState.Serving ? byAddress.get(record.address) : undefined
    const { address, zone, slots, incarnation, load: reportedLoad } = record
    const since = standing?.sinceMilliseconds ?? record.seenSinceMilliseconds
    const sinceSeconds = Math.round((now - since) / MILLISECONDS_PER_SECOND)
    const described = { state: standing?.standing ?? record.state, reason: standing?.reason ?? 'announced', observers: standing?.observers ?? [] }
    return { pool, address, zone, slots, incarnation, ...described, sinceSeconds, reportedLoad }
  })
}

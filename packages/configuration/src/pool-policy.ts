import * as z from 'zod'

/** Health policy of a pool. Operators set only what differs from the defaults. */
export const poolPolicySchema = z.strictObject({
  /** Log-likelihood ratio (faulty against healthy) at which an upstream counts as faulty. Higher values detect later with fewer false positives. */
  detection_threshold: z.number().min(3).max(40).default(15),
  /** Share of bad attempts expected at a faulty upstream. */
  faulty_share: z.number().min(0.05).max(0.95).default(0.3),
  /** An answer is slow when it takes longer than this multiple of the upper-quartile latency of its route. */
  slow_factor: z.number().min(1.5).max(20).default(3),
  /** Lower bound of the time without an answer that counts as slow. */
  overdue_milliseconds: z.int().min(20).max(60_000).default(150),
  /** Duration of the first ejection; doubles with each relapse. */
  ejection_seconds: z.number().min(1).max(3_600).default(5),
  maximum_ejection_seconds: z.number().min(1).max(86_400).default(300),
  /** Consecutive successful idempotent requests that a trial takes before the upstream returns to service. */
  trial_requests: z.int().min(1).max(1_000).default(10),
  slow_start_seconds: z.number().min(0).max(3_600).default(10),
  /** Connections that one upstream takes from all entries together. */
  connection_limit: z.int().min(1).max(100_000).default(350),
  /** Weight of upstreams in the zone of the entry VM, if each zone has about the same share of slots as of entry VMs; 1 treats all zones alike. */
  same_zone_preference: z.number().min(1).max(10).default(2),
  /** Time without traffic after which one entry VM of the fleet probes an upstream. */
  probe_seconds: z.number().min(1).max(3_600).default(10)
}).prefault({})

export type PoolPolicy = z.output<typeof poolPolicySchema>

/** The policy of a pool that overrides no defaults. */
export function defaultPoolPolicy (): PoolPolicy {
  return poolPolicySchema.parse({})
}

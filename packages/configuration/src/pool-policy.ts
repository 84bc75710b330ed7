import * as z from 'zod'

/** How the health of a pool's upstreams is judged. Operators set what differs from the defaults. */
export const poolPolicySchema = z.strictObject({
  /** Logarithm of the evidence for a fault against none at which an upstream counts as faulty; higher is slower and surer. */
  detection_threshold: z.number().min(3).max(40).default(15),
  /** Share of bad attempts that a faulty upstream is expected to show. */
  faulty_share: z.number().min(0.05).max(0.95).default(0.3),
  /** An answer is slow beyond this multiple of the upper quartile of its route. */
  slow_factor: z.number().min(1.5).max(20).default(3),
  /** Shortest time without an answer that counts as slow. */
  overdue_milliseconds: z.int().min(20).max(60_000).default(150),
  /** First time out of service; doubles with each return to the fault. */
  ejection_seconds: z.number().min(1).max(3_600).default(5),
  maximum_ejection_seconds: z.number().min(1).max(86_400).default(300),
  /** Good idempotent requests in a row before full return. */
  trial_requests: z.int().min(1).max(1_000).default(10),
  slow_start_seconds: z.number().min(0).max(3_600).default(10),
  /** Connections that one upstream takes from all entries together. */
  connection_limit: z.int().min(1).max(100_000).default(350),
  /** Weight of upstreams in the entry's own zone where zones are evenly filled; 1 treats all zones alike. */
  same_zone_preference: z.number().min(1).max(10).default(2),
  /** Time without traffic after which one entry of the fleet probes an upstream. */
  probe_seconds: z.number().min(1).max(3_600).default(10)
}).prefault({})

export type PoolPolicy = z.output<typeof poolPolicySchema>

/** The policy of a pool that sets nothing. */
export function defaultPoolPolicy (): PoolPolicy {
  return poolPolicySchema.parse({})
}

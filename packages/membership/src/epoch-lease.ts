/**
 * Lease that entitles this entry to act on its membership epoch.
 *
 * Guarantee: let entry A hold epoch `e`. While A's monotonic time is below `validUntilMilliseconds()`, no entry of
 * epoch `e + 1` or later has reached its own `exclusiveFromMilliseconds()`. Whatever a later epoch reassigns from A
 * to another entry is therefore used by A only before that moment and by the other entry only after it. The guarantee
 * does not depend on wall clocks and allows monotonic clock rates to differ by up to `MAXIMUM_CLOCK_DRIFT_SHARE`.
 */
export interface EpochLease {
  /** Membership epoch held by this entry; 0 before the first. */
  epoch (): number
  /** Monotonic time in milliseconds at which the lease ends; not in the future if there is no lease. */
  validUntilMilliseconds (): number
  /** Monotonic time in milliseconds from which no other entry can act on an earlier epoch; Infinity while unknown. */
  exclusiveFromMilliseconds (): number
}

/** Length of a lease on configuration number and membership epoch, counted from the start of the round that confirmed them. */
export const FRESHNESS_LEASE_MILLISECONDS = 4_500

/** Largest assumed difference between the rates of two monotonic clocks, as a share. */
export const MAXIMUM_CLOCK_DRIFT_SHARE = 0.001

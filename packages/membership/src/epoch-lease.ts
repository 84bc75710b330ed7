/**
 * Right of this entry to act on its membership epoch.
 *
 * Guarantee: let entry A hold epoch `e`. While A's monotonic time is below `validUntilMilliseconds()`, no entry of
 * epoch `e + 1` or later has reached its own `exclusiveFromMilliseconds()`. So what a later epoch moves from A to
 * another entry is used by A only before, and by the other only after, that moment. Wall clocks may step; the rates
 * of monotonic clocks may differ by `MAXIMUM_CLOCK_DRIFT_SHARE`, which is allowed for.
 */
export interface EpochLease {
  /** Membership epoch that this entry holds; 0 before the first. */
  epoch (): number
  /** Monotonic milliseconds until which the epoch may be acted upon; not in the future when it may not. */
  validUntilMilliseconds (): number
  /** Monotonic milliseconds from which no other entry can still act on an earlier epoch; Infinity while unknown. */
  exclusiveFromMilliseconds (): number
}

/** Length of a lease on configuration number and membership epoch, counted from the start of the round trip. */
export const FRESHNESS_LEASE_MILLISECONDS = 4_500

/** Largest difference between the rates of two monotonic clocks, as a share. */
export const MAXIMUM_CLOCK_DRIFT_SHARE = 0.001

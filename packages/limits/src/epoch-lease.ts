/** How long this entry may act in the membership epoch that is in force here. */
export interface EpochLease {
  /** Number of the epoch in force. */
  epoch (): number
  /** Monotonic time in milliseconds of the injected clock until which this entry may act in it. */
  validUntilMilliseconds (): number
}

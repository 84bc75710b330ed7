/** Timings and sizes of the shares of rate and burst. */
export interface ShareSettings {
  /** How long a lease on a slot lasts at its holder, from the moment it was asked for. */
  readonly leaseMilliseconds: number
  /** A voter's promise is longer than the lease by this share, for clocks of differing speed. */
  readonly clockDriftShare: number
  readonly leaseRenewMilliseconds: number
  readonly leaseCheckMilliseconds: number
  /** A member of lower rank waits this much longer, per rank, before it tries to take a free lease. */
  readonly leaseRankDelayMilliseconds: number
  /** An attempt to take a lease is given up after this time. */
  readonly leaseAttemptMilliseconds: number
  /** Bounds of the time after sending an ask within which a granted token may be used. */
  readonly shortestValidityMilliseconds: number
  readonly longestValidityMilliseconds: number
  /** Validity in units of the smoothed round trip. */
  readonly validityRoundTrips: number
  /** How long the holder may keep an ask until a token comes free. */
  readonly holderWaitMilliseconds: number
  /** How long a request may wait while the lease on its share moves. */
  readonly unavailableWaitMilliseconds: number
  /** Pauses before a share whose holder is not known is asked again: the first, and the longest after doubling. */
  readonly firstRetryMilliseconds: number
  readonly longestRetryMilliseconds: number
  /** How long a stopping entry still votes, so that its successors get their leases. */
  readonly closingVoteMilliseconds: number
  /** Validity of tokens granted ahead of requests. */
  readonly aheadValidityMilliseconds: number
  /** Tokens given ahead may take up to this part of a share's burst. */
  readonly aheadBurstShare: number
  /** Most decisions under way at one entry. */
  readonly mostPendingDecisions: number
  readonly sweepMilliseconds: number
}

export const SHARE_SETTINGS: ShareSettings = {
  leaseMilliseconds: 1500,
  clockDriftShare: 0.05,
  leaseRenewMilliseconds: 500,
  leaseCheckMilliseconds: 100,
  leaseRankDelayMilliseconds: 200,
  leaseAttemptMilliseconds: 300,
  shortestValidityMilliseconds: 6,
  longestValidityMilliseconds: 120,
  validityRoundTrips: 1.6,
  holderWaitMilliseconds: 50,
  unavailableWaitMilliseconds: 2000,
  firstRetryMilliseconds: 10,
  longestRetryMilliseconds: 100,
  closingVoteMilliseconds: 150,
  aheadValidityMilliseconds: 200,
  aheadBurstShare: 0.25,
  mostPendingDecisions: 10_000,
  sweepMilliseconds: 10_000
}

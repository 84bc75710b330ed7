/** Timings and limits of the distributed rate limiter. */
export interface ShareSettings {
  /** Duration of a lease on a slot at its holder, counted from when the holder asked for it. */
  readonly leaseMilliseconds: number
  /** A voter's promise outlasts the lease by this ratio, to allow for clocks of different speed. */
  readonly clockDriftRatio: number
  readonly leaseRenewMilliseconds: number
  readonly leaseCheckMilliseconds: number
  /** Additional delay per rank before a member tries to acquire a free lease. */
  readonly leaseRankDelayMilliseconds: number
  /** An attempt to acquire a lease is abandoned after this time. */
  readonly leaseAttemptMilliseconds: number
  /** Bounds for the validity of a token, counted from when the asker sent its request. */
  readonly minimumValidityMilliseconds: number
  readonly maximumValidityMilliseconds: number
  /** Validity as a multiple of the estimated round trip. */
  readonly validityRoundTrips: number
  /** How long the lease holder may queue an ask until a token becomes free. */
  readonly holderWaitMilliseconds: number
  /** How long a request may wait while the lease on its share moves to another entry. */
  readonly unavailableWaitMilliseconds: number
  /** Delay before asking again when no lease holder answered: the first delay, and the limit to which it doubles. */
  readonly initialRetryMilliseconds: number
  readonly maximumRetryMilliseconds: number
  /** How long an entry that shuts down continues to vote, so that its successors can acquire the leases. */
  readonly shutdownVotingMilliseconds: number
  /** Validity of tokens granted in advance of requests. */
  readonly aheadValidityMilliseconds: number
  /** Maximum part of a share's burst that may be granted in advance. */
  readonly aheadBurstRatio: number
  /** Maximum number of pending decisions at one entry. */
  readonly maximumPendingDecisions: number
  readonly sweepMilliseconds: number
}

export const DEFAULT_SHARE_SETTINGS: ShareSettings = {
  leaseMilliseconds: 1500,
  clockDriftRatio: 0.05,
  leaseRenewMilliseconds: 500,
  leaseCheckMilliseconds: 100,
  leaseRankDelayMilliseconds: 200,
  leaseAttemptMilliseconds: 300,
  minimumValidityMilliseconds: 6,
  maximumValidityMilliseconds: 120,
  validityRoundTrips: 1.6,
  holderWaitMilliseconds: 50,
  unavailableWaitMilliseconds: 2000,
  initialRetryMilliseconds: 10,
  maximumRetryMilliseconds: 100,
  shutdownVotingMilliseconds: 150,
  aheadValidityMilliseconds: 200,
  aheadBurstRatio: 0.25,
  maximumPendingDecisions: 10_000,
  sweepMilliseconds: 10_000
}

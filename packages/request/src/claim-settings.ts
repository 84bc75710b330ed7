/** Timeouts and limits of claims on Idempotency-Keys. */
export interface ClaimSettings {
  /** Number of slots that claims are hashed to. Each slot has one group of holders. Must be the same at all entries. */
  readonly slots: number
  /** Minimum time for which a claim is kept, from the start of the request that holds it. */
  readonly retentionMilliseconds: number
  /** Timeout of a quorum round. A claimant that has no majority by then gives up. */
  readonly roundMilliseconds: number
  readonly resendMilliseconds: number
  /** Maximum time for which a duplicate waits for the first request, and any request for a change of its group. */
  readonly waitForFirstMilliseconds: number
  readonly probeMilliseconds: number
  /** Time for which a restarted holder requests no copies. Exceeds any round that may count the grants that it lost. */
  readonly restartSilenceMilliseconds: number
  readonly copyRetryMilliseconds: number
  readonly clockDriftShare: number
  /** Maximum records of one entry. A full entry grants no new claims; it does not evict any. */
  readonly maximumRecords: number
  /** Maximum total size of the responses stored at one entry. Beyond it, claims are recorded without their responses. */
  readonly maximumAnswerBytes: number
  readonly sweepMilliseconds: number
}

export const DEFAULT_CLAIM_SETTINGS: ClaimSettings = {
  slots: 1024,
  retentionMilliseconds: 900_000,
  roundMilliseconds: 1000,
  resendMilliseconds: 60,
  waitForFirstMilliseconds: 6000,
  probeMilliseconds: 50,
  restartSilenceMilliseconds: 2000,
  copyRetryMilliseconds: 500,
  clockDriftShare: 0.001,
  maximumRecords: 150_000,
  maximumAnswerBytes: 33_554_432,
  sweepMilliseconds: 5000
}

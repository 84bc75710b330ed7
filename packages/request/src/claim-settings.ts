/** Timings and bounds of claims on Idempotency-Keys. */
export interface ClaimSettings {
  /** Number of slots that claims are spread over; each slot has one group of holders. Equal at all entries. */
  readonly slots: number
  /** How long a claim is remembered at least, from the start of the request that holds it. */
  readonly retentionMilliseconds: number
  /** Within this time of its first ask a claimant must have its majority, or it gives up. */
  readonly roundMilliseconds: number
  readonly resendMilliseconds: number
  /** Longest wait of a second copy for the end of the first, and of any copy while the group of its slot changes. */
  readonly waitForFirstMilliseconds: number
  readonly probeMilliseconds: number
  /** Silence of a restarted holder before it copies; longer than any round that may count its forgotten grants. */
  readonly restartSilenceMilliseconds: number
  readonly copyRetryMilliseconds: number
  readonly clockDriftShare: number
  /** Most records of one entry; with more, it grants no claim, and forgets none early. */
  readonly maximumRecords: number
  /** Most bytes of stored answers at one entry; answers beyond are not kept, their claims are. */
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

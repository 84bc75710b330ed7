/** Limits that the caller edge of an entry sets. Sizes in bytes, times in milliseconds. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number
  readonly maximumHeaderCount: number
  /** From the connection, or the end of the last answer's idle time, to the end of the headers. */
  readonly headersTimeoutMilliseconds: number
  /** From the first byte to the last byte of a request. */
  readonly requestTimeoutMilliseconds: number
  readonly idleTimeoutMilliseconds: number
  /** How long a caller may take nothing of an answer that waits for it. */
  readonly unreadAnswerTimeoutMilliseconds: number
  readonly timeoutCheckMilliseconds: number
}

export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maximumHeaderBytes: 16_384,
  maximumHeaderCount: 100,
  headersTimeoutMilliseconds: 10_000,
  requestTimeoutMilliseconds: 60_000,
  idleTimeoutMilliseconds: 15_000,
  unreadAnswerTimeoutMilliseconds: 30_000,
  timeoutCheckMilliseconds: 1000
}

/** Certificate chain and private key in PEM, for TLS towards callers. */
export interface CallerTls {
  readonly certificate: string
  readonly key: string
}

/** Limits of the caller server of an entry. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number
  /** From the start of the connection, or the end of the idle time after the last response, to the end of the headers. */
  readonly headersTimeoutMilliseconds: number
  /** From the first to the last byte of a request. */
  readonly requestTimeoutMilliseconds: number
  readonly idleTimeoutMilliseconds: number
  /** How long a caller may read nothing of a response that is waiting to be sent. */
  readonly unreadAnswerTimeoutMilliseconds: number
  /** Interval at which the timeouts of headers and requests are checked. */
  readonly timeoutCheckMilliseconds: number
  /** Requests of one connection that are in work at once. Further ones are read when earlier ones have been answered. */
  readonly maximumPipelinedRequests: number
  /** Bytes of responses that wait to be sent on one connection, above which no further request is read from it. */
  readonly maximumUnsentBytes: number
}

export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maximumHeaderBytes: 16_384,
  headersTimeoutMilliseconds: 10_000,
  requestTimeoutMilliseconds: 60_000,
  idleTimeoutMilliseconds: 15_000,
  unreadAnswerTimeoutMilliseconds: 30_000,
  timeoutCheckMilliseconds: 1000,
  maximumPipelinedRequests: 16,
  maximumUnsentBytes: 262_144
}

/** PEM certificate chain and private key for TLS connections of callers. */
export interface CallerTls {
  readonly certificate: string
  readonly key: string
}

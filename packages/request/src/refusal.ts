import { Failure } from '@hickoryspoke/runtime/failure'

/** Whether a refused request may have run at an upstream. */
export const RUN_STATES = { notRun: 'not-run', unknown: 'unknown' } as const
export type RunState = typeof RUN_STATES[keyof typeof RUN_STATES]

interface RefusalKind {
  readonly status: number
  readonly run: RunState
  readonly title: string
}

const notRun = (status: number, title: string): RefusalKind => ({ status, run: RUN_STATES.notRun, title })
const unknown = (status: number, title: string): RefusalKind => ({ status, run: RUN_STATES.unknown, title })

/** Every error response that an entry generates itself, by code. */
export const REFUSALS = {
  bad_request: notRun(400, 'the request breaks the rules of HTTP'),
  bad_target: notRun(400, 'the path has no single meaning'),
  bad_connection_header: notRun(400, 'the Connection header names a header that must reach its end'),
  bad_idempotency_key: notRun(400, 'the Idempotency-Key is not usable'),
  key_in_request: notRun(400, 'the key may be sent in the Authorization header only'),
  upgrade_not_supported: notRun(501, 'WebSocket and other upgrades are not supported'),
  tunnel_not_supported: notRun(501, 'CONNECT is not supported'),
  method_not_supported: notRun(501, 'the method is not supported'),
  unauthorized: notRun(401, 'no key, an unknown key, or a withdrawn key'),
  no_route: notRun(404, 'no route takes this path, method and host'),
  claim_conflict: unknown(409, 'the outcome of the first request with this Idempotency-Key is unknown'),
  request_timeout: notRun(408, 'the request did not arrive in time'),
  body_too_large: notRun(413, 'the body is larger than allowed'),
  body_too_large_while_sending: unknown(413, 'the body grew larger than allowed while it was passed on'),
  headers_too_large: notRun(431, 'the headers are larger than allowed'),
  claim_content_differs: notRun(422, 'this Idempotency-Key was used with other content'),
  crashing_request: notRun(422, 'requests like this one crashed upstreams lately'),
  crash_check_pending: notRun(503, 'a request like this one brought an upstream down, and the check of it is not over'),
  rate_exceeded: notRun(429, 'the customer is over its rate'),
  rate_unavailable: notRun(503, 'the rate of the customer cannot be counted now'),
  draining: notRun(503, 'this entry is shutting down'),
  not_fresh: notRun(503, 'this entry cannot confirm that its configuration is current'),
  no_healthy_upstream: notRun(503, 'no upstream can take the request'),
  overloaded: notRun(503, 'too many requests wait'),
  claim_unavailable: notRun(503, 'the claim for this Idempotency-Key could not be recorded'),
  upstream_refused: notRun(503, 'every upstream refused the request without running it'),
  upstream_unreachable: notRun(502, 'no upstream could be connected'),
  upstream_failed: unknown(502, 'the upstream broke off'),
  upstream_truncated: unknown(502, 'the upstream answered only a part'),
  upstream_timeout: unknown(504, 'the upstream did not answer in time'),
  deadline_before_sending: notRun(504, 'the time was over before the request was sent'),
  request_incomplete: unknown(400, 'the request broke off while it was passed on'),
  expectation_failed: notRun(417, 'only 100-continue may be expected'),
  http_version_not_supported: notRun(505, 'HTTP/1.1 only'),
  caller_gone_before_sending: notRun(499, 'the caller left before the request was sent'),
  caller_gone: unknown(499, 'the caller left before the answer'),
  internal_error: unknown(500, 'the entry failed')
} as const satisfies Record<string, RefusalKind>

export type RefusalCode = keyof typeof REFUSALS

/** An error response that an entry generates instead of relaying one from an upstream. */
export class Refusal extends Failure {
  readonly retryAfterMilliseconds: number | undefined

  private constructor (
    readonly code: RefusalCode, readonly detail: string, retryAfterMilliseconds: number | undefined,
    /** Whether the time is the same for all callers, so that another one may be named. */
    readonly isTimeUsual: boolean
  ) {
    super(detail)
    this.retryAfterMilliseconds = retryAfterMilliseconds
  }

  static create (code: RefusalCode, detail: string = REFUSALS[code].title, retryAfterMilliseconds?: number, isTimeUsual = false): Refusal {
    return new Refusal(code, detail, retryAfterMilliseconds, isTimeUsual)
  }

  /** The same refusal with another time to return. */
  withRetryAfter (retryAfterMilliseconds: number): Refusal {
    return new Refusal(this.code, this.detail, retryAfterMilliseconds, false)
  }

  get status (): number {
    return REFUSALS[this.code].status
  }

  get run (): RunState {
    return REFUSALS[this.code].run
  }
}

/**
 * Formats a refusal as headers and an `application/problem+json` body. The headers are a flat list of names and values. `Retry-After` is in whole
 * seconds as HTTP has it, or exact to the millisecond for callers that accept fractions.
 */
export function formatRefusal (refusal: Refusal, requestId: string, isExact = false): { headers: string[], body: string } {
  const { title } = REFUSALS[refusal.code]
  const document = { type: 'about:blank', title, status: refusal.status, code: refusal.code, detail: refusal.detail, run: refusal.run, request: requestId }
  const body = JSON.stringify(document)
  const headers = [
    'Content-Type', 'application/problem+json',
    'Content-Length', String(Buffer.byteLength(body)),
    'Cache-Control', 'no-store',
    'Hickoryspoke-Run', refusal.run,
    'Hickoryspoke-Request', requestId
  ]
  if (refusal.retryAfterMilliseconds !== undefined) headers.push('Retry-After', retryAfterSeconds(refusal.retryAfterMilliseconds, isExact))
  if (refusal.code === 'unauthorized') headers.push('WWW-Authenticate', 'Bearer')
  return { headers, body }
}

function retryAfterSeconds (milliseconds: number, isExact: boolean): string {
  return isExact ? (Math.ceil(milliseconds) / 1000).toFixed(3) : String(Math.max(1, Math.ceil(milliseconds / 1000)))
}

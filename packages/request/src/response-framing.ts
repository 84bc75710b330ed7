import { headerCount, headerValue, type RawHeaders } from './header-filter.ts'

/** How a response body is delimited: no body, a Content-Length, chunked coding, or the close of the connection. */
export const FRAMINGS = { none: 'none', length: 'length', chunked: 'chunked', untilClose: 'until_close' } as const

/** Framing of one response. `bytes` is the Content-Length for kind `length`, otherwise 0. */
export interface ResponseFraming {
  readonly kind: typeof FRAMINGS[keyof typeof FRAMINGS]
  readonly bytes: number
}

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])

/**
 * Determines the framing from method, status and headers. A response delimited by the close of its connection cannot
 * be told from a truncated one.
 */
export function responseFraming (method: string, status: number, headers: RawHeaders): ResponseFraming {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) return { kind: FRAMINGS.none, bytes: 0 }
  const transferEncoding = headerValue(headers, 'transfer-encoding')
  if (transferEncoding !== undefined) return { kind: /(^|,)\s*chunked\s*$/i.test(transferEncoding) ? FRAMINGS.chunked : FRAMINGS.untilClose, bytes: 0 }
  const length = headerValue(headers, 'content-length')
  if (length === undefined || !/^\d+$/.test(length) || headerCount(headers, 'content-length') !== 1) return { kind: FRAMINGS.untilClose, bytes: 0 }
  return { kind: FRAMINGS.length, bytes: Number(length) }
}

import { headerCount, headerValue, type RawHeaders } from './header-filter.ts'

/** How the end of an answer's body is known. */
export const FRAMINGS = { none: 'none', length: 'length', chunked: 'chunked', untilClose: 'until_close' } as const

/** Framing of one answer; `bytes` is set for `length` only. */
export interface AnswerFraming {
  readonly kind: typeof FRAMINGS[keyof typeof FRAMINGS]
  readonly bytes: number
}

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])

/** Framing by method, status and headers. An answer that ends with its connection cannot be told from a truncated one. */
export function answerFraming (method: string, status: number, headers: RawHeaders): AnswerFraming {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) return { kind: FRAMINGS.none, bytes: 0 }
  const coding = headerValue(headers, 'transfer-encoding')
  if (coding !== undefined) return { kind: /(^|,)\s*chunked\s*$/i.test(coding) ? FRAMINGS.chunked : FRAMINGS.untilClose, bytes: 0 }
  const length = headerValue(headers, 'content-length')
  if (length === undefined || !/^\d+$/.test(length) || headerCount(headers, 'content-length') !== 1) return { kind: FRAMINGS.untilClose, bytes: 0 }
  return { kind: FRAMINGS.length, bytes: Number(length) }
}

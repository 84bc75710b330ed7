import type { Readable } from 'node:stream'
import type { RawHeaders } from './header-filter.ts'
import type { BodySink } from './upstream-answer.ts'

/** One request of a caller and the way back to it, apart from any HTTP library. */
export interface CallerExchange {
  readonly method: string
  /** The request target as it came, in origin form. */
  readonly target: string
  readonly host: string
  readonly headers: RawHeaders
  readonly body: Readable
  /** Length that the caller announced, or undefined for a chunked body. */
  readonly bodyBytes: number | undefined
  /** Aborted when the caller leaves before the whole answer was sent, or, with a `Refusal` as its reason, when its body breaks the rules. */
  readonly signal: AbortSignal
  readonly answer: CallerAnswer
  /** Tells a caller that waits for it to send its body. */
  inviteBody (): void
}

/** The answer to a caller. Either `breakOff` or `end` closes it. */
export interface CallerAnswer extends BodySink {
  readonly isHeadSent: boolean
  head (status: number, headers: readonly string[]): void
  end (trailers: RawHeaders): void
  /** Closes the connection, so that a partial answer cannot pass as a whole one. */
  breakOff (): void
}

import type { Readable } from 'node:stream'
import type { RawHeaders } from './header-filter.ts'
import type { BodySink } from './upstream-response.ts'

/** A caller's request and the response to it, independent of any HTTP library. */
export interface CallerExchange {
  readonly method: string
  /** Request target as received, in origin form. */
  readonly target: string
  readonly host: string
  readonly headers: RawHeaders
  readonly body: Readable
  /** Declared length of the body, or undefined for a chunked body. */
  readonly bodyBytes: number | undefined
  /**
   * Aborts when the caller disconnects before the complete response was sent. Also aborts, with a `Refusal` as its
   * reason, when the request body is malformed.
   */
  readonly signal: AbortSignal
  readonly answer: CallerResponse
  /** Called when the body is awaited, before any of it is buffered. */
  awaitBody? (): void
  /** Asked for each part of the body before it is buffered; false if the body must be refused for lack of memory. */
  takeBody? (bytes: number): boolean
  /** Called once no more of the body is buffered. */
  bodyTaken? (): void
  /** Sends `100 Continue` to a caller that expects it. */
  sendContinue (): void
}

/** The response to a caller, finished by either `end` or `abort`. */
export interface CallerResponse extends BodySink {
  readonly isHeadSent: boolean
  writeHead (status: number, headers: readonly string[]): void
  end (trailers: RawHeaders): void
  /** Closes the connection, so that a partial response cannot be mistaken for a complete one. */
  abort (): void
}

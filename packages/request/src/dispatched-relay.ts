/** Relays an upstream's response. If it is incomplete, the caller's connection is closed instead of ending the response. */
import type { AttemptFailure } from './attempt-failure.ts'
import type { CallerExchange } from './caller-exchange.ts'
import type { Dialect } from './dialect.ts'
import { headerValue } from './header-filter.ts'
import type { ResponseDeadline } from './response-deadline.ts'
import { FRAMINGS } from './response-framing.ts'
import type { UpstreamResponse } from './upstream-response.ts'

const NO_TRAILERS: readonly string[] = []

/** How a response was relayed. */
export interface RelayReport {
  /** Why it was cut off and the caller's connection was closed; undefined if it is complete. */
  readonly failure: AttemptFailure | undefined
  /** Time for which the caller, or its turn on the connection, held it up. */
  readonly callerMilliseconds: number
}

/** Sends the response to the caller, or closes the caller's connection if the response ends early. */
export async function relayDispatchedResponse (
  dialect: Dialect, exchange: CallerExchange, answer: UpstreamResponse, deadline: ResponseDeadline
): Promise<RelayReport> {
  const headers = dialect.responseHeaders(answer.headers)
  if (answer.isWhole) return relayBuffered(exchange, answer, headers)
  if (answer.framing.kind === FRAMINGS.length) headers.push('Content-Length', String(answer.framing.bytes))
  exchange.answer.writeHead(answer.status, headers)
  const pausedBefore = answer.pausedMilliseconds
  const endWatch = deadline.watch(answer)
  const whole = await answer.pipeTo(exchange.answer)
  endWatch()
  if (whole.isErr()) exchange.answer.abort()
  else exchange.answer.end(NO_TRAILERS)
  return { failure: whole.isErr() ? whole.error : undefined, callerMilliseconds: answer.pausedMilliseconds - pausedBefore }
}

function relayBuffered (exchange: CallerExchange, answer: UpstreamResponse, headers: string[]): RelayReport {
  const body = answer.bufferedBody()
  const contentLength = answer.framing.kind === FRAMINGS.none ? headerValue(answer.headers, 'content-length') : String(body.length)
  if (contentLength !== undefined && answer.status !== 204) headers.push('Content-Length', contentLength)
  exchange.answer.writeHead(answer.status, headers)
  if (body.length > 0) exchange.answer.write(body)
  exchange.answer.end(NO_TRAILERS)
  return { failure: undefined, callerMilliseconds: 0 }
}

/** Relays an upstream's response. If it is incomplete, the caller's connection is closed instead of ending the response. */
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { AttemptFailure } from './attempt-failure.ts'
import type { CallerExchange } from './caller-exchange.ts'
import type { Dialect } from './dialect.ts'
import { headerValue } from './header-filter.ts'
import { FRAMINGS } from './response-framing.ts'
import type { UpstreamResponse } from './upstream-response.ts'

const STALL_CHECK_MILLISECONDS = 250
const NO_TRAILERS: readonly string[] = []

interface RelayOptions {
  readonly clock: Clock
  readonly dialect: Dialect
}

/** Sends the response to the caller. Returns false if it was cut off and the caller's connection was closed. */
export async function relayDispatchedResponse (
  options: RelayOptions, exchange: CallerExchange, answer: UpstreamResponse, stallMilliseconds: number
): Promise<boolean> {
  const headers = options.dialect.responseHeaders(answer.headers)
  if (answer.isEnded) return await relayBuffered(exchange, answer, headers)
  if (answer.framing.kind === FRAMINGS.length) headers.push('Content-Length', String(answer.framing.bytes))
  exchange.answer.writeHead(answer.status, headers)
  const stallCheckController = new AbortController()
  const stallCheck = repeatEvery(options.clock, STALL_CHECK_MILLISECONDS, stallCheckController.signal, () => {
    if (answer.stalledMilliseconds > stallMilliseconds) answer.abort(AttemptFailure.create('stalled_answer'))
  })
  const whole = await answer.pipeTo(exchange.answer)
  stallCheckController.abort()
  await stallCheck
  if (whole.isErr()) {
    exchange.answer.abort()
    return false
  }
  exchange.answer.end(NO_TRAILERS)
  return true
}

async function relayBuffered (exchange: CallerExchange, answer: UpstreamResponse, headers: string[]): Promise<boolean> {
  const body = answer.bufferedBody()
  const contentLength = answer.framing.kind === FRAMINGS.none ? headerValue(answer.headers, 'content-length') : String(body.length)
  if (contentLength !== undefined && answer.status !== 204) headers.push('Content-Length', contentLength)
  exchange.answer.writeHead(answer.status, headers)
  if (body.length > 0) exchange.answer.write(body)
  exchange.answer.end(NO_TRAILERS)
  return true
}

/** Gives an upstream's answer to the caller, whole or not at all. */
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { FRAMINGS } from './answer-framing.ts'
import { AttemptFailure } from './attempt-failure.ts'
import type { CallerExchange } from './caller-exchange.ts'
import type { Dialect } from './dialect.ts'
import { headerValue } from './header-filter.ts'
import type { UpstreamAnswer } from './upstream-answer.ts'

const STALL_CHECK_MILLISECONDS = 250
const NO_TRAILERS: readonly string[] = []

interface RelayParts {
  readonly clock: Clock
  readonly dialect: Dialect
}

/** Passes the answer on; false when it broke off part of the way and the caller's connection was closed. */
export async function relayDispatched (
  parts: RelayParts, exchange: CallerExchange, answer: UpstreamAnswer, stallMilliseconds: number
): Promise<boolean> {
  const headers = parts.dialect.answerHeaders(answer.headers)
  if (answer.isOver) return await relayHeld(exchange, answer, headers)
  if (answer.framing.kind === FRAMINGS.length) headers.push('Content-Length', String(answer.framing.bytes))
  exchange.answer.head(answer.status, headers)
  const watch = new AbortController()
  const watching = repeatEvery(parts.clock, STALL_CHECK_MILLISECONDS, watch.signal, () => {
    if (answer.stalledMilliseconds > stallMilliseconds) answer.abort(AttemptFailure.create('stalled_answer'))
  })
  const whole = await answer.pipeTo(exchange.answer)
  watch.abort()
  await watching
  if (whole.isErr()) {
    exchange.answer.breakOff()
    return false
  }
  exchange.answer.end(NO_TRAILERS)
  return true
}

async function relayHeld (exchange: CallerExchange, answer: UpstreamAnswer, headers: string[]): Promise<boolean> {
  const body = answer.heldBody()
  const announced = answer.framing.kind === FRAMINGS.none ? headerValue(answer.headers, 'content-length') : String(body.length)
  if (announced !== undefined && answer.status !== 204) headers.push('Content-Length', announced)
  exchange.answer.head(answer.status, headers)
  if (body.length > 0) exchange.answer.write(body)
  exchange.answer.end(NO_TRAILERS)
  return true
}

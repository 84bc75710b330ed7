import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { FRAMINGS } from './answer-framing.ts'
import type { ReadyAttempt } from './attempt.ts'
import { AttemptFailure } from './attempt-failure.ts'
import type { CallerExchange } from './caller-exchange.ts'
import type { StoredAnswer } from './collaborators.ts'
import { callerAnswerHeaders, headerValue } from './header-filter.ts'
import { formatRefusal, type Refusal } from './refusal.ts'
import type { BodySink, UpstreamAnswer } from './upstream-answer.ts'

/** Longest body in bytes of an answer that is kept for a second copy of its request. */
export const STORED_ANSWER_BYTES = 16_384

const STALL_CHECK_MILLISECONDS = 1000
const NO_TRAILERS: readonly string[] = []

/** Gives an upstream's answer to the caller; false when it broke off part of the way. */
export async function relayAnswer (
  clock: Clock, exchange: CallerExchange, ready: ReadyAttempt, requestId: string, stallMilliseconds: number
): Promise<boolean> {
  const { answer } = ready
  exchange.answer.head(answer.status, answerHeaders(answer, requestId))
  if (ready.isWhole) return await relayHeld(exchange, answer)
  const watch = new AbortController()
  const watching = repeatEvery(clock, STALL_CHECK_MILLISECONDS, watch.signal, () => {
    if (answer.stalledMilliseconds > stallMilliseconds) answer.abort(AttemptFailure.create('stalled_answer'))
  })
  const whole = await answer.pipeTo(sinkWhileCallerStays(exchange))
  watch.abort()
  await watching
  if (whole.isErr()) {
    exchange.answer.breakOff()
    return false
  }
  exchange.answer.end(callerAnswerHeaders(whole.value))
  return true
}

/** Gives a stored answer again. */
export function replayAnswer (exchange: CallerExchange, stored: StoredAnswer, requestId: string): void {
  const headers = [...stored.headers, 'Content-Length', String(stored.body.length), 'Hickoryspoke-Request', requestId]
  exchange.answer.head(stored.status, headers)
  if (stored.body.length > 0) exchange.answer.write(stored.body)
  exchange.answer.end(NO_TRAILERS)
}

/** Gives a refusal; a caller that has seen the head of an answer already is cut off instead. */
export function relayRefusal (exchange: CallerExchange, refusal: Refusal, requestId: string): void {
  if (exchange.answer.isHeadSent) {
    exchange.answer.breakOff()
    return
  }
  const { headers, body } = formatRefusal(refusal, requestId)
  exchange.answer.head(refusal.status, headers)
  if (exchange.method !== 'HEAD') exchange.answer.write(Buffer.from(body))
  exchange.answer.end(NO_TRAILERS)
}

/** The form in which a whole answer is kept, or nothing when it is too large. */
export function storableAnswer (ready: ReadyAttempt): StoredAnswer | undefined {
  if (!ready.isWhole) return undefined
  const body = ready.answer.heldBody()
  if (body.length > STORED_ANSWER_BYTES) return undefined
  return { status: ready.answer.status, headers: callerAnswerHeaders(ready.answer.headers), body }
}

async function relayHeld (exchange: CallerExchange, answer: UpstreamAnswer): Promise<boolean> {
  const body = answer.heldBody()
  if (body.length > 0) exchange.answer.write(body)
  const trailers = await answer.whole
  exchange.answer.end(trailers.isOk() ? callerAnswerHeaders(trailers.value) : NO_TRAILERS)
  return true
}

function answerHeaders (answer: UpstreamAnswer, requestId: string): string[] {
  const headers = callerAnswerHeaders(answer.headers)
  const length = answer.framing.kind === FRAMINGS.none ? headerValue(answer.headers, 'content-length') : undefined
  if (answer.framing.kind === FRAMINGS.length) headers.push('Content-Length', String(answer.framing.bytes))
  else if (length !== undefined && answer.status !== 204) headers.push('Content-Length', length)
  headers.push('Hickoryspoke-Request', requestId)
  return headers
}

/** The caller while it stays; after it has left, the rest of the answer is read and dropped. */
function sinkWhileCallerStays (exchange: CallerExchange): BodySink {
  return {
    write: (chunk) => exchange.signal.aborted || exchange.answer.write(chunk),
    whenReady: (task) => exchange.answer.whenReady(task)
  }
}

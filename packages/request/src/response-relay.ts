import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { ReadyAttempt } from './attempt.ts'
import { AttemptFailure } from './attempt-failure.ts'
import type { CallerExchange } from './caller-exchange.ts'
import type { StoredResponse } from './collaborators.ts'
import { callerResponseHeaders, headerValue } from './header-filter.ts'
import { formatRefusal, type Refusal } from './refusal.ts'
import { FRAMINGS } from './response-framing.ts'
import type { BodySink, UpstreamResponse } from './upstream-response.ts'

/** Largest response body that is stored to be replayed for a duplicate of its request. */
export const MAXIMUM_STORED_RESPONSE_BYTES = 16_384

const STALL_CHECK_MILLISECONDS = 1000
const NO_TRAILERS: readonly string[] = []

/** Sends an upstream's response to the caller. Returns false if it was cut off before its end. */
export async function relayResponse (
  clock: Clock, exchange: CallerExchange, ready: ReadyAttempt, requestId: string, stallMilliseconds: number
): Promise<boolean> {
  const { answer } = ready
  exchange.answer.writeHead(answer.status, responseHeaders(answer, requestId))
  if (ready.isWhole) return await relayBuffered(exchange, answer)
  const stallCheckController = new AbortController()
  const stallCheck = repeatEvery(clock, STALL_CHECK_MILLISECONDS, stallCheckController.signal, () => {
    if (answer.stalledMilliseconds > stallMilliseconds) answer.abort(AttemptFailure.create('stalled_answer'))
  })
  const whole = await answer.pipeTo(sinkUntilCallerLeaves(exchange))
  stallCheckController.abort()
  await stallCheck
  if (whole.isErr()) {
    exchange.answer.abort()
    return false
  }
  exchange.answer.end(callerResponseHeaders(whole.value))
  return true
}

/** Sends a stored response to the caller of a duplicate request. */
export function replayResponse (exchange: CallerExchange, stored: StoredResponse, requestId: string): void {
  const headers = [...stored.headers, 'Content-Length', String(stored.body.length), 'Hickoryspoke-Request', requestId]
  exchange.answer.writeHead(stored.status, headers)
  if (stored.body.length > 0) exchange.answer.write(stored.body)
  exchange.answer.end(NO_TRAILERS)
}

/** Sends a refusal, or closes the connection if a response head has already been sent. `isExact` gives the time to return in fractions of a second. */
export function relayRefusal (exchange: CallerExchange, refusal: Refusal, requestId: string, isExact = false): void {
  if (exchange.answer.isHeadSent) {
    exchange.answer.abort()
    return
  }
  const { headers, body } = formatRefusal(refusal, requestId, isExact)
  exchange.answer.writeHead(refusal.status, headers)
  if (exchange.method !== 'HEAD') exchange.answer.write(Buffer.from(body))
  exchange.answer.end(NO_TRAILERS)
}

/** Returns a complete response in the form to be stored, or undefined if it is incomplete or too large. */
export function storableResponse (ready: ReadyAttempt): StoredResponse | undefined {
  if (!ready.isWhole) return undefined
  const body = ready.answer.bufferedBody()
  if (body.length > MAXIMUM_STORED_RESPONSE_BYTES) return undefined
  return { status: ready.answer.status, headers: callerResponseHeaders(ready.answer.headers), body }
}

async function relayBuffered (exchange: CallerExchange, answer: UpstreamResponse): Promise<boolean> {
  const body = answer.bufferedBody()
  if (body.length > 0) exchange.answer.write(body)
  const trailers = await answer.whole
  exchange.answer.end(trailers.isOk() ? callerResponseHeaders(trailers.value) : NO_TRAILERS)
  return true
}

function responseHeaders (answer: UpstreamResponse, requestId: string): string[] {
  const headers = callerResponseHeaders(answer.headers)
  const length = answer.framing.kind === FRAMINGS.none ? headerValue(answer.headers, 'content-length') : undefined
  if (answer.framing.kind === FRAMINGS.length) headers.push('Content-Length', String(answer.framing.bytes))
  else if (length !== undefined && answer.status !== 204) headers.push('Content-Length', length)
  headers.push('Hickoryspoke-Request', requestId)
  return headers
}

/** Writes to the caller until it disconnects; after that, the rest of the response is read and discarded. */
function sinkUntilCallerLeaves (exchange: CallerExchange): BodySink {
  return {
    write: (chunk) => exchange.signal.aborted || exchange.answer.write(chunk),
    whenReady: (task) => exchange.answer.whenReady(task)
  }
}

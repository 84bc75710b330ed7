/** Requests whose head is inside the limit in bytes and has very many headers. */
import { ClientLimiter, REQUEST_BYTES } from '@hickoryspoke/runtime/client-limiter'
import { MemoryBudget } from '@hickoryspoke/runtime/memory-budget'
import { extraHeadBytes } from '@hickoryspoke/runtime/request-head'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture, headerOf, statusOf, until } from './caller-fixture.ts'

const COUNTS = [60, 101, 140, 1_100, 2_100, 3_000] as const
const BODY = 'the body of the request'
const MEMORY_BYTES = 10_000_000

/** Header lines with names and values of one or two characters. */
function shortHeaders (count: number): string {
  return Array.from({ length: count }, (_, index) => `${(index % 36).toString(36)}:\r\n`).join('')
}

/** Serves one raw request; returns the response and the request that the upstream received. */
async function serve (text: string, response = okResponse('served')): Promise<{ answer: string, received: string | undefined }> {
  const upstream = await RawUpstream.create((socket) => socket.end(response))
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes: [{ path: '/ledger', timeout_milliseconds: 5_000 }] })
  const answer = await fixture.raw(text)
  await fixture.close()
  await upstream.close()
  return { answer, received: upstream.requests[0] }
}

// Guards against a request that runs without its body, or is refused without its key, as the headers that tell of them are left out (UNASKED).
for (const count of COUNTS) {
  for (const [framing, headers, sent] of [
    ['with a length', `Content-Length: ${BODY.length}\r\n`, BODY],
    ['in chunks', 'Transfer-Encoding: chunked\r\n', `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`]
  ] as const) {
    test(`a body ${framing} behind a head of ${count} headers is sent on whole, whichever header comes last`, async () => {
      const { answer, received = '' } = await serve(
        `POST /ledger HTTP/1.1\r\n${shortHeaders(count)}Connection: close\r\nHost: entry\r\n${AUTHORIZED}X-Last: kept\r\n${headers}\r\n${sent}`
      )
      assert.is(statusOf(answer), 200)
      assert.match(received, /\r\nx-last: kept\r\n/i)
      assert.ok(received.includes(BODY), 'the body was sent on')
    })
  }
}

test('a caller that waits for 100 Continue behind very many headers gets it', async () => {
  const head = `POST /ledger HTTP/1.1\r\n${shortHeaders(3_000)}Connection: close\r\nHost: entry\r\n${AUTHORIZED}Content-Length: ${BODY.length}\r\nExpect: 100-continue\r\n\r\n`
  const { answer } = await serve(head + BODY)
  assert.match(answer, /^HTTP\/1\.1 100 Continue\r\n\r\nHTTP\/1\.1 200/)
})

test('a head of too many bytes is refused whatever the number of its headers', async () => {
  const { answer, received } = await serve(`GET /ledger HTTP/1.1\r\nHost: entry\r\n${shortHeaders(5_000)}\r\n`)
  assert.is(statusOf(answer), 431)
  assert.is(received, undefined)
})

test('a response whose head has very many headers is passed on with all of them', async () => {
  const response = `HTTP/1.1 200 OK\r\n${shortHeaders(3_000)}X-Last: kept\r\nContent-Length: 6\r\n\r\nserved`
  const { answer } = await serve(`GET /ledger HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Connection: close\r\n\r\n`, response)
  assert.is(headerOf(answer, 'X-Last'), 'kept')
  assert.ok(answer.endsWith('served'))
})

// Guards against heads whose memory is not bounded once their number of headers is not.
test('the memory of very many headers counts until the request has ended', async () => {
  const clock = SystemClock.create()
  const budget = MemoryBudget.create({ clock, bytes: MEMORY_BYTES, heapShare: () => 0 })
  const limiter = ClientLimiter.create({ clock, maximumConnections: 10, maximumRequests: 10, budget })
  let heldBytes = 0
  const upstream = await RawUpstream.create((socket) => {
    heldBytes = budget.heldBytes
    socket.end(okResponse('served'))
  })
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes: [{ path: '/ledger', timeout_milliseconds: 5_000 }], limiter })
  await fixture.raw(`GET /ledger HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Connection: close\r\n${shortHeaders(3_000)}\r\n`)
  assert.ok(heldBytes > REQUEST_BYTES + extraHeadBytes(Array(6_000).fill('')), `${heldBytes} bytes are counted`)
  await until(() => budget.heldBytes === 0)
  await fixture.close()
  await upstream.close()
})

test.run()

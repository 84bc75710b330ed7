/** Requests that offer another protocol, or ask for a tunnel, and the responses before them. */
import { connect } from 'node:net'
import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture, codeOf } from './caller-fixture.ts'

const LONG_BODY = 'y'.repeat(1_000_000)
const GIVE_UP_MILLISECONDS = 5_000
const H2C = 'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n'
const WEBSOCKET = 'Connection: Upgrade\r\nUpgrade: websocket\r\n'
const CLOSE = 'Connection: close\r\n'

const request = (method: string, headers: string, body = ''): string => `${method} /ledger HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}${headers}\r\n${body}`

/** Sends raw text and returns everything that arrives until the connection closes, also of a caller that reads on only as it arrives. */
async function exchangeRaw (fixture: CallerFixture, text: string): Promise<string> {
  const socket = connect(fixture.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => { received += chunk.toString('latin1') })
  socket.on('error', () => {})
  const timer = setTimeout(() => socket.destroy(), GIVE_UP_MILLISECONDS)
  socket.write(text)
  await new Promise((resolve) => socket.once('close', resolve))
  clearTimeout(timer)
  return received
}

async function withFixture (response: string, check: (fixture: CallerFixture, upstream: RawUpstream) => Promise<void>): Promise<void> {
  const upstream = await RawUpstream.create((socket) => socket.write(response))
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes: [{ path: '/ledger', idempotent: true, timeout_milliseconds: 5_000 }] })
  await check(fixture, upstream)
  await fixture.close()
  await upstream.close()
}

const statuses = (received: string): number[] => [...received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((match) => Number(match[1]))

// Guards against a long response that stops when such a request is read behind its own, as Node.js gives the connection up (LOST, CONFIG).
for (const [name, behind, expected] of [
  ['offers h2c', request('GET', `${H2C}`) + request('GET', CLOSE), [200, 200, 200]],
  ['asks for WebSocket', request('GET', WEBSOCKET), [200, 501]],
  ['asks for a tunnel', `CONNECT other:443 HTTP/1.1\r\nHost: other:443\r\n${AUTHORIZED}\r\n`, [200, 501]]
] as const) {
  test(`a long response in front of a request that ${name} arrives whole`, async () => {
    await withFixture(okResponse(LONG_BODY), async (fixture) => {
      const received = await exchangeRaw(fixture, request('GET', '') + behind)
      assert.equal(statuses(received), expected)
      assert.is(received.indexOf(LONG_BODY), received.indexOf('\r\n\r\n') + 4)
    })
  })
}

// Guards against sound clients, which offer h2c to servers of which they know nothing, being refused.
test('a request that offers h2c is served without the offer, and its connection goes on', async () => {
  await withFixture(okResponse('served'), async (fixture, upstream) => {
    assert.equal(statuses(await exchangeRaw(fixture, request('GET', H2C) + request('GET', CLOSE))), [200, 200])
    assert.not.match(upstream.requests[0] ?? '', /upgrade|http2-settings/i)
  })
})

test('a request with a body that offers h2c is served, and closes its connection in front of what follows', async () => {
  await withFixture(okResponse('served'), async (fixture, upstream) => {
    for (const [framing, body] of [['Content-Length: 4\r\n', 'body'], ['Transfer-Encoding: chunked\r\n', '4\r\nbody\r\n0\r\n\r\n']] as const) {
      const before = upstream.requests.length
      const received = await exchangeRaw(fixture, request('POST', H2C + framing, body) + request('GET', ''))
      assert.equal(statuses(received), [200])
      assert.match(received, /\r\nConnection: close\r\n/i)
      assert.is(upstream.requests.length, before + 1)
      assert.match(upstream.requests[before] ?? '', /body/)
    }
  })
})

test('a request with an Upgrade header that no Connection header lists is served like any other', async () => {
  await withFixture(okResponse('served'), async (fixture) => {
    assert.equal(statuses(await exchangeRaw(fixture, request('GET', 'Upgrade: websocket\r\n') + request('GET', CLOSE))), [200, 200])
  })
})

test('a request for WebSocket is refused, since its caller cannot use a response without the change', async () => {
  await withFixture(okResponse('served'), async (fixture, upstream) => {
    assert.is(codeOf(await exchangeRaw(fixture, request('GET', WEBSOCKET))), 'upgrade_not_supported')
    assert.is(upstream.requests.length, 0)
  })
})

test.run()

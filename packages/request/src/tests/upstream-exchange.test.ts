import { SystemClock } from '@hickoryspoke/runtime/clock'
import { RawUpstream, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UpstreamConnections } from '../upstream-connections.ts'
import { exchange } from '../upstream-exchange.ts'

const SPOKEN_MILLISECONDS = 20

/** The answer's body, or the code of the failure. */
async function askOnce (behaviour: UpstreamScript): Promise<string> {
  const clock = SystemClock.create()
  const connections = UpstreamConnections.create(clock)
  const upstream = await RawUpstream.create(behaviour)
  const request = { address: upstream.address, method: 'GET', path: '/', headers: ['host', 'a'], body: null, maximumIdleMilliseconds: 0, takesUnframed: true }
  const head = await exchange(clock, connections, request, new AbortController().signal)
  const whole = head.isOk() ? await head.value.whole : head
  const text = head.isOk() && whole.isOk() ? head.value.heldBody().toString() : whole.unwrapErr().code
  connections.close()
  await upstream.close()
  return text
}

const sayThenReset = (text: string): UpstreamScript => (socket) => {
  socket.write(text)
  setTimeout(() => socket.resetAndDestroy(), SPOKEN_MILLISECONDS)
}

for (const [name, headers, body] of [
  ['without a length', '', 'part of'],
  ['without a length on a connection that closes', 'Connection: close\r\n', 'part of'],
  ['in chunks', 'Transfer-Encoding: chunked\r\n', '7\r\npart of\r\n'],
  ['in chunks on a connection that closes', 'Connection: close\r\nTransfer-Encoding: chunked\r\n', '7\r\npart of\r\n'],
  ['with a length on a connection that closes', 'Connection: close\r\nContent-Length: 20\r\n', 'part of']
] as const) {
  test(`an answer ${name} that is reset on the way is not whole`, async () => {
    assert.is(await askOnce(sayThenReset(`HTTP/1.1 200 OK\r\n${headers}\r\n${body}`)), 'truncated_answer')
  })
}

/** The last bytes and the reset are there when the reader looks, so that it sees an end of file first. */
const sayAndReset = (head: string, rest: string): UpstreamScript => (socket) => {
  socket.write(head)
  setTimeout(() => {
    socket.write(rest)
    socket.resetAndDestroy()
  }, SPOKEN_MILLISECONDS)
}

for (const connection of ['', 'Connection: close\r\n']) {
  test(`an answer without a length whose reset comes with its last bytes is not whole ${connection.trim()}`, async () => {
    assert.is(await askOnce(sayAndReset(`HTTP/1.1 200 OK\r\n${connection}\r\n`, 'part of')), 'truncated_answer')
    assert.is(await askOnce(sayAndReset('', `HTTP/1.1 200 OK\r\n${connection}\r\npart of`)), 'truncated_answer')
  })
}

test('an answer without a length that ends with its connection is whole', async () => {
  assert.is(await askOnce((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nall of it')), 'all of it')
})

test('an answer in chunks that ends with its connection is not whole', async () => {
  assert.is(await askOnce((socket) => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npart of\r\n')), 'truncated_answer')
})

test.run()

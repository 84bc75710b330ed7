import { SystemClock } from '@hickoryspoke/runtime/clock'
import { RawUpstream, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DirectConnector } from '../connector.ts'
import { UpstreamConnections } from '../upstream-connections.ts'
import { exchange } from '../upstream-exchange.ts'

const RESET_DELAY_MILLISECONDS = 20

/** Sends one request and returns the response body or the failure code. */
async function requestOnce (script: UpstreamScript): Promise<string> {
  const clock = SystemClock.create()
  const connections = UpstreamConnections.create(clock)
  const upstream = await RawUpstream.create(script)
  const request = { address: upstream.address, method: 'GET', path: '/', headers: ['host', 'a'], body: null, maximumIdleMilliseconds: 0, acceptsCloseDelimited: true }
  const head = await exchange(clock, connections, request, new AbortController().signal)
  const whole = head.isOk() ? await head.value.whole : head
  const text = head.isOk() && whole.isOk() ? head.value.bufferedBody().toString() : whole.unwrapErr().code
  connections.close()
  await upstream.close()
  return text
}

const writeThenReset = (text: string): UpstreamScript => (socket) => {
  socket.write(text)
  setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS)
}

for (const [name, headers, body] of [
  ['without a length', '', 'part of'],
  ['without a length on a connection that closes', 'Connection: close\r\n', 'part of'],
  ['in chunks', 'Transfer-Encoding: chunked\r\n', '7\r\npart of\r\n'],
  ['in chunks on a connection that closes', 'Connection: close\r\nTransfer-Encoding: chunked\r\n', '7\r\npart of\r\n'],
  ['with a length on a connection that closes', 'Connection: close\r\nContent-Length: 20\r\n', 'part of']
] as const) {
  test(`a response ${name} is incomplete if the connection is reset`, async () => {
    assert.is(await requestOnce(writeThenReset(`HTTP/1.1 200 OK\r\n${headers}\r\n${body}`)), 'truncated_answer')
  })
}

/** Sends the last bytes and the reset together. The reader then gets an end of file instead of an error for the reset. */
const writeWithReset = (head: string, rest: string): UpstreamScript => (socket) => {
  socket.write(head)
  setTimeout(() => {
    socket.write(rest)
    socket.resetAndDestroy()
  }, RESET_DELAY_MILLISECONDS)
}

for (const connection of ['', 'Connection: close\r\n']) {
  test(`a response without a length is incomplete if a reset arrives with its last bytes ${connection.trim()}`, async () => {
    assert.is(await requestOnce(writeWithReset(`HTTP/1.1 200 OK\r\n${connection}\r\n`, 'part of')), 'truncated_answer')
    assert.is(await requestOnce(writeWithReset('', `HTTP/1.1 200 OK\r\n${connection}\r\npart of`)), 'truncated_answer')
  })
}

test('a response without a length is complete if the connection is closed in order', async () => {
  assert.is(await requestOnce((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nall of it')), 'all of it')
})

test('a chunked response without its last chunk is incomplete if the connection is closed in order', async () => {
  assert.is(await requestOnce((socket) => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npart of\r\n')), 'truncated_answer')
})

// Guards against a body that is sent through a machine in another region, as the configuration changed while the entry connected.
test('a request is not sent through an entry that may no longer be used', async () => {
  const clock = SystemClock.create()
  const direct = DirectConnector.create(clock, 400)
  const state = { isAllowed: true }
  const connect = async (address: string, signal: AbortSignal) => {
    const opened = await direct.connect(address, signal)
    state.isAllowed = false
    return opened.map(({ socket }) => ({ socket, relay: '10.0.0.1:80' }))
  }
  const connections = UpstreamConnections.create(clock, {}, { connect })
  const upstream = await RawUpstream.create((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\n'))
  const request = { address: upstream.address, method: 'POST', path: '/', headers: ['host', 'a'], body: Buffer.from('x'), maximumIdleMilliseconds: 0 }
  const head = await exchange(clock, connections, { ...request, mayRelayThrough: () => state.isAllowed }, new AbortController().signal)
  connections.close()
  await upstream.close()
  assert.is(head.unwrapErr().code, 'placement_outdated')
  assert.equal(upstream.requests, [])
})

test.run()

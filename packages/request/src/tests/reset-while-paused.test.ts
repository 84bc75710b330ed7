import { SystemClock } from '@hickoryspoke/runtime/clock'
import { RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UpstreamConnections } from '../upstream-connections.ts'
import { exchange } from '../upstream-exchange.ts'

/** More than is held of a response that nobody takes, so that reading is paused. */
const BODY_BYTES = 70_000

async function wait (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Requests a response that begins with `start` and is not taken, and returns how it ends after `breakOff`. */
async function endOfPaused (start: string, breakOff: (upstream: RawUpstream, connections: UpstreamConnections) => void): Promise<string> {
  const clock = SystemClock.create()
  const connections = UpstreamConnections.create(clock)
  const upstream = await RawUpstream.create((socket) => socket.write(`HTTP/1.1 200 OK\r\n${start}${'x'.repeat(BODY_BYTES)}`))
  const request = { address: upstream.address, method: 'GET', path: '/', headers: ['host', 'a'], body: null, maximumIdleMilliseconds: 0, acceptsCloseDelimited: true }
  const head = (await exchange(clock, connections, request, new AbortController().signal)).unwrap()
  await head.bufferFull
  await wait(50)
  breakOff(upstream, connections)
  await wait(50)
  void head.pipeTo({ write: () => true, whenReady: () => {} })
  const whole = await head.whole
  connections.close()
  await upstream.close()
  return whole.isOk() ? 'complete' : whole.error.code
}

// Guards against the end of the whole process: undici asserts that its parser is not paused when a connection is reset
// or closed during a response that ends its connection.
for (const [what, head] of [
  ['that ends with its connection', '\r\n'],
  ['with a length, on a connection that closes', `Content-Length: ${2 * BODY_BYTES}\r\nConnection: close\r\n\r\n`],
  ['in chunks, on a connection that closes', `Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n${(2 * BODY_BYTES).toString(16)}\r\n`]
] as const) {
  test(`a response ${what} is cut off by a reset while nobody reads it`, async () => {
    const code = await endOfPaused(head, (upstream) => {
      for (const socket of upstream.sockets) socket.resetAndDestroy()
    })
    assert.is(code, 'truncated_answer')
  })

  test(`a response ${what} may be unread when all connections are closed`, async () => {
    assert.is(await endOfPaused(head, (_, connections) => connections.close()), 'truncated_answer')
  })
}

test.run()

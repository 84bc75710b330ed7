import { SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UpstreamConnections } from '../upstream-connections.ts'
import { exchange } from '../upstream-exchange.ts'
import type { BodySink, UpstreamResponse } from '../upstream-response.ts'

const clock = SystemClock.create()
/** As much as is held of a response that nobody takes: reading is paused exactly behind the last byte of the body. */
const HELD_BYTES = 65_536
const PAUSE_MILLISECONDS = 50

/** Requests a response whose upstream closes in order behind it. Returns how many bytes of the body were taken, or the failure code. */
async function bytesTaken (head: string, body: string, take: (response: UpstreamResponse, sink: BodySink) => Promise<void>): Promise<number | string> {
  const connections = UpstreamConnections.create(clock)
  const upstream = await RawUpstream.create((socket) => socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n${body}`))
  const request = { address: upstream.address, method: 'GET', path: '/', headers: ['host', 'a'], body: null, maximumIdleMilliseconds: 0, acceptsCloseDelimited: true }
  const response = (await exchange(clock, connections, request, new AbortController().signal)).unwrap()
  let bytes = 0
  // Each chunk is one too many for the sink, as for a slow caller.
  const sink: BodySink = {
    write: (chunk) => {
      bytes += chunk.length
      return false
    },
    whenReady: (task) => { void sleep(clock, PAUSE_MILLISECONDS).then(task) }
  }
  await take(response, sink)
  const whole = await response.whole
  connections.close()
  await upstream.close()
  return whole.isOk() ? bytes : whole.error.code
}

// Guards against answers that are lost since their upstream closes behind them while the caller reads slowly, and against
// the end of the whole process: undici asserts that its parser is not paused at the end of a connection (LOST).
for (const [what, head] of [
  ['with a length, on a connection that was kept', `Content-Length: ${HELD_BYTES}\r\n`],
  ['with a length, on a connection that closes', `Content-Length: ${HELD_BYTES}\r\nConnection: close\r\n`],
  ['that ends with its connection', '']
] as const) {
  test(`a response ${what} is complete if its upstream closes while nobody takes it`, async () => {
    const bytes = await bytesTaken(head, 'x'.repeat(HELD_BYTES), async (response, sink) => {
      await sleep(clock, PAUSE_MILLISECONDS)
      void response.pipeTo(sink)
    })
    assert.is(bytes, HELD_BYTES)
  })

  test(`a response ${what} is complete if its upstream closes while the caller reads slowly`, async () => {
    const bytes = await bytesTaken(head, 'x'.repeat(HELD_BYTES), async (response, sink) => { void response.pipeTo(sink) })
    assert.is(bytes, HELD_BYTES)
  })
}

test('a response is incomplete if its upstream closes before its end while nobody takes it', async () => {
  const head = `Content-Length: ${HELD_BYTES + 1}\r\nConnection: close\r\n`
  const bytes = await bytesTaken(head, 'x'.repeat(HELD_BYTES), async (response, sink) => {
    await sleep(clock, PAUSE_MILLISECONDS)
    void response.pipeTo(sink)
  })
  assert.is(bytes, 'truncated_answer')
})

test.run()

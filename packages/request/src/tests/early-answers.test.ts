import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { Readable } from 'node:stream'
import { SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UpstreamConnections } from '../upstream-connections.ts'
import { exchange } from '../upstream-exchange.ts'

type UpstreamScript = (socket: Socket) => void

const clock = SystemClock.create()
const ANSWER_BYTES = 400_000
const ANSWER = 'y'.repeat(ANSWER_BYTES)
const BODY_CHUNK = Buffer.alloc(65_536, 'x')
const CHUNK_INTERVAL_MILLISECONDS = 1
/** Time in which the response fills the buffers while nobody takes it. */
const READING_PAUSE_MILLISECONDS = 100

/** A request body that does not end by itself. */
async function * endlessBody (): AsyncGenerator<Buffer> {
  while (true) {
    yield BODY_CHUNK
    await sleep(clock, CHUNK_INTERVAL_MILLISECONDS)
  }
}

/** Sends a request with an endless body and returns how many bytes of the response came, or the failure code. */
async function answerBytes (script: UpstreamScript, pauseMilliseconds: number): Promise<number | string> {
  const connections = UpstreamConnections.create(clock)
  const upstream = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => script(socket))
  })
  upstream.listen(0, '127.0.0.1')
  await once(upstream, 'listening')
  const request = {
    address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`,
    method: 'POST',
    path: '/',
    headers: ['host', 'a'],
    body: Readable.from(endlessBody(), { objectMode: false }).on('error', () => {}),
    maximumIdleMilliseconds: 0,
    acceptsCloseDelimited: true
  }
  const head = await exchange(clock, connections, request, new AbortController().signal)
  let bytes = 0
  if (head.isOk()) {
    await sleep(clock, pauseMilliseconds)
    void head.value.pipeTo({
      write: (chunk) => {
        bytes += chunk.length
        return true
      },
      whenReady: () => {}
    })
  }
  const whole = head.isOk() ? await head.value.whole : head
  connections.close()
  upstream.close()
  return whole.isOk() ? bytes : whole.error.code
}

function answerWith (head: string, finish: (socket: Socket) => void): UpstreamScript {
  return (socket) => {
    socket.resume()
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${ANSWER}`)
    finish(socket)
  }
}

const LENGTH = `Content-Length: ${ANSWER_BYTES}\r\n`

// Guards against answers that are lost since their upstream gives them before the end of a long request body (LOST).
for (const [what, head, finish] of [
  ['reads on', LENGTH, () => {}],
  ['stops reading', LENGTH, (socket: Socket) => socket.pause()],
  ['ends its side and reads on', LENGTH, (socket: Socket) => socket.end()],
  ['announces the close, ends its side and reads on', `${LENGTH}Connection: close\r\n`, (socket: Socket) => socket.end()],
  ['gives no length, ends its side and reads on', '', (socket: Socket) => socket.end()]
] as const) {
  for (const pauseMilliseconds of [0, READING_PAUSE_MILLISECONDS]) {
    test(`an answer before the end of the request body comes whole from an upstream that ${what} (taken after ${pauseMilliseconds} ms)`, async () => {
      assert.is(await answerBytes(answerWith(head, finish), pauseMilliseconds), ANSWER_BYTES)
    })
  }
}

test.run()

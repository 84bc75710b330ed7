import { createServer, type AddressInfo, type Socket } from 'node:net'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { writeEndlessly } from '@hickoryspoke/testing/endless-writer'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AttemptFailure } from '../attempt-failure.ts'
import { exchange } from '../upstream-exchange.ts'
import { connectionsWithSockets } from './response-fixture.ts'

/** Most bytes that may be read of a response without an end: what is held, and what one read of a socket brings. */
const READ_LIMIT_BYTES = 1_048_576
/** Well below the time that a request may take. */
const GIVE_UP_MILLISECONDS = 3_000

const HEAD = 'HTTP/1.1 200 OK\r\n'

/** Sends `start`, then `piece` again and again, until the connection is closed. */
async function startEndless (start: string, piece: string): Promise<{ address: string, close: () => void }> {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.write(start)
      writeEndlessly(socket, piece)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const close = (): void => {
    for (const socket of sockets) socket.destroy()
    server.close()
  }
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close }
}

/** Sends one request and waits for its end, like an attempt does. Returns how it ended and how many bytes were read. */
async function ask (address: string, method: string): Promise<{ code: string, bytesRead: number, isClosed: boolean }> {
  const clock = SystemClock.create()
  const { connections, sockets } = connectionsWithSockets(clock)
  const deadline = new AbortController()
  const timer = clock.schedule(GIVE_UP_MILLISECONDS, () => deadline.abort(AttemptFailure.create('deadline_over')))
  const request = { address, method, path: '/', headers: ['host', 'a'], body: null, maximumIdleMilliseconds: 0, acceptsCloseDelimited: true }
  const head = await exchange(clock, connections, request, deadline.signal)
  if (head.isOk()) await Promise.race([head.value.whole, head.value.bufferFull])
  const whole = head.isErr() ? head : head.value.isEnded ? await head.value.whole : undefined
  const code = whole === undefined ? 'held' : whole.isOk() ? 'complete' : whole.error.code
  timer.cancel()
  await new Promise((resolve) => setTimeout(resolve, 100))
  const socket = sockets[0] as Socket
  const seen = { code, bytesRead: socket.bytesRead, isClosed: socket.destroyed }
  deadline.abort(AttemptFailure.create('caller_gone'))
  connections.close()
  return seen
}

// Guards against an upstream whose bytes never end and are kept, or read on, until memory or the request's time is used up.
for (const [what, start, piece] of [
  ['a status line', 'HTTP/1.1 200 ', 'OK'],
  ['a header name', HEAD, 'x'],
  ['a header value', `${HEAD}X-Long: `, 'x'],
  ['headers', HEAD, 'X-More: some\r\n'],
  ['informational responses', '', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'],
  ['bytes that are no response', '', '\0\xff'],
  ['a chunk size', `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, '0'],
  ['a chunk extension', `${HEAD}Transfer-Encoding: chunked\r\n\r\n5;`, 'x'],
  ['a trailer', `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\nX-Late: `, 'x'],
  ['trailers', `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`, 'X-Late: some\r\n']
] as const) {
  test(`${what} without an end is given up, and the connection closed`, async () => {
    const upstream = await startEndless(start, piece)
    const { code, bytesRead, isClosed } = await ask(upstream.address, 'GET')
    upstream.close()
    assert.ok(['malformed_answer', 'truncated_answer'].includes(code), code)
    assert.ok(isClosed)
    assert.ok(bytesRead < READ_LIMIT_BYTES, `${bytesRead} bytes were read`)
  })
}

for (const [what, start, method, expected] of [
  ['a body that ends with its connection', `${HEAD}\r\n`, 'GET', 'held'],
  ['a body in chunks', `${HEAD}Transfer-Encoding: chunked\r\n\r\nfffffff\r\n`, 'GET', 'held'],
  ['a body of the stated length', `${HEAD}Content-Length: 99999999999\r\n\r\n`, 'GET', 'held'],
  ['a body in answer to HEAD', `${HEAD}Content-Length: 5\r\n\r\n`, 'HEAD', 'complete'],
  ['bytes behind the stated length', `${HEAD}Content-Length: 5\r\n\r\nhello`, 'GET', 'complete'],
  ['a body of a response that has none', 'HTTP/1.1 204 No Content\r\n\r\n', 'GET', 'complete'],
  ['a body of a refusal', 'HTTP/1.1 503 Full\r\nHickoryspoke-Run: not-run\r\nContent-Length: 5\r\n\r\nhello', 'GET', 'refused_not_run']
] as const) {
  test(`${what} without an end is not read on while nobody takes it`, async () => {
    const upstream = await startEndless(start, 'x')
    const { code, bytesRead } = await ask(upstream.address, method)
    upstream.close()
    assert.is(code, expected)
    assert.ok(bytesRead < READ_LIMIT_BYTES, `${bytesRead} bytes were read`)
  })
}

test.run()

/** Responses that were handed to the operating system before a stop closes their connection, and that their callers have not read yet. */
import { createConnection, type Socket } from 'node:net'
import { okResponse, RawUpstream, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture, statusOf, until } from './caller-fixture.ts'

const BYTES = 1_000_000
const DRAIN = { announceMilliseconds: 300, finishMilliseconds: 3_000 }
const REQUEST = `GET /ledger/1 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}\r\n`

/** A caller whose socket is paused, and what it receives once it reads. */
interface PausedCaller {
  readonly fixture: CallerFixture
  readonly socket: Socket
  /** Sends a text, then reads to the end of the connection. */
  readonly writeThenRead: (text: string) => Promise<string>
}

async function withPausedCaller (script: UpstreamScript, use: (caller: PausedCaller) => Promise<void>): Promise<void> {
  const upstream = await RawUpstream.create(script)
  const routes = [{ path: '/ledger', timeout_milliseconds: 9_000, idempotent: true }]
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes })
  const socket = createConnection(fixture.port, '127.0.0.1')
  let received = ''
  let isClosed = false
  socket.on('data', (chunk) => { received += chunk.toString('latin1') })
  socket.on('error', () => {})
  socket.on('close', () => { isClosed = true })
  socket.pause()
  const writeThenRead = async (text: string): Promise<string> => {
    socket.write(text)
    await new Promise((resolve) => setTimeout(resolve, 50))
    socket.resume()
    await until(() => isClosed)
    return received
  }
  try {
    await use({ fixture, socket, writeThenRead })
  } finally {
    socket.destroy()
    await Promise.all([fixture.close(), upstream.close()])
  }
}

function bodyLength (received: string): number {
  return received.length - received.indexOf('\r\n\r\n') - 4
}

// Guards against a response whose head went out before the stop: the entry closes its connection as idle, and the caller's next request resets it (LOST).
test('a response that ends after the announcement of a stop reaches a caller that writes on before it reads', () => withPausedCaller((socket) => {
  socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${BYTES}\r\n\r\n${'x'.repeat(BYTES / 2)}`)
  setTimeout(() => socket.write('x'.repeat(BYTES / 2)), 700)
}, async ({ fixture, socket, writeThenRead }) => {
  socket.write(REQUEST)
  await new Promise((resolve) => setTimeout(resolve, 200))
  const drained = fixture.server.drain(DRAIN)
  await until(() => fixture.records.length === 1)
  const received = await writeThenRead(REQUEST)
  assert.equal([statusOf(received), bodyLength(received)], [200, BYTES])
  await drained
}))

// Guards against the same for a response that was handed to the operating system before the stop (LOST).
test('a response from before a stop reaches a caller that writes on once the entry has closed', () => withPausedCaller((socket) => socket.write(okResponse('x'.repeat(BYTES))), async ({ fixture, socket, writeThenRead }) => {
  socket.write(REQUEST)
  await until(() => fixture.records.length === 1)
  const drained = fixture.server.drain(DRAIN)
  await new Promise((resolve) => setTimeout(resolve, DRAIN.announceMilliseconds * 2))
  const received = await writeThenRead(REQUEST)
  assert.equal([statusOf(received), bodyLength(received)], [200, BYTES])
  await drained
}))

// Guards against an answer that came before the end of a long body, and is discarded when a stop closes the connection in the middle of that body (LOST).
test('an answer before the end of a body reaches a caller that is still sending when the announcement of a stop ends', () => withPausedCaller(() => {}, async ({ fixture, socket, writeThenRead }) => {
  socket.write(`POST /nowhere HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Content-Length: 3000000\r\n\r\n`)
  await until(() => fixture.records.length === 1)
  const drained = fixture.server.drain(DRAIN)
  for (let sent = 0; sent < 25; sent += 1) {
    socket.write('y'.repeat(100_000))
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
  assert.is(statusOf(await writeThenRead('y')), 404)
  await drained
}))

test.run()

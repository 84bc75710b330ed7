import { createConnection, type Socket } from 'node:net'
import { okResponse, RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture, statusOf, until } from './caller-fixture.ts'

const LARGE_BODY = 'x'.repeat(1_000_000)
const DRAIN = { announceMilliseconds: 1_500, finishMilliseconds: 3_000 }
const SHORTER_THAN_LINGERING_MILLISECONDS = 3_500
const REQUEST = `GET /ledger/1 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}\r\n`

/** A caller that reads only when told to, and keeps what it received. */
class PausedCaller {
  received = ''
  error = ''
  isClosed = false

  private constructor (readonly socket: Socket) {
    socket.pause()
    socket.on('data', (chunk) => { this.received += chunk.toString('latin1') })
    socket.on('error', (error: NodeJS.ErrnoException) => { this.error = error.code ?? error.message })
    socket.on('close', () => { this.isClosed = true })
    socket.pause()
  }

  static create (port: number): PausedCaller {
    return new PausedCaller(createConnection({ port, host: '127.0.0.1', noDelay: true }))
  }

  /** Writes on while nothing is read, as a caller does whose requests and responses are handled by different tasks. */
  async writeOn (text: string, times: number): Promise<void> {
    for (let written = 0; written < times && !this.isClosed; written += 1) {
      this.socket.write(text)
      await new Promise((resolve) => setTimeout(resolve, 20))
    }
  }

  /** Reads to the end of the connection. */
  async readAll (): Promise<string> {
    this.socket.resume()
    await until(() => this.isClosed)
    return this.received
  }
}

async function withUpstream (body: string, use: (fixture: CallerFixture, upstream: RawUpstream) => Promise<void>): Promise<void> {
  const upstream = await RawUpstream.create((socket) => socket.write(okResponse(body)))
  const routes = [{ path: '/ledger', timeout_milliseconds: 9_000, idempotent: true }]
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes })
  try {
    await use(fixture, upstream)
  } finally {
    await Promise.all([fixture.close(), upstream.close()])
  }
}

/** Length of the body of the first response. */
function bodyLength (received: string): number {
  const end = received.indexOf('\r\n\r\n')
  return end === -1 ? -1 : received.length - end - 4
}

// Guards against an answer that a reset discards, because its caller writes on while a stopping entry closes the connection (LOST).
test('the last response of a stop reaches a caller that writes further requests before it reads', () => withUpstream(LARGE_BODY, async (fixture, upstream) => {
  const caller = PausedCaller.create(fixture.port)
  const drained = fixture.server.drain(DRAIN)
  caller.socket.write(REQUEST)
  await until(() => fixture.records.length === 1)
  await caller.writeOn(REQUEST, 10)
  const received = await caller.readAll()
  assert.equal([statusOf(received), bodyLength(received), caller.error], [200, LARGE_BODY.length, ''])
  assert.is(upstream.requests.length, 1, 'what follows a response that closes the connection is not run')
  await drained
}))

// Guards against a refusal that a reset discards, because its caller is still sending.
for (const [what, bytes, status] of [
  ['bytes that are no request', 'garbage\r\n\r\n', 400],
  ['a head that is refused', 'POST /ledger/1 HTTP/1.1\r\nContent-Length: 10000000\r\n\r\n', 400],
  ['an upgrade', `GET /ledger/1 HTTP/1.1\r\nHost: entry\r\nConnection: upgrade\r\nUpgrade: websocket\r\n${AUTHORIZED}\r\n`, 501]
] as const) {
  test(`the refusal of ${what} reaches a caller that goes on sending`, () => withUpstream('x', async (fixture) => {
    const caller = PausedCaller.create(fixture.port)
    caller.socket.write(bytes)
    await caller.writeOn('y'.repeat(60_000), 10)
    const received = await caller.readAll()
    assert.equal([statusOf(received), caller.error], [status, ''])
  }))
}

// Guards against a response that is broken off and takes with it the complete one before it, which the caller has not read.
test('a complete response reaches its caller although the next one on the connection is broken off', async () => {
  const answers = [okResponse(LARGE_BODY), 'HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n' + 'y'.repeat(150_000)]
  const upstream = await RawUpstream.create((socket) => socket.end(answers.shift() ?? ''))
  const routes = [{ path: '/ledger', timeout_milliseconds: 9_000, idempotent: true }]
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes })
  const caller = PausedCaller.create(fixture.port)
  caller.socket.write(REQUEST)
  await until(() => fixture.records.length === 1)
  caller.socket.write(REQUEST)
  await until(() => fixture.records.length === 2)
  await caller.writeOn(REQUEST, 10)
  const received = await caller.readAll()
  const second = received.indexOf('HTTP/1.1 ', LARGE_BODY.length)
  assert.ok(second > LARGE_BODY.length, `the first response is whole, ${received.length} bytes received`)
  assert.ok(bodyLength(received.slice(second)) < 200_000, 'the second one is visibly incomplete')
  assert.is(caller.error, '')
  await Promise.all([fixture.close(), upstream.close()])
})

// Guards against a stop that a caller holds up by never closing its side.
test('a stop does not wait for a caller that never closes its connection beyond its time', () => withUpstream('x', async (fixture) => {
  const caller = createConnection({ port: fixture.port, host: '127.0.0.1', allowHalfOpen: true })
  caller.on('error', () => {})
  const drained = fixture.server.drain({ announceMilliseconds: 300, finishMilliseconds: 600 })
  caller.write(REQUEST)
  caller.resume()
  let isDrained = false
  void drained.then(() => { isDrained = true })
  await until(() => isDrained, SHORTER_THAN_LINGERING_MILLISECONDS)
  caller.destroy()
}))

test.run()

/** The limits of callers on the server of an entry, without processes. */
import { createConnection, createServer, type AddressInfo, type Socket } from 'node:net'
import { ClientLimiter } from '@hickoryspoke/runtime/client-limiter'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { MemoryBudget } from '@hickoryspoke/runtime/memory-budget'
import { okResponse, RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture, codeOf, statusOf, until, type FixtureOptions } from './caller-fixture.ts'

const PIPELINED = 16
const SENT_AHEAD = 200
const BODIES_SENT_AHEAD = 60
const IDLE_CONNECTIONS = 5
const ROUTES = [{ path: '/ledger', timeout_milliseconds: 9_000, idempotent: true }]
/** More than Node.js hands to its parser at once. */
const LONG_PIPELINE = 5_000
const UPLOAD_BYTES = 60_000_000
const PART = Buffer.alloc(100_000, 'x')
/** More than the operating system buffers on both ways. */
const MAXIMUM_SYSTEM_BUFFER_BYTES = 30_000_000

interface Scene {
  readonly fixture: CallerFixture
  readonly upstream: RawUpstream
  readonly limiter: ClientLimiter
  /** Requests that the upstream has not answered. */
  readonly held: { readonly path: string, readonly socket: Socket }[]
}

async function withHeld (
  use: (scene: Scene) => Promise<void>, budgetBytes = 50_000_000, options: Partial<FixtureOptions> = {}, maximumConnections = 100
): Promise<void> {
  const clock = SystemClock.create()
  const held: Scene['held'] = []
  const upstream = await RawUpstream.create((socket, request) => held.push({ socket, path: request.split(' ')[1] ?? '' }))
  const budget = MemoryBudget.create({ clock, bytes: budgetBytes, heapShare: () => 0 })
  const limiter = ClientLimiter.create({ clock, maximumConnections, maximumRequests: 1_000, budget })
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes: ROUTES, limiter, ...options })
  try {
    await use({ fixture, upstream, limiter, held })
  } finally {
    await Promise.all([fixture.close(), upstream.close()])
  }
}

function get (path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}\r\n`
}

function connectTo (fixture: CallerFixture): { socket: Socket, received: () => string } {
  const socket = createConnection(fixture.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => { received += chunk.toString('latin1') })
  socket.on('error', () => {})
  return { socket, received: () => received }
}

const paths = (count: number): string[] => Array.from({ length: count }, (_, index) => `/ledger/${index}`)
const pause = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

// Guards against a caller that puts any number of requests into work by sending them ahead.
test('only a limited number of requests of a connection is in work, and all are answered in their order', () => withHeld(async ({ fixture, upstream, held, limiter }) => {
  const { socket, received } = connectTo(fixture)
  socket.write(paths(SENT_AHEAD).map(get).join(''))
  let most = 0
  while (upstream.requests.length < SENT_AHEAD || held.length > 0) {
    await until(() => held.length > 0)
    most = Math.max(most, limiter.requests)
    const next = held.splice(Math.floor(held.length / 2), 1)[0]
    next?.socket.write(okResponse(next.path))
  }
  await until(() => received().split('HTTP/1.1 200 OK').length > SENT_AHEAD)
  assert.is(most, PIPELINED)
  assert.ok(limiter.shed.pipeline > 0)
  assert.equal([...received().matchAll(/\r\n\r\n(\/ledger\/\d+)/g)].map((match) => match[1]), paths(SENT_AHEAD))
  socket.destroy()
  await until(() => limiter.connections === 0)
  assert.equal([limiter.requests, limiter.budget.heldBytes], [0, 0])
}))

const put = (path: string, headers: string, body: string): string => `PUT ${path} HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}${headers}\r\n${body}`
const WITH_LENGTH = (path: string): string => put(path, 'Content-Length: 8\r\n', '\r\n\r\nbody')
const IN_CHUNKS = (path: string): string => put(path, 'Transfer-Encoding: chunked\r\n', '8\r\n\r\n\r\nbody\r\n0\r\n\r\n')

// Guards against requests that are not limited as each is read together with the body of the one before it.
for (const [what, text, most, stepBytes] of [
  ['with a length', WITH_LENGTH, PIPELINED, Infinity],
  ['with a length that arrive in small parts', WITH_LENGTH, PIPELINED, 7],
  ['in chunks', IN_CHUNKS, PIPELINED + 3, Infinity],
  ['in chunks that arrive in small parts', IN_CHUNKS, PIPELINED + 3, 11]
] as const) {
  test(`requests with bodies ${what} are limited and answered in their order`, () => withHeld(async ({ fixture, upstream, held, limiter }) => {
    const { socket, received } = connectTo(fixture)
    socket.setNoDelay(true)
    const all = paths(BODIES_SENT_AHEAD).map(text).join('')
    const isSent = (async () => {
      for (let sent = 0; sent < all.length; sent += stepBytes) {
        socket.write(all.slice(sent, Math.min(all.length, sent + stepBytes)))
        await new Promise((resolve) => setImmediate(resolve))
      }
    })()
    await until(() => held.length >= PIPELINED)
    await isSent
    await pause(100)
    const inWork = limiter.requests
    assert.ok(inWork >= PIPELINED && inWork <= most, `${inWork} requests are in work`)
    while (upstream.requests.length < BODIES_SENT_AHEAD || held.length > 0) {
      await until(() => held.length > 0)
      const next = held.shift()
      next?.socket.write(okResponse(next.path))
    }
    await until(() => received().split('HTTP/1.1 200 OK').length > BODIES_SENT_AHEAD)
    assert.equal([...received().matchAll(/\r\n\r\n(\/ledger\/\d+)/g)].map((match) => match[1]), paths(BODIES_SENT_AHEAD))
    assert.ok(upstream.requests.every((request) => request.endsWith('\r\n\r\nbody') || request.includes('\r\n\r\nbody\r\n0\r\n')))
    socket.destroy()
    await until(() => limiter.connections === 0)
    assert.equal([limiter.requests, limiter.budget.heldBytes], [0, 0])
  }))
}

// Guards against requests that run although their caller left before they were read.
test('the end of a connection is noticed while requests wait on it, and they never run', () => withHeld(async ({ fixture, upstream, limiter }) => {
  for (const leave of [(socket: Socket) => socket.resetAndDestroy(), (socket: Socket) => socket.end()]) {
    const before = upstream.requests.length
    const { socket } = connectTo(fixture)
    socket.write(paths(SENT_AHEAD).map(get).join(''))
    await until(() => upstream.requests.length === before + PIPELINED)
    leave(socket)
    await until(() => limiter.connections === 0, 500)
    await pause(100)
    assert.is(upstream.requests.length, before + PIPELINED)
    assert.equal([limiter.requests, limiter.budget.heldBytes], [0, 0])
  }
}))

// Guards against idle connections that keep out all other clients, although each has been answered (RECOVER).
test('a new client is answered while idle connections use up the limit', () => withHeld(async ({ fixture, held, limiter }) => {
  const busy = connectTo(fixture)
  busy.socket.write(get('/ledger/busy'))
  await until(() => held.length === 1)
  const idle = Array.from({ length: IDLE_CONNECTIONS }, () => connectTo(fixture))
  for (const { socket } of idle) socket.write(get('/no-route'))
  await until(() => idle.every(({ received }) => received().startsWith('HTTP/1.1 404')))
  assert.is(limiter.connections, IDLE_CONNECTIONS + 1)
  await pause(600)
  const late = connectTo(fixture)
  late.socket.write(get('/no-route'))
  await until(() => late.received().startsWith('HTTP/1.1 404'))
  await until(() => idle.filter(({ socket }) => socket.destroyed).length === 1)
  assert.is(limiter.shed.idle_connection, 1)
  held[0]?.socket.write(okResponse('busy'))
  await until(() => busy.received().endsWith('busy'))
  for (const { socket } of [busy, late, ...idle]) socket.destroy()
}, 50_000_000, {}, IDLE_CONNECTIONS + 1))

// Guards against input that is kept without bound, and against a reader that does not go on once it has stopped.
test('a pipeline that is longer than what is kept is served to its end', () => withHeld(async ({ fixture, held, limiter }) => {
  const { socket, received } = connectTo(fixture)
  socket.write(get('/no-route').repeat(PIPELINED - 1))
  socket.write(get('/ledger/1') + get('/no-route').repeat(LONG_PIPELINE))
  await until(() => held.length === 1)
  await pause(100)
  assert.ok(limiter.budget.heldBytes < 1_000_000, `${limiter.budget.heldBytes} bytes`)
  held[0]?.socket.write(okResponse('held'))
  await until(() => received().split('HTTP/1.1 404').length === PIPELINED + LONG_PIPELINE, 20_000)
  socket.destroy()
}))

// Guards against a body whose bytes are taken for the ends of heads, or that is cut where pieces end.
test('a body that contains what ends a head arrives unchanged, and the request behind it is read', () => withHeld(async ({ fixture, upstream, held }) => {
  const body = '\r\n\r\nGET /ledger/9 HTTP/1.1\r\n\r\n'.repeat(2_000)
  const { socket, received } = connectTo(fixture)
  socket.write(`PUT /ledger/1 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Content-Length: ${body.length}\r\n\r\n${body}${get('/ledger/2')}`)
  await until(() => held.length === 2)
  for (const { socket: answering, path } of held) answering.write(okResponse(path))
  await until(() => received().includes('/ledger/2'))
  assert.ok(upstream.requests.some((request) => request.endsWith(`\r\n\r\n${body}`)))
  assert.is(upstream.requests.length, 2)
  socket.destroy()
}))

// Guards against responses of unbounded size that are held for a caller that does not read.
test('no further request is read while too much of earlier responses waits to be sent', () => withHeld(async ({ fixture, upstream, limiter }) => {
  const socket = createConnection(fixture.port, '127.0.0.1')
  socket.pause()
  socket.write(get('/ledger/1').repeat(SENT_AHEAD))
  await until(() => limiter.budget.heldBytes > 262_144)
  await pause(300)
  assert.ok(upstream.requests.length < SENT_AHEAD, `${upstream.requests.length} requests were read`)
  assert.ok(limiter.budget.heldBytes < 4_000_000, `${limiter.budget.heldBytes} bytes are held`)
  socket.destroy()
  await until(() => limiter.connections === 0)
  assert.equal([limiter.requests, limiter.budget.heldBytes], [0, 0])
}, 50_000_000, { limits: { maximumUnsentBytes: 262_144, maximumPipelinedRequests: PIPELINED } }))

// Guards against bodies that use up the memory, and against a refusal of a request that has run.
test('a body without memory for it is refused and does not run, and a request without a body is served', () => withHeld(async ({ fixture, upstream, held, limiter }) => {
  const { socket, received } = connectTo(fixture)
  await until(() => limiter.connections === 1)
  limiter.hold(870_000)
  socket.write(`PUT /ledger/1 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Content-Length: 10000\r\n\r\n${'x'.repeat(10_000)}${get('/ledger/2')}`)
  await until(() => held.length === 1)
  held.pop()?.socket.write(okResponse('without a body'))
  await until(() => received().includes('without a body'))
  assert.equal([statusOf(received()), codeOf(received())], [503, 'overloaded'])
  assert.equal(upstream.requests.map((request) => request.split(' ')[1]), ['/ledger/2'])
  socket.destroy()
  limiter.hold(-400_000)
  const served = fixture.ask('PUT', '/ledger/1', '', 'x'.repeat(10_000))
  await until(() => held.length === 1)
  held[0]?.socket.write(okResponse('served'))
  assert.is(statusOf(await served), 200)
}, 1_000_000))

// Guards against descriptors that are all used for callers.
test('connections beyond the limit are closed, and one is accepted once another has left', () => withHeld(async ({ fixture, limiter }) => {
  const first = connectTo(fixture)
  const second = connectTo(fixture)
  await until(() => limiter.connections === 2)
  const third = connectTo(fixture)
  await until(() => third.socket.destroyed)
  assert.is(limiter.shed.connection, 1)
  first.socket.destroy()
  await until(() => limiter.connections === 1)
  assert.is(statusOf(await fixture.ask('GET', '/no-route')), 404)
  second.socket.destroy()
}, 50_000_000, {}, 2))

// Guards against an upload that is held in memory for an upstream that reads slowly, and against a second sending of it.
test('an upload to an upstream that reads nothing stops being read, and is not repeated', async () => {
  const connections: Socket[] = []
  const slow = createServer({ pauseOnConnect: true }, (socket) => connections.push(socket.on('error', () => {})))
  await new Promise<void>((resolve) => slow.listen(0, '127.0.0.1', resolve))
  const { port } = slow.address() as AddressInfo
  await withHeld(async ({ fixture, limiter }) => {
    const { socket, received } = connectTo(fixture)
    socket.write(`PUT /ledger/1 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Content-Length: ${UPLOAD_BYTES}\r\n\r\n`)
    for (let sent = 0; sent < UPLOAD_BYTES; sent += PART.length) socket.write(PART)
    await until(() => connections.length === 1)
    let before = -1
    while (before !== socket.bytesWritten - socket.writableLength) {
      before = socket.bytesWritten - socket.writableLength
      await pause(300)
    }
    assert.ok(before < MAXIMUM_SYSTEM_BUFFER_BYTES, `${before} bytes were taken`)
    assert.ok(limiter.budget.heldBytes < 400_000, `${limiter.budget.heldBytes} bytes are held`)
    connections[0]?.resetAndDestroy()
    await until(() => statusOf(received()) !== 0)
    assert.is(statusOf(received()), 502)
    assert.is(connections.length, 1)
    socket.destroy()
  }, 50_000_000, { addresses: [`127.0.0.1:${port}`] })
  await new Promise((resolve) => slow.close(resolve))
})

// Guards against a large response that is held in memory for a caller that reads slowly.
test('a large response is taken from its upstream only as fast as its caller reads', async () => {
  let taken = 0
  const large = await RawUpstream.create((socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\n`)
    for (let sent = 0; sent < UPLOAD_BYTES; sent += PART.length) socket.write(PART, () => { taken += PART.length })
  })
  await withHeld(async ({ fixture, limiter }) => {
    const socket = createConnection(fixture.port, '127.0.0.1')
    socket.pause()
    socket.write(get('/ledger/1'))
    await until(() => limiter.budget.heldBytes > 65_536)
    let before = -1
    while (before !== taken) {
      before = taken
      await pause(300)
    }
    assert.ok(taken < MAXIMUM_SYSTEM_BUFFER_BYTES, `${taken} bytes were taken`)
    assert.ok(limiter.budget.heldBytes < 400_000, `${limiter.budget.heldBytes} bytes are held`)
    let bytes = 0
    socket.on('data', (chunk) => { bytes += chunk.length })
    socket.resume()
    await until(() => bytes > UPLOAD_BYTES, 20_000)
    await until(() => limiter.requests === 0)
    socket.destroy()
  }, 50_000_000, { addresses: [large.address] })
  await large.close()
})

test.run()

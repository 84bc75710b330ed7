import { createConnection, type Socket } from 'node:net'
import { okResponse, RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CallerLimits } from '../caller-settings.ts'
import { AUTHORIZED, CallerFixture, until } from './caller-fixture.ts'

const DRAIN = { announceMilliseconds: 20, finishMilliseconds: 3_000 }
const BUFFERED_BODY_BYTES = 60_000
const PIPELINED_REQUESTS = 180
const HEADERS_TIMEOUT_MILLISECONDS = 100
/** More than the operating system buffers for a caller that reads nothing. */
const MINIMUM_UNREAD_BYTES = 8_000_000

function get (path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}${headers}\r\n`
}

/** An upstream whose responses are released by the test, by path. */
class HeldUpstream {
  private readonly held = new Map<string, Socket>()

  private constructor (readonly upstream: RawUpstream) {}

  static async create (): Promise<HeldUpstream> {
    const holder: { held?: HeldUpstream } = {}
    const upstream = await RawUpstream.create((socket, request) => holder.held?.held.set(request.split(' ')[1] as string, socket))
    holder.held = new HeldUpstream(upstream)
    return holder.held
  }

  get paths (): string[] {
    return [...this.held.keys()].sort()
  }

  /** Sends the response of a path, with the path as its body. */
  release (path: string): void {
    this.held.get(path)?.write(okResponse(path))
  }

  async untilReached (...paths: string[]): Promise<void> {
    await until(() => paths.every((path) => this.held.has(path)))
  }
}

async function withHeldUpstream (use: (fixture: CallerFixture, held: HeldUpstream) => Promise<void>, limits: Partial<CallerLimits> = {}): Promise<void> {
  const held = await HeldUpstream.create()
  const routes = [{ path: '/ledger', timeout_milliseconds: 9_000, idempotent: true }]
  const fixture = await CallerFixture.create({ addresses: [held.upstream.address], routes, limits })
  try {
    await use(fixture, held)
  } finally {
    await Promise.all([fixture.close(), held.upstream.close()])
  }
}

/** Status lines, and whether each response closes its connection. */
function responsesIn (received: string): { status: number, closes: boolean }[] {
  return received.split(/(?=HTTP\/1\.1 \d{3} )/).filter((part) => part !== '').map((part) => ({
    status: Number(part.slice(9, 12)), closes: /\r\nConnection: close\r\n/i.test(part)
  }))
}

/** Responses with a Content-Length that are complete. */
function wholeResponsesIn (received: string): { status: number, bytes: number }[] {
  const found: { status: number, bytes: number }[] = []
  for (let start = 0; ;) {
    const head = received.indexOf('\r\n\r\n', start)
    if (head === -1) return found
    const bytes = Number(/\r\nContent-Length: (\d+)/i.exec(received.slice(start, head))?.[1])
    if (received.length < head + 4 + bytes) return found
    found.push({ status: Number(received.slice(start + 9, start + 12)), bytes })
    start = head + 4 + bytes
  }
}

// Guards against a stop that closes a connection behind a response although a request sent after it is at an upstream (LOST).
test('a stop answers every request of a connection that is at an upstream, and closes the connection behind the last', () => withHeldUpstream(async (fixture, held) => {
  const received = fixture.raw(get('/ledger/1') + get('/ledger/2') + get('/ledger/3'), 4_000)
  await held.untilReached('/ledger/1', '/ledger/2', '/ledger/3')
  const drained = fixture.server.drain(DRAIN)
  held.release('/ledger/1')
  await new Promise((resolve) => setTimeout(resolve, 100))
  held.release('/ledger/3')
  held.release('/ledger/2')
  assert.equal(responsesIn(await received), [{ status: 200, closes: false }, { status: 200, closes: false }, { status: 200, closes: true }])
  assert.is((await drained).lost.length, 0)
}))

// Guards against a request that runs although its connection closes in front of it: its caller sends it once more (TWICE).
test('a request that a stopping entry reads behind another one is not run', () => withHeldUpstream(async (fixture, held) => {
  const socket = createConnection(fixture.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => { received += chunk.toString() })
  const closed = new Promise((resolve) => socket.once('close', resolve))
  socket.write(get('/ledger/1'))
  await held.untilReached('/ledger/1')
  const drained = fixture.server.drain({ ...DRAIN, announceMilliseconds: 400 })
  socket.write(get('/ledger/2'))
  await new Promise((resolve) => setTimeout(resolve, 150))
  held.release('/ledger/1')
  await closed
  assert.equal(held.paths, ['/ledger/1'])
  assert.equal(responsesIn(received), [{ status: 200, closes: true }])
  await drained
}))

// Guards against a stop that counts a response as sent once it is buffered, and cuts off what a slow caller has not read (LOST).
test('a stop waits until the responses of a slow caller have left the process', async () => {
  const body = 'x'.repeat(BUFFERED_BODY_BYTES)
  const upstreams = await Promise.all(Array.from({ length: 3 }, async () => await RawUpstream.create((socket) => socket.write(okResponse(body)))))
  const routes = [{ path: '/ledger', timeout_milliseconds: 9_000, idempotent: true }]
  const limits = { maximumPipelinedRequests: PIPELINED_REQUESTS, maximumUnsentBytes: Infinity }
  const fixture = await CallerFixture.create({ addresses: upstreams.map(({ address }) => address), routes, limits })
  const socket = createConnection(fixture.port, '127.0.0.1')
  socket.pause()
  socket.write(get('/ledger/1').repeat(PIPELINED_REQUESTS))
  await until(() => fixture.records.length === PIPELINED_REQUESTS)
  const drained = fixture.server.drain(DRAIN)
  await new Promise((resolve) => setTimeout(resolve, 200))
  const chunks: Buffer[] = []
  socket.on('data', (chunk) => { chunks.push(chunk) })
  socket.resume()
  await new Promise((resolve) => socket.once('close', resolve))
  const statuses = fixture.records.map(({ status }) => status)
  // On a busy machine connections to the upstreams may be made too slowly for so many requests.
  assert.equal(fixture.records.filter(({ code }) => !['answered', 'overloaded', 'upstream_unreachable'].includes(code)), [])
  const expected = statuses.filter((status) => status === 200).length
  const whole = wholeResponsesIn(Buffer.concat(chunks).toString())
  assert.is(whole.length, PIPELINED_REQUESTS)
  assert.is(whole.filter(({ status, bytes }) => status === 200 && bytes === BUFFERED_BODY_BYTES).length, expected)
  assert.ok(expected * BUFFERED_BODY_BYTES > MINIMUM_UNREAD_BYTES, `${expected} responses have the body of an upstream`)
  await drained
  await Promise.all([fixture.close(), ...upstreams.map(async (upstream) => await upstream.close())])
})

// Guards against bytes behind a request that cost the request its response.
for (const [what, bytes] of [
  ['bytes that are no request', 'garbage\r\n\r\n'],
  ['a head that is refused', 'GET /ledger/2 HTTP/1.1\r\n\r\n'],
  ['an upgrade', get('/ledger/2', 'Connection: upgrade\r\nUpgrade: websocket\r\n')],
  ['a tunnel', 'CONNECT somewhere:80 HTTP/1.1\r\nHost: somewhere:80\r\n\r\n']
] as const) {
  test(`a request at an upstream is answered although ${what} follows it on its connection`, () => withHeldUpstream(async (fixture, held) => {
    const received = fixture.raw(get('/ledger/1') + bytes, 3_000)
    await held.untilReached('/ledger/1')
    await new Promise((resolve) => setTimeout(resolve, 50))
    held.release('/ledger/1')
    const responses = responsesIn(await received)
    assert.is(responses[0]?.status, 200)
    assert.is(responses.length, 2)
    assert.ok((responses[1]?.status ?? 0) >= 400 && responses[1]?.closes)
  }))
}

test('a request whose body is not valid is refused behind the responses of those before it, and its connection is closed', () => withHeldUpstream(async (fixture, held) => {
  const broken = `POST /ledger/2 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Transfer-Encoding: chunked\r\n\r\nno size\r\n`
  const received = fixture.raw(get('/ledger/1') + broken, 3_000)
  await held.untilReached('/ledger/1')
  await new Promise((resolve) => setTimeout(resolve, 50))
  held.release('/ledger/1')
  assert.equal(responsesIn(await received), [{ status: 200, closes: false }, { status: 400, closes: true }])
}))

// Guards against a second response to a request, which would be taken for the response to the next one.
test('a body that goes wrong behind its response gets no second response', () => withHeldUpstream(async (fixture) => {
  const refused = `POST /nowhere HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Transfer-Encoding: chunked\r\n\r\n`
  const socket = createConnection(fixture.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => { received += chunk.toString() })
  socket.write(refused)
  await until(() => received.includes('\r\n\r\n'))
  socket.write('no size\r\n')
  await new Promise((resolve) => socket.once('close', resolve))
  assert.is(responsesIn(received).length, 1)
}))

test('a request behind a head that is refused is not run', () => withHeldUpstream(async (fixture, held) => {
  const responses = responsesIn(await fixture.raw('GET /ledger/1 HTTP/1.1\r\n\r\n' + get('/ledger/2'), 1_000))
  assert.equal(responses, [{ status: 400, closes: true }])
  assert.equal(held.paths, [])
}))

// Guards against a request that runs although the refusal of its late head is due, and a refusal that nobody asked for behind its response (TWICE, MIXED).
test('a request whose head comes too late behind another one is refused and not run', () => withHeldUpstream(async (fixture, held) => {
  const socket = createConnection(fixture.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => { received += chunk.toString() })
  const closed = new Promise((resolve) => socket.once('close', resolve))
  const late = get('/ledger/2')
  socket.write(get('/ledger/1') + late.slice(0, 10))
  await held.untilReached('/ledger/1')
  await new Promise((resolve) => setTimeout(resolve, 10 * HEADERS_TIMEOUT_MILLISECONDS))
  socket.write(late.slice(10))
  await new Promise((resolve) => setTimeout(resolve, HEADERS_TIMEOUT_MILLISECONDS))
  held.release('/ledger/1')
  await closed
  assert.equal(responsesIn(received), [{ status: 200, closes: false }, { status: 408, closes: true }])
  assert.equal(held.paths, ['/ledger/1'])
}, { headersTimeoutMilliseconds: HEADERS_TIMEOUT_MILLISECONDS }))

// Guards against requests that go on without their caller, as Node.js reports the end of a connection only to the response being sent (GONE, memory).
test('all requests of a connection are cancelled when their caller leaves', () => withHeldUpstream(async (fixture, held) => {
  const socket = createConnection(fixture.port, '127.0.0.1')
  socket.write(get('/ledger/1') + get('/ledger/2') + get('/ledger/3'))
  await held.untilReached('/ledger/1', '/ledger/2', '/ledger/3')
  socket.destroy()
  await until(() => fixture.runner.running.length === 0, 1_000)
  await until(() => held.upstream.closedConnections === 3, 1_000)
}))

test.run()

import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import type { Duplex } from 'node:stream'
import { ConnectFailure, DirectConnector, type Connector, type OpenConnection } from '@hickoryspoke/request/connector'
import { connectThroughRelay } from '@hickoryspoke/request/relay-client'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import { exchange } from '@hickoryspoke/request/upstream-exchange'
import { SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { RawUpstream, okResponse, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { Err } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ConnectionRelay } from '../connection-relay.ts'
import { freeAddress } from './relay-fixture.ts'

const clock = SystemClock.create()
const CONNECT_TIMEOUT_MILLISECONDS = 5_000
const RESET_DELAY_MILLISECONDS = 20
const POLL_MILLISECONDS = 5
const neverAborted = new AbortController().signal

interface Fixture {
  readonly relay: ConnectionRelay
  readonly address: string
  readonly upstream: RawUpstream
}

interface RelayChanges {
  readonly connector?: Connector
  readonly isReaching?: boolean
  readonly isUnwanted?: boolean
}

/** Runs a check with a relay and one upstream that it knows. */
async function withRelay (script: UpstreamScript, check: (fixture: Fixture) => Promise<void>, changes: RelayChanges = {}) {
  const upstream = await RawUpstream.create(script)
  const relay = ConnectionRelay.create({
    clock,
    logger: silentLogger(),
    connector: changes.connector ?? DirectConnector.create(clock, CONNECT_TIMEOUT_MILLISECONDS),
    isUpstream: (address) => address === upstream.address,
    isUnwanted: () => changes.isUnwanted ?? false,
    isReaching: () => changes.isReaching ?? true
  })
  const address = await freeAddress()
  relay.listen(address)
  await waitUntil(() => relay.isAvailable || changes.isReaching === false)
  await check({ relay, address, upstream })
  relay.close()
  await upstream.close()
}

async function waitUntil (isMet: () => boolean): Promise<void> {
  while (!isMet()) await sleep(clock, POLL_MILLISECONDS)
}

/** What carries requests and responses of a connection. */
function streamOf ({ relayed, socket }: OpenConnection): Duplex {
  return relayed ?? socket
}

/** Number of relayed connections that do not end. */
async function connectionsLeft (relay: ConnectionRelay): Promise<number> {
  const until = clock.monotonicMilliseconds() + CONNECT_TIMEOUT_MILLISECONDS
  while (relay.connections > 0 && clock.monotonicMilliseconds() < until) await sleep(clock, POLL_MILLISECONDS)
  return relay.connections
}

/** Sends one request through the relay and returns the response body or the failure code. */
async function requestThrough ({ address, upstream }: Fixture): Promise<string> {
  const connections = UpstreamConnections.create(clock, {}, { connect: async (target, signal) => await connectThroughRelay(address, target, signal) })
  const request = {
    address: upstream.address, method: 'POST', path: '/', headers: ['host', 'a'], body: Buffer.from('x'.repeat(100_000)), maximumIdleMilliseconds: 0, acceptsCloseDelimited: true
  }
  const head = await exchange(clock, connections, request, neverAborted)
  const whole = head.isOk() ? await head.value.whole : head
  const text = head.isOk() && whole.isOk() ? head.value.bufferedBody().toString() : whole.unwrapErr().code
  connections.close()
  return text
}

const writeThenReset = (text: string): UpstreamScript => (socket) => {
  socket.write(text)
  setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MILLISECONDS)
}

for (const [name, script, expected] of [
  ['a response with a length', (socket: Socket) => socket.write(okResponse('served')), 'served'],
  ['a response that ends with its connection', (socket: Socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nall of it'), 'all of it'],
  ['a response without a length that is reset', writeThenReset('HTTP/1.1 200 OK\r\n\r\npart of'), 'truncated_answer'],
  ['a response with a length that is reset', writeThenReset('HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart of'), 'truncated_answer'],
  ['a reset without a response', (socket: Socket) => socket.resetAndDestroy(), 'closed_after_sending'],
  ['a close without a response', (socket: Socket) => socket.end(), 'closed_after_sending']
] as const) {
  test(`through a relay, ${name} looks the same as without one`, async () => {
    await withRelay(script, async (fixture) => assert.is(await requestThrough(fixture), expected))
  })
}

test('an upstream learns through a relay that its caller has left', async () => {
  await withRelay(() => {}, async ({ address, upstream, relay }) => {
    const opened = (await connectThroughRelay(address, upstream.address, neverAborted)).unwrap()
    const stream = streamOf(opened)
    stream.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    await waitUntil(() => upstream.requests.length === 1)
    stream.destroy()
    await waitUntil(() => upstream.closedConnections === 1)
    await waitUntil(() => relay.connections === 0)
  })
})

const failureOf = async ({ address, upstream }: Fixture, target = upstream.address): Promise<string> => {
  return (await connectThroughRelay(address, target, neverAborted)).unwrapErr().code
}

test('a relay refuses destinations that are not upstreams', async () => {
  await withRelay(() => {}, async (fixture) => assert.is(await failureOf(fixture, '127.0.0.1:1'), 'relay_unavailable'))
})

test('a relay that has lost its own links says that it does not relay', async () => {
  await withRelay(() => {}, async (fixture) => assert.is(await failureOf(fixture), 'relay_unavailable'), { isReaching: false })
})

test('a relay that cannot connect either says so', async () => {
  const connector: Connector = { connect: async () => Err(ConnectFailure.create('connect_timeout', 'dark')) }
  await withRelay(() => {}, async (fixture) => assert.is(await failureOf(fixture), 'upstream_unreachable'), { connector })
})

// Guards against requests of other entries that reach an upstream from an entry which was told that it wants none (DRAIN, BUDGET).
test('a relay does not connect to an upstream that told its entry that it wants no requests', async () => {
  await withRelay(() => {}, async (fixture) => {
    assert.is(await failureOf(fixture), 'upstream_unreachable')
    assert.is(fixture.upstream.connections, 0)
  }, { isUnwanted: true })
})

// Guards against requests to an upstream that told the relaying entry meanwhile that it leaves (DRAIN).
test('a relay does not use a connection to an upstream that wants no requests once it is connected', async () => {
  const state = { isUnwanted: false }
  const direct = DirectConnector.create(clock, CONNECT_TIMEOUT_MILLISECONDS)
  const connector: Connector = {
    connect: async (target, signal) => {
      const opened = await direct.connect(target, signal)
      state.isUnwanted = true
      return opened
    }
  }
  await withRelay((socket) => socket.write(okResponse('x')), async (fixture) => {
    assert.is(await requestThrough(fixture), 'connect_refused')
    assert.is(fixture.upstream.requests.length, 0)
  }, { connector, get isUnwanted () { return state.isUnwanted } })
})

test('a relay that is not there is unavailable', async () => {
  assert.is((await connectThroughRelay(await freeAddress(), '127.0.0.1:1', neverAborted)).unwrapErr().code, 'relay_unavailable')
})

// Guards against requests that are cut off by the planned stop of the entry that relays them (LOST).
test('a relay that stops accepts no more connections and waits for those it has', async () => {
  const waiting: Socket[] = []
  await withRelay((socket) => { waiting.push(socket) }, async (fixture) => {
    const answer = requestThrough(fixture)
    await waitUntil(() => waiting.length === 1)
    let isDrained = false
    const drained = fixture.relay.drain(CONNECT_TIMEOUT_MILLISECONDS).then(() => { isDrained = true })
    assert.is(await failureOf(fixture), 'relay_unavailable')
    assert.is(isDrained, false)
    waiting[0]?.end(okResponse('served'))
    assert.is(await answer, 'served')
    await drained
  })
})

const ANSWER_BYTES = 4_000_000
const BODY_CHUNK = 'x'.repeat(65_536)
const READING_PAUSE_MILLISECONDS = 200

/** Opens a connection through the relay and sends a body until the other side ends. The upstream's script runs after the head. */
async function sendWithoutEnd ({ address, upstream }: Fixture): Promise<Duplex> {
  const socket = streamOf((await connectThroughRelay(address, upstream.address, neverAborted)).unwrap())
  socket.on('error', () => {})
  socket.write('POST / HTTP/1.1\r\nHost: a\r\n\r\n')
  let isEnded = false
  const send = (): void => {
    if (isEnded) return
    if (socket.writableNeedDrain) socket.once('drain', send)
    else socket.write(BODY_CHUNK, () => setImmediate(send))
  }
  socket.on('end', () => { isEnded = true }).on('close', () => { isEnded = true })
  send()
  return socket
}

/** Reads all bytes of a connection after a pause, in which the operating system's buffers fill up. */
async function readAfterPause (socket: Duplex): Promise<string> {
  await sleep(clock, READING_PAUSE_MILLISECONDS)
  let text = ''
  socket.on('data', (chunk: Buffer) => { text += chunk.toString('latin1') })
  await Promise.race([once(socket, 'end'), once(socket, 'close')])
  socket.destroy()
  return text
}

// Guards against relayed connections that are never closed, since the rest of a request body is no longer read once the
// upstream has answered and closed: each holds two descriptors, and a stop waits for it until its time is up (LOST).
test('through a relay, an answer that comes before the end of the request body arrives whole, and the connection ends', async () => {
  const answer = okResponse('y'.repeat(ANSWER_BYTES))
  const answerAndReadOn = (socket: Socket): void => { socket.removeAllListeners('data').resume().end(answer) }
  await withRelay(answerAndReadOn, async (fixture) => {
    const text = await readAfterPause(await sendWithoutEnd(fixture))
    assert.is(text.length, answer.length)
    assert.is(await connectionsLeft(fixture.relay), 0)
  })
})

// Guards against relayed connections that are never closed, since the other entry left before the upstream was connected.
test('a relay closes the connection to an upstream if the other entry has left meanwhile', async () => {
  const direct = DirectConnector.create(clock, CONNECT_TIMEOUT_MILLISECONDS)
  let goOn = (): void => {}
  let isAsked = false
  const hasLeft = new Promise<void>((resolve) => { goOn = resolve })
  const connector: Connector = {
    connect: async (address, signal) => {
      isAsked = true
      await hasLeft
      return await direct.connect(address, signal)
    }
  }
  await withRelay(() => {}, async ({ address, upstream, relay }) => {
    const leaving = new AbortController()
    const opened = connectThroughRelay(address, upstream.address, leaving.signal)
    await waitUntil(() => isAsked)
    leaving.abort()
    assert.is((await opened).unwrapErr().code, 'connect_aborted')
    await sleep(clock, RESET_DELAY_MILLISECONDS)
    goOn()
    await sleep(clock, RESET_DELAY_MILLISECONDS)
    assert.is(await connectionsLeft(relay), 0)
    assert.is(upstream.closedConnections, upstream.connections)
  }, { connector })
})

// Guards against requests that another entry still sends on a kept connection when the entry that relays it ends (LOST).
test('a relay that stops gets rid of a connection that another entry keeps using', async () => {
  await withRelay((socket) => socket.write(okResponse('served')), async ({ address, upstream, relay }) => {
    const connections = UpstreamConnections.create(clock, {}, { connect: async (target, signal) => await connectThroughRelay(address, target, signal) })
    const request = { address: upstream.address, method: 'GET', path: '/', headers: ['host', 'a'], body: null, maximumIdleMilliseconds: CONNECT_TIMEOUT_MILLISECONDS }
    const ask = async (): Promise<boolean> => {
      const head = await exchange(clock, connections, request, neverAborted)
      return head.isOk() && (await head.value.whole).isOk()
    }
    assert.ok(await ask())
    const stop = { isDrained: false }
    void relay.drain(CONNECT_TIMEOUT_MILLISECONDS).then(() => { stop.isDrained = true })
    while (!stop.isDrained) {
      await ask()
      await sleep(clock, POLL_MILLISECONDS)
    }
    assert.is(relay.connections, 0)
    connections.close()
  })
})

// Guards against a part of a response that looks complete, as it ends with its connection, and a relay that ends closes that in order (MIXED).
test('a relay that ends resets the connections that are still open', async () => {
  await withRelay((socket) => socket.write('HTTP/1.1 200 OK\r\n\r\npart of'), async ({ address, upstream, relay }) => {
    const socket = streamOf((await connectThroughRelay(address, upstream.address, neverAborted)).unwrap())
    let received = ''
    let code: string | undefined
    socket.on('data', (chunk) => { received += String(chunk) })
    socket.on('error', (error: NodeJS.ErrnoException) => { code = error.code })
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    await waitUntil(() => received.endsWith('part of'))
    const closed = new Promise((resolve) => socket.once('close', resolve))
    relay.close()
    await closed
    assert.is(code, 'ECONNRESET')
  })
})

test('a request that is not a CONNECT is answered with 404', async () => {
  await withRelay(() => {}, async ({ address }) => {
    const [host, port] = address.split(':') as [string, string]
    const socket = connect(Number(port), host)
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    const [chunk] = await once(socket, 'data') as [Buffer]
    assert.ok(chunk.toString().startsWith('HTTP/1.1 404'))
    socket.destroy()
  })
})

test.run()

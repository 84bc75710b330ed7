/** What the end of a relaying entry means for the responses and requests that it relays. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { Readable } from 'node:stream'
import { RawUpstream, okResponse, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { until } from './caller-fixture.ts'
import { requestThroughRelay, startEarlierRelay, startRelayProcess, type TestRelay } from './relay-fixture.ts'

const HEAD = 'HTTP/1.1 200 OK\r\n'
const PIECE_MILLISECONDS = 20
const LONG_BODY_BYTES = 2_000_000

/** Runs a check with one upstream and a relay to it in a process of its own. */
async function withRelayProcess (script: UpstreamScript, check: (relay: TestRelay, upstream: RawUpstream) => Promise<void>): Promise<void> {
  const upstream = await RawUpstream.create(script)
  const relay = await startRelayProcess(upstream.address)
  await check(relay, upstream)
  await relay.end('SIGKILL')
  await upstream.close()
}

// Guards against a part of a response that looks complete, since the operating system closes the connections of a relay that ends in order (MIXED).
for (const signal of ['SIGKILL', 'SIGTERM'] as const) {
  for (const [name, begin] of [
    ['without a length', `${HEAD}\r\npart of`],
    ['without a length on a connection that closes', `${HEAD}Connection: close\r\n\r\npart of`],
    ['whose transfer coding is not chunked', `${HEAD}Transfer-Encoding: gzip\r\n\r\npart of`],
    ['with a length', `${HEAD}Content-Length: 20\r\n\r\npart of`],
    ['in chunks on a connection that closes', `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npart of\r\n`]
  ] as const) {
    test(`a response ${name} is incomplete if the relay ends by ${signal} in the middle of it`, async () => {
      const upstream = await RawUpstream.create((socket) => socket.write(begin))
      const relay = await startRelayProcess(upstream.address)
      const outcome = requestThroughRelay(relay.address, upstream.address)
      await until(() => upstream.requests.length === 1)
      await new Promise((resolve) => setTimeout(resolve, PIECE_MILLISECONDS))
      await relay.end(signal)
      assert.equal(await outcome, { failure: 'truncated_answer' })
      await upstream.close()
    })
  }
}

test('a response without a length that arrives in pieces is complete once its upstream has ended it', async () => {
  const pieces = (socket: Socket): void => {
    socket.write(`${HEAD}\r\nall`)
    setTimeout(() => socket.write(' of'), PIECE_MILLISECONDS)
    setTimeout(() => socket.end(' it'), 2 * PIECE_MILLISECONDS)
  }
  await withRelayProcess(pieces, async (relay, upstream) => {
    assert.equal(await requestThroughRelay(relay.address, upstream.address), { body: 'all of it' })
  })
})

test('a long response without a length arrives whole', async () => {
  const body = 'y'.repeat(LONG_BODY_BYTES)
  await withRelayProcess((socket) => socket.end(`${HEAD}\r\n${body}`), async (relay, upstream) => {
    const outcome = await requestThroughRelay(relay.address, upstream.address)
    assert.is(outcome.body?.length, body.length)
  })
})

// Guards against half of a request body that an upstream takes for the whole one.
test('an upstream gets no end of a request body whose relay ends in the middle of it', async () => {
  let received = ''
  let isClosed = false
  const server = createServer((socket) => {
    socket.on('data', (chunk) => { received += chunk.toString('latin1') })
    socket.on('error', () => {}).on('close', () => { isClosed = true })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const upstream = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const relay = await startRelayProcess(upstream)
  const body = new Readable({ read: () => {} })
  body.push('half of')
  const outcome = requestThroughRelay(relay.address, upstream, { method: 'POST', body })
  await until(() => received.includes('half of'))
  await relay.end('SIGKILL')
  await until(() => isClosed)
  assert.match(received, /\r\ntransfer-encoding: chunked\r\n/)
  assert.not.match(received, /0\r\n\r\n$/)
  assert.equal(await outcome, { failure: 'closed_after_sending' })
  server.close()
})

// A relay of an earlier version does not say how the upstream ended, so what has no other end than that is refused at once.
test('a response without a length through a relay of an earlier version is refused, one with a length is served', async () => {
  for (const [response, expected] of [
    [`${HEAD}\r\nall of it`, { failure: 'unframed_answer' }],
    [okResponse('served'), { body: 'served' }]
  ] as const) {
    const upstream = await RawUpstream.create((socket) => socket.end(response))
    const relay = await startEarlierRelay(upstream.address)
    assert.equal(await requestThroughRelay(relay.address, upstream.address), expected)
    await relay.end('SIGKILL')
    await upstream.close()
  }
})

test('an entry of an earlier version gets the bytes of the upstream as they are', async () => {
  await withRelayProcess((socket) => socket.end(okResponse('served')), async (relay, upstream) => {
    const [host = '', port] = relay.address.split(':')
    const socket = connect(Number(port), host)
    let received = ''
    socket.on('data', (chunk) => { received += chunk.toString('latin1') })
    socket.write(`CONNECT ${upstream.address} HTTP/1.1\r\nHost: a\r\n\r\n`)
    await until(() => received.endsWith('\r\n\r\n'))
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    await once(socket, 'end')
    assert.is(received, `HTTP/1.1 200 Connection Established\r\n\r\n${okResponse('served')}`)
  })
})

test.run()

import { createServer, type Server, type ServerResponse } from 'node:http'
import { createConnection, type AddressInfo } from 'node:net'
import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture, codeOf, headerOf, statusOf } from './caller-fixture.ts'

const LARGE_BYTES = 200 * 1024 * 1024
const BUFFERED_BYTES_LIMIT = 8 * 1024 * 1024

async function withAnswer (answer: string, use: (fixture: CallerFixture, upstream: RawUpstream) => Promise<void>): Promise<void> {
  const upstream = await RawUpstream.create((socket) => { socket.write(answer) })
  const fixture = await CallerFixture.create({ addresses: [upstream.address] })
  await use(fixture, upstream)
  await Promise.all([fixture.close(), upstream.close()])
}

async function startServer (handler: (response: ServerResponse, url: string) => void): Promise<{ server: Server, address: string }> {
  const server = createServer((request, response) => {
    request.resume().on('end', () => handler(response, request.url ?? ''))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

const BODYLESS: readonly [name: string, method: string, answer: string, status: number, length: string | undefined][] = [
  ['HEAD keeps the length without a body', 'HEAD', 'HTTP/1.1 200 OK\r\nContent-Length: 500\r\nConnection: keep-alive\r\n\r\n', 200, '500'],
  ['204 has no body and no length', 'GET', 'HTTP/1.1 204 No Content\r\n\r\n', 204, undefined],
  ['304 has no body', 'GET', 'HTTP/1.1 304 Not Modified\r\nETag: "a"\r\n\r\n', 304, undefined],
  ['an interim response is skipped', 'GET', `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${okResponse('whole')}`, 200, '5']
]

for (const [name, method, answer, status, length] of BODYLESS) {
  test(name, () => withAnswer(answer, async (fixture) => {
    const got = await fixture.ask(method, '/ledger')
    assert.equal([statusOf(got), headerOf(got, 'Content-Length')], [status, length])
    assert.is(got.split('\r\n\r\n')[1], status === 200 && method === 'GET' ? 'whole' : '')
  }))
}

test('trailers of a chunked response are forwarded, except headers reserved to the fleet', async () => {
  const answer = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 7\r\nHickoryspoke-Run: not-run\r\n\r\n'
  await withAnswer(answer, async (fixture) => {
    const got = await fixture.ask('GET', '/ledger')
    assert.match(got, /3\r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n$/)
  })
})

test('an upstream cannot set the headers of the fleet', async () => {
  await withAnswer(okResponse('ok', 'Hickoryspoke-Run: not-run\r\nHickoryspoke-Request: forged\r\nKeep-Alive: timeout=1\r\n'), async (fixture) => {
    const got = await fixture.ask('GET', '/ledger')
    assert.is(headerOf(got, 'Hickoryspoke-Run'), undefined)
    assert.match(headerOf(got, 'Hickoryspoke-Request') ?? '', /^[0-9a-f]{24}$/)
  })
})

test('100 Continue is sent only if the request may run', async () => {
  await withAnswer(okResponse('ok'), async (fixture, upstream) => {
    const expecting = `POST /ledger HTTP/1.1\r\nHost: e\r\n${AUTHORIZED}Expect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\n`
    const accepted = await fixture.raw(`${expecting}ab`)
    assert.match(accepted, /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK/)
    assert.not.match(upstream.requests[0] ?? '', /expect/i)
    const refused = await fixture.raw(expecting.replace(AUTHORIZED, ''), 300)
    assert.is(statusOf(refused), 401)
  })
})

test('pipelined requests are answered in order, even if the first response arrives last', async () => {
  const { server, address } = await startServer((response, url) => {
    setTimeout(() => response.end(`for ${url}`), url === '/ledger/1' ? 120 : 1)
  })
  const fixture = await CallerFixture.create({ addresses: [address] })
  const one = (path: string, more = ''): string => `GET ${path} HTTP/1.1\r\nHost: e\r\n${AUTHORIZED}${more}\r\n`
  const got = await fixture.raw(one('/ledger/1') + one('/ledger/2') + one('/ledger/3', 'Connection: close\r\n'))
  assert.equal(got.match(/for \/ledger\/\d/g), ['for /ledger/1', 'for /ledger/2', 'for /ledger/3'])
  await fixture.close()
  server.close()
})

test('after a response that timed out, the next request gets its own response', async () => {
  const { server, address } = await startServer((response, url) => {
    if (url !== '/ledger/slow') response.end(`for ${url}`)
    else setTimeout(() => response.end('late answer'), 450)
  })
  const fixture = await CallerFixture.create({ addresses: [address] })
  const slow = fixture.ask('POST', '/ledger/slow')
  assert.is(codeOf(await slow), 'upstream_timeout')
  for (let turn = 0; turn < 5; turn += 1) assert.match(await fixture.ask('GET', `/ledger/${turn}`), new RegExp(`for /ledger/${turn}$`))
  await fixture.close()
  server.close()
})

test('a large response to a slow caller applies backpressure to the upstream, with bounded memory', async () => {
  let written = 0
  const { server, address } = await startServer((response) => {
    response.writeHead(200, { 'Content-Length': LARGE_BYTES })
    const piece = Buffer.alloc(65_536)
    const more = (): void => {
      while (written < LARGE_BYTES) {
        written += piece.length
        if (!response.write(piece)) {
          response.once('drain', more)
          return
        }
      }
      response.end()
    }
    more()
  })
  const fixture = await CallerFixture.create({ addresses: [address], routes: [{ path: '/ledger', timeout_milliseconds: 5000 }] })
  const socket = createConnection({ port: fixture.port, host: '127.0.0.1', readableHighWaterMark: 16_384 } as { port: number })
  socket.write(`GET /ledger HTTP/1.1\r\nHost: e\r\n${AUTHORIZED}Connection: close\r\n\r\n`)
  let received = 0
  await new Promise((resolve) => socket.once('readable', resolve))
  while (received === 0) received += (socket.read() as Buffer | null)?.length ?? 0
  await new Promise((resolve) => setTimeout(resolve, 200))
  const before = process.memoryUsage().arrayBuffers
  assert.ok(written < LARGE_BYTES / 2, `the upstream wrote ${written} bytes while the caller read nothing`)
  let most = 0
  socket.on('data', (chunk) => {
    received += chunk.length
    most = Math.max(most, process.memoryUsage().arrayBuffers - before)
  })
  await new Promise((resolve) => socket.once('close', resolve))
  assert.ok(received > LARGE_BYTES)
  assert.ok(most < BUFFERED_BYTES_LIMIT * 8, `${most} bytes more were held`)
  await fixture.close()
  server.close()
})

test('a drain finishes requests in flight and cuts off those that exceed the limit', async () => {
  const { server, address } = await startServer((response, url) => {
    setTimeout(() => response.end('done'), url === '/ledger/long' ? 5000 : 150)
  })
  const fixture = await CallerFixture.create({ addresses: [address], routes: [{ path: '/ledger', timeout_milliseconds: 9000 }] })
  const short = fixture.ask('POST', '/ledger/short')
  const long = fixture.ask('POST', '/ledger/long')
  const kept = fixture.raw(`GET /ledger/a HTTP/1.1\r\nHost: e\r\n${AUTHORIZED}\r\n`, 3000)
  while (fixture.runner.running.length < 3) await new Promise((resolve) => setImmediate(resolve))
  const report = await fixture.server.drain({ announceMilliseconds: 20, finishMilliseconds: 600 })
  assert.is(statusOf(await short), 200)
  assert.match(await kept, /Connection: close\r\n[^]*done$/)
  assert.is(await long, '')
  assert.equal([report.finished, report.lost.length], [2, 1])
  assert.is(fixture.runner.phase, 'stopped')
  await fixture.close()
  server.closeAllConnections()
  server.close()
})

test.run()

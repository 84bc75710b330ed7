/** Bodies in very many chunks of one byte on the server of an entry, without processes. */
import { createConnection, type Socket } from 'node:net'
import { okResponse, RawUpstream, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture, until } from './caller-fixture.ts'

const CHUNKS = 60_000
/** One in twenty. */
const MAXIMUM_PASSED_ON = CHUNKS / 20
const ROUTES = [{ path: '/ledger', timeout_milliseconds: 20_000, idempotent: true }]
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

const letter = (index: number): string => String.fromCharCode(97 + index % 23)
const textOf = (count: number): string => Array.from({ length: count }, (_, index) => letter(index)).join('')
const oneByteChunks = (count: number): string => Array.from({ length: count }, (_, index) => `1\r\n${letter(index)}\r\n`).join('')

interface Decoded {
  readonly body: string
  readonly chunks: number
  readonly rest: string
}

/** Reads a body in chunks from the start of a text; undefined if it is not complete. */
function decode (text: string): Decoded | undefined {
  const parts: string[] = []
  let at = 0
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at)
    if (lineEnd === -1) return undefined
    const length = Number.parseInt(text.slice(at, lineEnd), 16)
    const end = lineEnd + 2 + length + 2
    if (end > text.length) return undefined
    if (length === 0) return { body: parts.join(''), chunks: parts.length, rest: text.slice(end) }
    parts.push(text.slice(lineEnd + 2, end - 2))
    at = end
  }
}

const bodyOf = (message: string): Decoded | undefined => decode(message.slice(message.indexOf('\r\n\r\n') + 4))

interface Scene {
  readonly upstream: RawUpstream
  readonly socket: Socket
  readonly received: () => string
}

async function withCaller (script: UpstreamScript, use: (scene: Scene) => Promise<void>): Promise<void> {
  const upstream = await RawUpstream.create(script)
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes: ROUTES })
  const socket = createConnection(fixture.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => { received += chunk.toString('latin1') })
  socket.on('error', () => {})
  try {
    await use({ upstream, socket, received: () => received })
  } finally {
    socket.destroy()
    await Promise.all([fixture.close(), upstream.close()])
  }
}

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}\r\n`

// Guards against an entry that holds and writes each small chunk of a response by itself (LOST: out of memory).
test('a response whose small chunks arrive together is passed on whole, in few chunks', async () => {
  await withCaller((socket) => socket.write(`${CHUNKED_HEAD}${oneByteChunks(CHUNKS)}0\r\n\r\n`), async ({ socket, received }) => {
    socket.write(get('/ledger/1'))
    await until(() => bodyOf(received()) !== undefined, 20_000)
    const { body, chunks } = bodyOf(received()) as Decoded
    assert.ok(body === textOf(CHUNKS), 'the body is whole and in order')
    assert.ok(chunks <= MAXIMUM_PASSED_ON, `${chunks} chunks`)
  })
})

test('a response in small chunks behind another response is passed on whole, in few chunks', async () => {
  let first: Socket | undefined
  const script: UpstreamScript = (socket, request) => {
    if (request.startsWith('GET /ledger/first')) first = socket
    else socket.write(`${CHUNKED_HEAD}${oneByteChunks(CHUNKS)}0\r\n\r\n`)
  }
  await withCaller(script, async ({ socket, received, upstream }) => {
    socket.write(get('/ledger/first') + get('/ledger/second'))
    await until(() => upstream.requests.length === 2)
    first?.write(okResponse('first'))
    await until(() => bodyOf(received().slice(received().indexOf('first') + 5)) !== undefined, 20_000)
    const { body, chunks } = bodyOf(received().slice(received().indexOf('first') + 5)) as Decoded
    assert.ok(body === textOf(CHUNKS), 'the body is whole and in order')
    assert.ok(chunks <= MAXIMUM_PASSED_ON, `${chunks} chunks`)
  })
})

// Guards against joining that waits for more: here the next chunk is sent only once the one before has arrived.
test('small chunks of a response that come one by one are passed on one by one', async () => {
  let upstreamSocket: Socket | undefined
  const script: UpstreamScript = (socket) => { upstreamSocket = socket.setNoDelay(true) }
  await withCaller(script, async ({ socket, received }) => {
    socket.write(get('/ledger/1'))
    await until(() => upstreamSocket !== undefined)
    upstreamSocket?.write(CHUNKED_HEAD)
    for (let index = 0; index < 10; index += 1) {
      upstreamSocket?.write(`1\r\n${letter(index)}\r\n`)
      await until(() => received().endsWith(`1\r\n${letter(index)}\r\n`))
    }
  })
})

test.run()

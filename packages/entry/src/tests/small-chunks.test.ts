/** Bodies in very many chunks of one byte on the server of an entry, without processes. */
import { createConnection, type Socket } from 'node:net'
import { okResponse, RawUpstream, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture, until } from './caller-fixture.ts'

const CHUNKS = 60_000
/** Longer than what is buffered to be sent again. */
const UPLOAD_CHUNKS = 100_000
/** One in twenty. */
const MAXIMUM_PASSED_ON = CHUNKS / 20
const MAXIMUM_UPLOAD_PASSED_ON = UPLOAD_CHUNKS / 20
/** Pieces that one connection hands on in a turn of the event loop. */
const PIECES_PER_TURN = 512
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
const post = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Transfer-Encoding: chunked\r\n\r\n`

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

test('small chunks of a long upload that come one by one are passed on one by one', async () => {
  let sent = ''
  const script: UpstreamScript = () => {}
  await withCaller(script, async ({ socket, upstream }) => {
    socket.write(post('/ledger/1'))
    socket.write(`${(UPLOAD_CHUNKS).toString(16)}\r\n${'x'.repeat(UPLOAD_CHUNKS)}\r\n`)
    await until(() => upstream.sockets.size === 1)
    const [upstreamSocket] = upstream.sockets
    upstreamSocket?.on('data', (chunk) => { sent = (sent + chunk.toString('latin1')).slice(-100) })
    for (let index = 0; index < 10; index += 1) {
      socket.write(`1\r\n${letter(index)}\r\n`)
      await until(() => new RegExp(`1\r\n${letter(index)}(\r\n)?$`).test(sent))
    }
  })
})

// Guards against an upload whose small chunks are held, and sent on, one by one.
test('an upload whose small chunks arrive together is passed on whole, in few chunks', async () => {
  await withCaller((socket) => socket.write(okResponse('ok')), async ({ socket, upstream, received }) => {
    socket.write(`${post('/ledger/1')}${oneByteChunks(UPLOAD_CHUNKS)}0\r\n\r\n`)
    await until(() => received().endsWith('ok'), 20_000)
    const { body, chunks } = bodyOf(upstream.requests[0] ?? '') as Decoded
    assert.ok(body === textOf(UPLOAD_CHUNKS), 'the body is whole and in order')
    assert.ok(chunks <= MAXIMUM_UPLOAD_PASSED_ON, `${chunks} chunks`)
  })
})

test('requests behind an upload in small chunks are read as requests', async () => {
  await withCaller((socket, request) => socket.write(okResponse(request.split(' ')[1] ?? '')), async ({ socket, received }) => {
    const upload = `${oneByteChunks(5_000)}0\r\n\r\n`
    socket.write([1, 2, 3, 4, 5, 6].map((number) => `${post(`/ledger/${number}`)}${upload}`).join('') + get('/ledger/last'))
    await until(() => received().endsWith('/ledger/last'), 20_000)
    assert.equal([...received().matchAll(/\/ledger\/(last|\d)/g)].map((match) => match[1]), ['1', '2', '3', '4', '5', '6', 'last'])
  })
})

// Guards against an upload in very many pieces that is handled in few turns of the event loop, while nobody else is answered.
test('an upload in very many small chunks leaves turns of the event loop to others', async () => {
  let turns = 0
  let isOver = false
  const count = (): void => {
    turns += 1
    if (!isOver) setImmediate(count)
  }
  await withCaller((socket) => socket.write(okResponse('ok')), async ({ socket, received }) => {
    socket.write(`${post('/ledger/1')}${oneByteChunks(CHUNKS)}0\r\n\r\n`)
    await new Promise((resolve) => socket.once('connect', resolve))
    setImmediate(count)
    await new Promise<void>((resolve) => socket.on('data', () => { if (received().endsWith('ok')) resolve() }))
    isOver = true
  })
  assert.ok(turns >= CHUNKS / PIECES_PER_TURN / 2, `${turns} turns`)
})

test.run()

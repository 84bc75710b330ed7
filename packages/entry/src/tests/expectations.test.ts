/** Requests with `Expect: 100-continue` among others that were sent ahead on their connection. */
import { createConnection, type Socket } from 'node:net'
import { okResponse, RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture, until } from './caller-fixture.ts'
import { withUpstreams } from './scripted-upstreams.ts'

const ROUTES = [{ path: '/ledger', timeout_milliseconds: 9_000, idempotent: true }]
const EXPECTATION = 'Expect: 100-continue\r\n'
const BODY = 'Content-Length: 4\r\n\r\nlots'
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n'

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}\r\n`
const post = (path: string, rest: string): string => `POST ${path} HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}${rest}`

interface Scene {
  readonly upstream: RawUpstream
  readonly socket: Socket
  readonly received: () => string
  /** Answers the request to `/ledger/slow`, for which all others on its connection wait. */
  readonly release: () => void
}

interface Response {
  readonly status: number
  readonly closes: boolean
  readonly body: string
}

/** Reads all complete responses with a Content-Length. Informational ones count. */
function responsesIn (received: string): Response[] {
  const responses: Response[] = []
  for (let rest = received; rest.includes('\r\n\r\n');) {
    const headEnd = rest.indexOf('\r\n\r\n') + 4
    const head = rest.slice(0, headEnd)
    const length = Number(/\r\nContent-Length: (\d+)/i.exec(head)?.[1] ?? 0)
    if (rest.length < headEnd + length) break
    responses.push({ status: Number(head.slice(9, 12)), closes: /\r\nConnection: close\r\n/i.test(head), body: rest.slice(headEnd, headEnd + length) })
    rest = rest.slice(headEnd + length)
  }
  return responses
}

/** Each response has the path of its request as its body. */
async function withCaller (use: (scene: Scene) => Promise<void>): Promise<void> {
  let held: Socket | undefined
  const upstream = await RawUpstream.create((socket, request) => {
    const path = request.split(' ')[1] ?? ''
    if (path === '/ledger/slow') held = socket
    else socket.write(okResponse(path))
  })
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes: ROUTES })
  const socket = createConnection(fixture.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => { received += chunk.toString('latin1') })
  socket.on('error', () => {})
  try {
    await use({ upstream, socket, received: () => received, release: () => { held?.write(okResponse('/ledger/slow')) } })
  } finally {
    socket.destroy()
    await Promise.all([fixture.close(), upstream.close()])
  }
}

const paths = (upstream: RawUpstream): string[] => upstream.requests.map((request) => request.split(' ')[1] ?? '')

// Guards against requests that run although the connection is closed in front of them, and that are sent again (LOST, TWICE).
for (const [what, expecting, status, hasBody] of [
  ['is refused', post('/nowhere', `${EXPECTATION}${BODY}`), 404, true],
  ['has no body', `GET /ledger/none HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}${EXPECTATION}\r\n`, 200, false],
  ['has an empty body and is refused', post('/nowhere', `${EXPECTATION}Content-Length: 0\r\n\r\n`), 404, false],
  ['expects it in other letters', post('/nowhere', `expect: 100-Continue\r\n${BODY}`), 404, true],
  ['has a body in chunks and is refused', post('/nowhere', `${EXPECTATION}Transfer-Encoding: chunked\r\n\r\n4\r\nlots\r\n0\r\n\r\n`), 404, true]
] as const) {
  test(`requests behind one that ${what} run exactly if they are answered`, async () => {
    await withCaller(async ({ upstream, socket, received, release }) => {
      const behind = ['/ledger/1', '/ledger/2', '/ledger/3']
      socket.write(get('/ledger/slow') + expecting + behind.map(get).join(''))
      await until(() => paths(upstream).includes('/ledger/slow'))
      await new Promise((resolve) => setTimeout(resolve, 100))
      release()
      const answers = (): Response[] => responsesIn(received()).filter((response) => response.status >= 200)
      await until(() => answers().length === 2 + behind.length || socket.destroyed)
      const answered = answers().slice(2).map(({ body }) => body)
      assert.equal(answers().slice(0, 2).map((response) => response.status), [200, status])
      assert.equal(answered, answers()[1]?.closes === true ? [] : behind)
      assert.equal(paths(upstream).filter((path) => behind.includes(path)), answered)
      if (!hasBody) assert.equal(answered, behind)
    })
  })
}

// Guards against the same where the refusal comes once the body has been read, so that Node.js closes the connection by itself.
test('requests behind one that is refused after its body was read are answered', async () => {
  let held: Socket | undefined
  await withUpstreams([(socket, request) => {
    if (request.startsWith('GET /slow')) held = socket
    else socket.write(okResponse('ok'))
  }], async ({ caller, upstreams }) => {
    const ask = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n`
    caller.socket.write(`${ask('/slow')}POST /search HTTP/1.1\r\nHost: elsewhere\r\n${EXPECTATION}${BODY}${ask('/1')}${ask('/2')}`)
    await until(() => upstreams[0]?.requests.length === 3)
    held?.write(okResponse('slow'))
    await until(() => caller.responses.length === 4 || caller.isClosed)
    assert.equal(caller.responses.map(({ status }) => status), [200, 404, 200, 200])
    assert.not(caller.isClosed)
  }, { timeoutMilliseconds: 9_000 })
})

// Guards against requests that run behind one whose body may never come.
test('behind a request that is refused while its body is awaited nothing runs', async () => {
  await withCaller(async ({ upstream, socket, received, release }) => {
    socket.write(get('/ledger/slow') + post('/nowhere', `${EXPECTATION}Content-Length: 4\r\n\r\n`))
    await until(() => paths(upstream).includes('/ledger/slow'))
    await new Promise((resolve) => setTimeout(resolve, 100))
    socket.write(`lots${get('/ledger/1')}`)
    release()
    await until(() => socket.destroyed)
    assert.equal(responsesIn(received()).map(({ status, closes }) => [status, closes]), [[200, false], [404, true]])
    assert.equal(paths(upstream), ['/ledger/slow'])
  })
})

// Guards against 100 Continue inside the response to its request, where it is taken for a part of the body (MIXED).
test('a request that expects 100 Continue and is answered before its turn gets its own whole response', async () => {
  await withCaller(async ({ upstream, socket, received, release }) => {
    socket.write(get('/ledger/slow') + post('/ledger/expecting', `${EXPECTATION}${BODY}`) + get('/ledger/last'))
    await until(() => paths(upstream).includes('/ledger/last'))
    await new Promise((resolve) => setTimeout(resolve, 100))
    release()
    await until(() => responsesIn(received()).filter(({ status }) => status === 200).length === 3)
    assert.equal(responsesIn(received()).filter(({ status }) => status >= 200).map(({ body }) => body), ['/ledger/slow', '/ledger/expecting', '/ledger/last'])
  })
})

test('a caller that waits for 100 Continue behind another request gets it in its turn', async () => {
  await withCaller(async ({ upstream, socket, received, release }) => {
    socket.write(get('/ledger/slow') + post('/ledger/waiting', `${EXPECTATION}Content-Length: 4\r\n\r\n`))
    await until(() => paths(upstream).includes('/ledger/slow'))
    await new Promise((resolve) => setTimeout(resolve, 100))
    assert.is(received(), '')
    release()
    await until(() => received().endsWith(CONTINUE))
    socket.write('lots')
    await until(() => received().endsWith('/ledger/waiting'))
    assert.equal(responsesIn(received()).map(({ status }) => status), [200, 100, 200])
  })
})

test.run()

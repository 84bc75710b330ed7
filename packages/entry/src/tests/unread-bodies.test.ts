import { createServer, type AddressInfo } from 'node:net'
import { Failure } from '@hickoryspoke/runtime/failure'
import type { RequestQueue } from '@hickoryspoke/request/collaborators'
import { okResponse, RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { Err } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AUTHORIZED, CallerFixture } from './caller-fixture.ts'

/** More than is buffered of a body before its request is placed. */
const LONG_BODY = 'x'.repeat(200_000)
const ROUTES = [{ path: '/ledger', timeout_milliseconds: 2_000 }, { path: '/public', open: true }]

class NoRoom extends Failure {
  readonly code = 'no_room'
}

function statusesIn (received: string): number[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((match) => Number(match[1]))
}

const KEPT_LONG = `POST /ledger/1 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Content-Length: ${LONG_BODY.length}\r\n\r\n${LONG_BODY}`
const KEPT_CHUNKED = `POST /ledger/1 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Transfer-Encoding: chunked\r\n\r\n${LONG_BODY.length.toString(16)}\r\n${LONG_BODY}\r\n0\r\n\r\n`
const NEXT = `GET /ledger/2 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}Connection: close\r\n\r\n`

// Guards against a connection that stays silent because the rest of a body stands in front of the next request (CONFIG).
for (const [what, request] of [['a length', KEPT_LONG], ['chunks', KEPT_CHUNKED]] as const) {
  test(`the request behind a refused one with a long body in ${what} is answered`, async () => {
    const upstream = await RawUpstream.create((socket) => socket.write(okResponse('answer')))
    let entered = 0
    const queue: RequestQueue = {
      enter: async () => {
        entered += 1
        return Err(new NoRoom('no room'))
      }
    }
    const fixture = await CallerFixture.create({ addresses: [upstream.address], routes: ROUTES, queue })
    assert.equal(statusesIn(await fixture.raw(request + NEXT)), [503, 503])
    assert.is(entered, 2)
    await Promise.all([fixture.close(), upstream.close()])
  })

  test(`the request behind one that is answered before its long body in ${what} was read is answered`, async () => {
    const server = createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.pause()
        socket.write(okResponse('early'))
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const fixture = await CallerFixture.create({ addresses: [`127.0.0.1:${(server.address() as AddressInfo).port}`], routes: ROUTES })
    assert.equal(statusesIn(await fixture.raw(request + NEXT)), [200, 200])
    await fixture.close()
    server.close()
  })
}

test.run()

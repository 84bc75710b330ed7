import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration } from './dispatched-fleet.ts'

const REQUESTS = 10
/** Requests after which every upstream of a small pool has received one. */
const MAXIMUM_FIRST_REQUESTS = 50
/** More than an entry buffers before it passes a response on. */
const LONG_RESPONSE_BYTES = 200_000
const REJECTION = 'HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nunavailable-milliseconds: 600000\r\nContent-Length: 0\r\n\r\n'

async function sendRequests (url: string, count: number): Promise<number[]> {
  const statuses: number[] = []
  while (statuses.length < count) statuses.push((await fetch(url, { method: 'POST', body: 'x' })).status)
  return statuses
}

// Guards against requests to an upstream that told their entry that it leaves (DRAIN), or that it wants none for a time (BUDGET),
// whether the dispatcher places them, they are sent again, or the entry places them while the leader is lost.
for (const [name, response] of [['leaves', okResponse('served', 'leaving: 1\r\n')], ['is unavailable', REJECTION]] as const) {
  for (const others of [0, 1]) {
    test(`an entry sends no more requests to an upstream that told it that it ${name}, beside ${others} others`, async () => {
      const fleet = await DispatchedFleet.create(1, 1)
      const notifying = await RawUpstream.create((socket) => socket.write(response))
      const sound = await Promise.all(Array.from({ length: others }, async () => await RawUpstream.create((socket) => socket.write(okResponse('served')))))
      const url = fleet.entries[0]?.url ?? ''
      const statusOfOthers = others > 0 ? 200 : 503
      try {
        await fleet.publish(fleetConfiguration(1, [{}]))
        await fleet.announce('i-0', notifying.address)
        for (const [index, { address }] of sound.entries()) await fleet.announce(`i-${index + 1}`, address)
        await fleet.waitUntilReady()
        for (let sent = 0; sent < MAXIMUM_FIRST_REQUESTS && notifying.requests.length === 0; sent += 1) await sendRequests(url, 1)
        assert.equal([...new Set(await sendRequests(url, REQUESTS))], [statusOfOthers])
        assert.is(notifying.requests.length, 1, 'with a dispatcher')
        await fleet.stopControl(await fleet.leader())
        assert.equal([...new Set(await sendRequests(url, REQUESTS))], [statusOfOthers])
        assert.is(notifying.requests.length, 1, 'without a dispatcher')
      } finally {
        await fleet.stop()
        await Promise.all([notifying, ...sound].map(async (upstream) => await upstream.close()))
      }
    })
  }
}

// Guards against a departure that is known only when the response that announces it has ended, long after the caller saw it (DRAIN).
test('an upstream that says that it leaves in a response which is still running gets no more requests', async () => {
  const fleet = await DispatchedFleet.create(1, 1)
  const upstream = await RawUpstream.create((socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nleaving: 1\r\nContent-Length: ${LONG_RESPONSE_BYTES + 1}\r\n\r\n${'x'.repeat(LONG_RESPONSE_BYTES)}`)
  })
  const url = fleet.entries[0]?.url ?? ''
  const caller = new AbortController()
  try {
    await fleet.publish(fleetConfiguration(1, [{}]))
    await fleet.announce('i-0', upstream.address)
    await fleet.waitUntilReady()
    assert.is((await fetch(url, { method: 'POST', body: 'x', signal: caller.signal })).status, 200)
    assert.equal(await sendRequests(url, 2), [503, 503])
    assert.is(upstream.requests.length, 1)
  } finally {
    caller.abort()
    await fleet.stop()
    await upstream.close()
  }
})

test.run()

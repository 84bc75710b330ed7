import { SystemClock } from '@hickoryspoke/runtime/clock'
import { RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { PoolQueues } from '../pool-queues.ts'
import { CallerFixture, codeOf, headerOf, statusOf } from './caller-fixture.ts'
import { startDispatched } from './dispatched-fixture.ts'

/** New requests come in the first second, and nothing is sent to upstreams after 300 ms. */
const DRAIN = { announceMilliseconds: 1_000, finishMilliseconds: 300 }

/** An entry whose only upstream never responds, and which sends it one request at a time. */
async function withBusyUpstream (use: (fixture: CallerFixture, upstream: RawUpstream) => Promise<void>): Promise<void> {
  const upstream = await RawUpstream.create(() => {})
  const queue = PoolQueues.create({ clock: SystemClock.create(), usableSlots: () => 1, liveEntries: () => 1 })
  const fixture = await CallerFixture.create({ addresses: [upstream.address], routes: [{ path: '/ledger', timeout_milliseconds: 9_000 }], queue })
  try {
    await use(fixture, upstream)
  } finally {
    await Promise.all([fixture.close(), upstream.close()])
  }
}

async function untilRunning (fixture: CallerFixture, requests: number): Promise<void> {
  while (fixture.runner.running.length < requests) await new Promise((resolve) => setImmediate(resolve))
}

// Guards against requests that are taken, wait for an upstream, and are cut with no response at the end of a planned stop (LOST).
test('a request that still waits in the queue when its entry stops is refused, not cut off', () => withBusyUpstream(async (fixture, upstream) => {
  const running = fixture.ask('POST', '/ledger', '', 'x')
  await untilRunning(fixture, 1)
  const waiting = fixture.ask('POST', '/ledger', '', 'x')
  await untilRunning(fixture, 2)
  await fixture.server.drain(DRAIN)
  const refused = await waiting
  assert.equal([statusOf(refused), codeOf(refused), headerOf(refused, 'Hickoryspoke-Run')], [503, 'draining', 'not-run'])
  assert.is(await running, '', 'a request that the upstream is working on is cut off when the time is up')
  assert.is(upstream.requests.length, 1)
}))

test('a request that comes too late in a stop to be answered is refused at once', () => withBusyUpstream(async (fixture, upstream) => {
  const running = fixture.ask('POST', '/ledger', '', 'x')
  await untilRunning(fixture, 1)
  const drained = fixture.server.drain({ announceMilliseconds: 900, finishMilliseconds: 90 })
  const refused = await fixture.ask('POST', '/ledger', '', 'x')
  assert.equal([statusOf(refused), codeOf(refused)], [503, 'draining'])
  await drained
  assert.is(await running, '')
  assert.is(upstream.requests.length, 1)
}))

// Guards against requests that come during a planned stop, get no reply from a busy dispatcher, and are cut with no response at its end (LOST).
test('a request that gets no reply from the dispatcher during a stop is refused, not cut off', async () => {
  const { server, send, untilRunning } = await startDispatched(() => {})
  const before = send()
  await untilRunning(1)
  const drained = server.drain(DRAIN)
  const during = send()
  await drained
  assert.equal([await before, await during], [503, 503])
})

test('a placement that comes too late in a stop is not used', async () => {
  const upstream = await RawUpstream.create(() => {})
  const clock = SystemClock.create()
  const { server, send, untilRunning } = await startDispatched((client, { ticket }) => {
    clock.schedule(900, () => client.receivePlacement({ ticket, instance: 'a', address: upstream.address }))
  })
  try {
    const waiting = send()
    await untilRunning(1)
    await server.drain({ announceMilliseconds: 20, finishMilliseconds: 1_200 })
    assert.is(await waiting, 503)
    assert.is(upstream.requests.length, 0)
  } finally {
    server.close()
    await upstream.close()
  }
})

test.run()

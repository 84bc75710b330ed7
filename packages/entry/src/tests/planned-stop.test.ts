import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { ActiveConfiguration } from '@hickoryspoke/dispatch/active-configuration'
import { LocalPlacer } from '@hickoryspoke/dispatch/local-placer'
import { PlacementClient } from '@hickoryspoke/dispatch/placement-client'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import type { Dialect } from '@hickoryspoke/request/dialect'
import { DispatchedRunner } from '@hickoryspoke/request/dispatched-runner'
import { callerResponseHeaders } from '@hickoryspoke/request/header-filter'
import { ServingTable } from '@hickoryspoke/request/serving-table'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CallerServer } from '../caller-server.ts'
import { PoolQueues } from '../pool-queues.ts'
import { CallerFixture, codeOf, headerOf, statusOf } from './caller-fixture.ts'

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

const DIALECT: Dialect = {
  readCaller: () => ({ requestId: '', key: undefined, patienceMilliseconds: undefined }),
  upstreamHeaders: () => [],
  readAnswer: () => ({ notRun: false, misdirected: false, genuine: true, load: undefined, statedLimit: undefined, notice: undefined }),
  responseHeaders: callerResponseHeaders
}
const ROUTE = {
  name: 'all', host: '127.0.0.1', prefix: '/', mayRepeat: false, timeoutMilliseconds: 9_000, targetMilliseconds: 5_000, priority: 1, maximumAttempts: 2, open: true
}
const CONFIGURATION: ServingConfiguration = {
  number: 0,
  keyed: false,
  bounds: { maximumHeaderBytes: 16_384, maximumBodyBytes: 1_000, headerTimeoutMilliseconds: 3_000, idleTimeoutMilliseconds: 15_000 },
  pools: [],
  customers: [],
  routes: [{ ...ROUTE, shares: [{ pool: 'ledger', weight: 1 }] }]
}

/** An entry whose dispatcher receives questions. `answer` gets the client and the ticket of each. */
async function startDispatched (answer: (client: PlacementClient, ticket: number) => void) {
  const clock = SystemClock.create()
  const random = SeededRandom.create(1)
  const placer = LocalPlacer.create({ clock, random, registry: UpstreamRegistry.create(clock), entry: 'one', zone: 'zone-a', windowMilliseconds: 5_000 })
  const ask = ({ ticket }: { readonly ticket: number }): boolean => {
    queueMicrotask(() => answer(placementClient, ticket))
    return true
  }
  const placementClient = PlacementClient.create({ clock, placer, isLeaving: () => false, ask, sendEnd: () => true })
  placementClient.connected()
  const inForce = ActiveConfiguration.create(clock, 60_000)
  inForce.recordQuestion(1)
  inForce.confirm(1, 0)
  const table = ServingTable.create(CONFIGURATION)
  const options = { clock, random, dialect: DIALECT, connections: UpstreamConnections.create(clock), placementClient, inForce, table: () => table }
  const runner = DispatchedRunner.create(options, silentLogger(), { finished: () => {} })
  const server = CallerServer.create({ clock, runner, host: '127.0.0.1', port: 0 })
  const url = `http://127.0.0.1:${(await server.listen()).unwrap()}/`
  const untilRunning = async (requests: number): Promise<void> => {
    while (runner.inFlight < requests) await new Promise((resolve) => setImmediate(resolve))
  }
  return { server, untilRunning, send: async () => await fetch(url).then(({ status }) => status, () => 0) }
}

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
  const { server, send, untilRunning } = await startDispatched((client, ticket) => {
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

import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { ConnectFailure, DirectConnector, type Connector } from '@hickoryspoke/request/connector'
import { keyDigest } from '@hickoryspoke/request/key-table'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { Err } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration, waitFor } from './dispatched-fleet.ts'
import { withTwoUpstreams, type TwoUpstreams } from './leaving-upstream.ts'

const REQUESTS = 10
const CONNECT_TIMEOUT_MILLISECONDS = 400
/** A refused request is answered well before its deadline, which is 10 s. */
const AT_ONCE_MILLISECONDS = 2_000

/** The network of an entry that reaches no upstream itself. */
const REFUSING: Connector = { connect: async () => Err(ConnectFailure.create('connect_refused', 'cut off')) }

/** Counts the connections that an entry opens to upstreams. */
class CountingConnector implements Connector {
  connections = 0
  private readonly direct = DirectConnector.create(SystemClock.create(), CONNECT_TIMEOUT_MILLISECONDS)

  static create (): CountingConnector {
    return new CountingConnector()
  }

  async connect (...[address, signal]: Parameters<Connector['connect']>): ReturnType<Connector['connect']> {
    this.connections += 1
    return await this.direct.connect(address, signal)
  }
}

/** Routes without restriction, for each region, and for a region without zones. */
const ROUTES = [
  { name: 'all', prefix: '/' },
  { name: 'a', prefix: '/a/', allowedRegions: ['region-a'] },
  { name: 'b', prefix: '/b/', allowedRegions: ['region-b'] },
  { name: 'none', prefix: '/none/', allowedRegions: ['region-x'] }
]

/** The routes for callers with a key; that of customer `b` may only go to region b. */
const KEYED: ServingConfiguration = {
  ...fleetConfiguration(2, ROUTES.map((route) => ({ ...route, open: false }))),
  keyed: true,
  customers: [{ name: 'b', keyDigests: [keyDigest('key-b')], priority: undefined, rate: 0, burst: 0, allowedRegions: ['region-b'] }]
}

/** Announces `i-left` in zone b and `i-stays` in zone a, and puts a configuration in force. */
async function prepare (fleet: DispatchedFleet, { left, stays }: TwoUpstreams, configuration: ServingConfiguration): Promise<void> {
  await fleet.announce('i-left', left.address, { zone: 'zone-b' })
  await fleet.announce('i-stays', stays.address)
  await fleet.publish(configuration)
  await fleet.waitUntilReady()
}

async function send (fleet: DispatchedFleet, path: string): Promise<number> {
  const response = await fetch(`${fleet.entries[0]?.url ?? ''}${path}`, { method: 'POST', body: 'x', headers: { key: 'key-b' } })
  return response.status
}

async function sendAll (fleet: DispatchedFleet, path: string): Promise<number[]> {
  const statuses = new Set<number>()
  for (let request = 0; request < REQUESTS; request += 1) statuses.add(await send(fleet, path))
  return [...statuses]
}

test('requests of a restricted route reach only upstreams in its regions', async () => {
  const fleet = await DispatchedFleet.create(1, 1)
  await withTwoUpstreams(fleet, async (upstreams) => {
    await prepare(fleet, upstreams, fleetConfiguration(2, ROUTES))
    assert.equal(await sendAll(fleet, '/a/'), [200])
    assert.equal([upstreams.left.requests.length, upstreams.stays.requests.length], [0, REQUESTS])
    assert.equal(await sendAll(fleet, '/b/'), [200])
    assert.equal([upstreams.left.requests.length, upstreams.stays.requests.length], [REQUESTS, REQUESTS])
  })
})

test('the restriction of the customer applies beside that of the route, and a request without region is refused at once', async () => {
  const fleet = await DispatchedFleet.create(1, 1)
  await withTwoUpstreams(fleet, async (upstreams) => {
    await prepare(fleet, upstreams, KEYED)
    assert.equal(await sendAll(fleet, '/'), [200])
    assert.equal([upstreams.left.requests.length, upstreams.stays.requests.length], [REQUESTS, 0])
    const beganAt = performance.now()
    assert.equal([await send(fleet, '/a/'), await send(fleet, '/none/')], [503, 503])
    assert.ok(performance.now() - beganAt < AT_ONCE_MILLISECONDS)
    assert.equal([upstreams.left.requests.length, upstreams.stays.requests.length], [REQUESTS, 0])
  })
})

// Guards against a body that is sent through a machine in another region, by an entry that does not reach the upstream itself.
test('a restricted request does not go through an entry in another region', async () => {
  const relay = CountingConnector.create()
  const fleet = await DispatchedFleet.create(1, 2, undefined, { 'entry-1': REFUSING, 'entry-2': relay }, { 'entry-2': 'zone-b' })
  await withTwoUpstreams(fleet, async (upstreams) => {
    await prepare(fleet, upstreams, fleetConfiguration(2, ROUTES))
    await waitFor(() => fleet.entries[0]?.entry.knownRelays === 1 ? true : undefined)
    const status = await send(fleet, '/a/')
    assert.ok(status >= 500, `status ${status}`)
    assert.equal([relay.connections, upstreams.stays.requests.length, upstreams.left.requests.length], [0, 0, 0])
    assert.is(await send(fleet, '/'), 200, 'other requests go through it')
    assert.is(relay.connections, 1)
  })
})

test('a restricted request goes through an entry in an allowed region', async () => {
  const fleet = await DispatchedFleet.create(1, 2, undefined, { 'entry-1': REFUSING })
  await withTwoUpstreams(fleet, async (upstreams) => {
    await prepare(fleet, upstreams, fleetConfiguration(2, ROUTES))
    await waitFor(() => fleet.entries[0]?.entry.knownRelays === 1 ? true : undefined)
    assert.is(await send(fleet, '/a/'), 200)
    assert.equal([upstreams.stays.requests.length, upstreams.left.requests.length], [1, 0])
  })
})

test.run()

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet } from './dispatched-fleet.ts'
import { sendRequests, withTwoUpstreams } from './leaving-upstream.ts'

const REQUESTS = 20
/** A service that the configuration does not name, and a later start. */
const FOREIGN = { pool: 'unknown', zone: 'zone-a', slots: 2, draining: false, warmupMilliseconds: 0, born: 2, sequence: 9, version: '', gone: false }

// Guards against a heartbeat of another writer that takes a sound upstream out, by its name or its address, so that requests are refused.
test('announcements with an unknown service do not take out the upstreams whose name or address they have', async () => {
  const fleet = await DispatchedFleet.create(1, 1)
  await withTwoUpstreams(fleet, async ({ left, stays }) => {
    await fleet.announce('i-left', left.address)
    await fleet.announce('i-stays', stays.address)
    await fleet.waitUntilReady()
    const { api } = await fleet.leader()
    for (const changes of [{ instance: 'i-left', address: left.address }, { instance: 'i-left', address: left.address, draining: true }, { instance: 'i-odd', address: stays.address }]) {
      assert.is((await api.announce({ ...FOREIGN, ...changes })).kind, 'refused')
    }
    assert.equal([...new Set(await sendRequests(fleet, REQUESTS))], [200])
    assert.ok(left.requests.length > 0 && stays.requests.length > 0, 'both upstreams are in use')
    assert.is((await api.announce({ ...FOREIGN, instance: 'i-other', address: '127.0.0.1:1' })).kind, 'done')
  })
})

test.run()

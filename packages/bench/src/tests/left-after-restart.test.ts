import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet } from './dispatched-fleet.ts'
import { sendRequests, withTwoUpstreams } from './leaving-upstream.ts'

const REQUESTS = 20
/** Sequence numbers: of the announcement, and of one that was sent before the departure and arrives after it. */
const ANNOUNCED = 1
const DELAYED = 5

// Guards against an upstream that is in use again after a restart of the leader, which forgot that it had left (DRAIN).
test('an upstream that left gets no request after the leader is lost, even if a delayed announcement of it arrives', async () => {
  const fleet = await DispatchedFleet.create(3, 1)
  await withTwoUpstreams(fleet, async ({ left, stays }) => {
    await fleet.announce('i-left', left.address, { sequence: ANNOUNCED })
    await fleet.announce('i-stays', stays.address)
    await fleet.waitUntilReady()
    const leader = await fleet.leader()
    assert.is((await leader.api.leave('i-left', 1)).kind, 'done')
    const before = left.requests.length
    await fleet.stopControl(leader)
    await fleet.startControl(leader.address, false)
    const next = await fleet.leader()
    await fleet.announceTo(next, 'i-left', left.address, { sequence: DELAYED })
    await fleet.waitUntilReady()
    assert.equal([...new Set(await sendRequests(fleet, REQUESTS))], [200])
    assert.is(left.requests.length, before)
  })
})

for (const isKnown of [true, false]) {
  // Guards against requests to an upstream that left and announces itself until it ends: its call to leave does not name its start (DRAIN).
  test(`an upstream that ${isKnown ? 'is' : 'is not'} known and leaves without naming its start gets no request, whatever it announces later`, async () => {
    const fleet = await DispatchedFleet.create(1, 1)
    await withTwoUpstreams(fleet, async ({ left, stays }) => {
      if (isKnown) await fleet.announce('i-left', left.address, { sequence: ANNOUNCED })
      await fleet.announce('i-stays', stays.address)
      await fleet.waitUntilReady()
      const { api } = await fleet.leader()
      assert.is((await api.leave('i-left', undefined)).kind, 'done')
      for (const sequence of [DELAYED, DELAYED + 1]) await fleet.announce('i-left', left.address, { sequence })
      assert.equal([...new Set(await sendRequests(fleet, REQUESTS))], [200])
      assert.is(left.requests.length, 0)
      assert.is(stays.requests.length, REQUESTS)
    })
  })
}

test.run()

import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration } from './dispatched-fleet.ts'

const REQUESTS = 20
/** Sequence numbers: of the announcement, and of one that was sent before the departure and arrives after it. */
const ANNOUNCED = 1
const DELAYED = 5

// Guards against an upstream that is in use again after a restart of the leader, which forgot that it had left (DRAIN).
test('an upstream that left gets no request after the leader is lost, even if a delayed announcement of it arrives', async () => {
  const fleet = await DispatchedFleet.create(3, 1)
  const left = await RawUpstream.create((socket) => socket.write(okResponse('left')))
  const stays = await RawUpstream.create((socket) => socket.write(okResponse('stays')))
  const url = fleet.entries[0]?.url ?? ''
  try {
    await fleet.publish(fleetConfiguration(1, [{}]))
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
    const statuses: number[] = []
    for (let sent = 0; sent < REQUESTS; sent += 1) statuses.push((await fetch(url, { method: 'POST', body: 'x' })).status)
    assert.equal([...new Set(statuses)], [200])
    assert.is(left.requests.length, before)
  } finally {
    await fleet.stop()
    await Promise.all([left.close(), stays.close()])
  }
})

for (const isKnown of [true, false]) {
  // Guards against requests to an upstream that left and announces itself until it ends: its call to leave does not name its start (DRAIN).
  test(`an upstream that ${isKnown ? 'is' : 'is not'} known and leaves without naming its start gets no request, whatever it announces later`, async () => {
    const fleet = await DispatchedFleet.create(1, 1)
    const left = await RawUpstream.create((socket) => socket.write(okResponse('left')))
    const stays = await RawUpstream.create((socket) => socket.write(okResponse('stays')))
    try {
      await fleet.publish(fleetConfiguration(1, [{}]))
      if (isKnown) await fleet.announce('i-left', left.address, { sequence: ANNOUNCED })
      await fleet.announce('i-stays', stays.address)
      await fleet.waitUntilReady()
      const { api } = await fleet.leader()
      assert.is((await api.leave('i-left', undefined)).kind, 'done')
      for (const sequence of [DELAYED, DELAYED + 1]) await fleet.announce('i-left', left.address, { sequence })
      for (let sent = 0; sent < REQUESTS; sent += 1) await fetch(fleet.entries[0]?.url ?? '', { method: 'POST', body: 'x' })
      assert.is(left.requests.length, 0)
      assert.is(stays.requests.length, REQUESTS)
    } finally {
      await fleet.stop()
      await Promise.all([left.close(), stays.close()])
    }
  })
}

test.run()

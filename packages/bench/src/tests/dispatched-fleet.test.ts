import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration, waitFor } from './dispatched-fleet.ts'

const url = (fleet: DispatchedFleet, index = 0): string => fleet.entries[index]?.url ?? ''

test('a request reaches an announced upstream through an entry, and routing follows configuration changes and draining', async () => {
  const fleet = await DispatchedFleet.create(3, 2)
  const upstream = await RawUpstream.create((socket, request) => socket.write(okResponse(`ran ${request.split('\r\n')[0]}`)))
  const other = await RawUpstream.create((socket) => socket.write(okResponse('from the other')))
  try {
    assert.is((await fetch(`${url(fleet)}/lots/1`)).status, 503, 'no configuration yet')
    await fleet.publish(fleetConfiguration(3, [{ prefix: '/lots/' }]))
    await fleet.announce('i-1', upstream.address)
    await fleet.waitUntilReady()
    const answer = await fetch(`${url(fleet)}/lots/1?a=b`, { method: 'POST', body: 'x' })
    assert.is(await answer.text(), 'ran POST /lots/1?a=b HTTP/1.1')
    assert.ok(upstream.requests[0]?.includes('instance: i-1'))
    assert.is((await fetch(`${url(fleet, 1)}/other/`)).status, 404)
    await fleet.publish(fleetConfiguration(9, [{ prefix: '/other/' }]))
    await waitFor(async () => (await fetch(`${url(fleet, 1)}/other/`)).status === 200 ? true : undefined)
    await fleet.announce('i-2', other.address)
    await fleet.announce('i-1', upstream.address, { draining: true, sequence: 2 })
    assert.is(await (await fetch(`${url(fleet)}/other/`)).text(), 'from the other')
  } finally {
    await fleet.stop()
    await Promise.all([upstream.close(), other.close()])
  }
})

test('a fleet that loses its leader keeps serving, keeps acknowledged data and accepts a replacement control VM', async () => {
  const fleet = await DispatchedFleet.create(3, 1)
  const upstream = await RawUpstream.create((socket) => socket.write(okResponse('served')))
  try {
    await fleet.publish(fleetConfiguration(5, [{}]))
    await fleet.announce('i-1', upstream.address)
    await fleet.waitUntilReady()
    const lost = await fleet.leader()
    await fleet.stopControl(lost)
    assert.is(await (await fetch(url(fleet))).text(), 'served')
    const leader = await fleet.leader()
    assert.is.not(leader.address, lost.address)
    const read = await waitFor(async () => {
      const answer = await leader.api.read()
      return answer.kind === 'done' ? answer.value : undefined
    })
    assert.is(read.number, 5)
    const fresh = await fleet.startControl(lost.address, false)
    await waitFor(() => fresh.control.held?.number === 5 ? true : undefined)
    await waitFor(() => leader.control.voters === 3 ? true : undefined)
    await fleet.publish(fleetConfiguration(6, [{}]))
  } finally {
    await fleet.stop()
    await upstream.close()
  }
})

test('an older document is acknowledged and changes nothing; a follower names the leader', async () => {
  const fleet = await DispatchedFleet.create(3, 0)
  try {
    await fleet.publish(fleetConfiguration(5, [{ prefix: '/new/' }]))
    await fleet.publish(fleetConfiguration(4, [{ prefix: '/old/' }]))
    const leader = await fleet.leader()
    const read = await leader.api.read()
    assert.is(read.kind === 'done' ? read.value?.number : undefined, 5)
    const follower = fleet.controls.find(({ control }) => !control.isLeader)
    await waitFor(() => follower?.control.leader === leader.address ? true : undefined)
    assert.equal(await follower?.api.read(), { kind: 'elsewhere', leader: leader.address })
  } finally {
    await fleet.stop()
  }
})

test.run()

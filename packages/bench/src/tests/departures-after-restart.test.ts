import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration, type FleetControl } from './dispatched-fleet.ts'

const REQUESTS = 20
/** Sequence numbers of an announcement that is delivered twice, and of the departure that follows it. */
const ANNOUNCED = 1
const DEPARTED = 2

/** How an upstream says that it leaves. */
type Departure = (fleet: DispatchedFleet, leader: FleetControl, address: string) => Promise<unknown>

const DEPARTURES: Readonly<Record<string, Departure>> = {
  'says that it is draining': async (fleet, _, address) => await fleet.announce('i-left', address, { draining: true, sequence: DEPARTED }),
  leaves: async (_, leader) => assert.is((await leader.api.leave('i-left', 1)).kind, 'done')
}

for (const [name, depart] of Object.entries(DEPARTURES)) {
  // Guards against requests to an upstream whose departure was acknowledged before all VMs lost power, when an earlier announcement arrives late (DRAIN).
  test(`an upstream that ${name} gets no request after all processes have lost their memory`, async () => {
    const fleet = await DispatchedFleet.create(3, 1)
    const left = await RawUpstream.create((socket) => socket.write(okResponse('left')))
    const stays = await RawUpstream.create((socket) => socket.write(okResponse('stays')))
    try {
      await fleet.publish(fleetConfiguration(1, [{}]))
      await fleet.announce('i-left', left.address, { sequence: ANNOUNCED })
      await fleet.announce('i-stays', stays.address)
      await depart(fleet, await fleet.leader(), left.address)
      await fleet.restartAll()
      await fleet.announce('i-left', left.address, { sequence: ANNOUNCED })
      await fleet.announce('i-stays', stays.address, { sequence: DEPARTED })
      await fleet.waitUntilReady()
      const url = fleet.entries[0]?.url ?? ''
      for (let sent = 0; sent < REQUESTS; sent += 1) await fetch(url, { method: 'POST', body: 'x' })
      assert.is(left.requests.length, 0)
      assert.is(stays.requests.length, REQUESTS)
    } finally {
      await fleet.stop()
      await Promise.all([left.close(), stays.close()])
    }
  })
}

test.run()

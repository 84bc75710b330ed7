import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, type FleetControl } from './dispatched-fleet.ts'
import { sendRequests, withTwoUpstreams } from './leaving-upstream.ts'

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
    await withTwoUpstreams(fleet, async ({ left, stays }) => {
      await fleet.announce('i-left', left.address, { sequence: ANNOUNCED })
      await fleet.announce('i-stays', stays.address)
      await depart(fleet, await fleet.leader(), left.address)
      await fleet.restartAll()
      await fleet.announce('i-left', left.address, { sequence: ANNOUNCED })
      await fleet.announce('i-stays', stays.address, { sequence: DEPARTED })
      await fleet.waitUntilReady()
      assert.equal([...new Set(await sendRequests(fleet, REQUESTS))], [200])
      assert.is(left.requests.length, 0)
      assert.is(stays.requests.length, REQUESTS)
    })
  })
}

test.run()

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration, waitFor } from './dispatched-fleet.ts'
import { HoldingConnector } from './holding-connector.ts'
import { sendRequests, withTwoUpstreams, type TwoUpstreams } from './leaving-upstream.ts'

/** Sends a request that waits for its connection to `i-left`, lets something change meanwhile, and checks the status of its response. */
async function requestDuring (
  change: (fleet: DispatchedFleet, upstreams: TwoUpstreams) => Promise<void>,
  check: (status: number, upstreams: TwoUpstreams) => void
): Promise<void> {
  const connector = HoldingConnector.create()
  const fleet = await DispatchedFleet.create(1, 1, undefined, { 'entry-1': connector })
  await withTwoUpstreams(fleet, async (upstreams) => {
    connector.heldAddress = upstreams.left.address
    await fleet.announce('i-left', upstreams.left.address)
    await fleet.waitUntilReady()
    const response = sendRequests(fleet, 1)
    await waitFor(() => connector.isHolding ? true : undefined)
    await change(fleet, upstreams)
    connector.releaseAll()
    check((await response)[0] ?? 0, upstreams)
  })
}

// Guards against requests that reach an upstream after its departure was acknowledged, as their connection took long (DRAIN).
test('a request whose upstream leaves while the entry connects to it goes to another one', async () => {
  await requestDuring(async (fleet, { left, stays }) => {
    await fleet.announce('i-stays', stays.address)
    await fleet.announce('i-left', left.address, { draining: true, sequence: 2 })
  }, (status, { left, stays }) => {
    assert.is(status, 200)
    assert.is(left.requests.length, 0)
    assert.is(stays.requests.length, 1)
  })
})

// Guards against requests that run although the configuration that allowed them was replaced, as their connection took long (CONFIG).
test('a request whose route is removed while the entry connects does not run', async () => {
  await requestDuring(async (fleet) => await fleet.publish(fleetConfiguration(2, [{ prefix: '/other/' }])), (status, { left }) => {
    assert.is(status, 404)
    assert.is(left.requests.length, 0)
  })
})

test.run()

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, waitFor } from './dispatched-fleet.ts'
import { HoldingConnector } from './holding-connector.ts'
import { sendRequests, withTwoUpstreams, type TwoUpstreams } from './leaving-upstream.ts'

const REQUESTS = 12
const EVACUATED = 'zone-b'
/** Long enough for an entry to go on serving for the requests of a test after it has lost its leader. */
const FRESH_MILLISECONDS = 10_000

/** Announces `i-left` in the zone that is evacuated, and `i-stays` in another one. */
async function announceBoth (fleet: DispatchedFleet, { left, stays }: TwoUpstreams, sequence: number): Promise<void> {
  await fleet.announce('i-left', left.address, { zone: EVACUATED, sequence })
  await fleet.announce('i-stays', stays.address, { sequence })
  await fleet.waitUntilReady()
}

/** Sends requests and checks that all are served, and none by the upstream in the evacuated zone. */
async function checkEvacuated (fleet: DispatchedFleet, { left, stays }: TwoUpstreams): Promise<void> {
  const [leftBefore, staysBefore] = [left.requests.length, stays.requests.length]
  assert.equal([...new Set(await sendRequests(fleet, REQUESTS))], [200])
  assert.equal([left.requests.length - leftBefore, stays.requests.length - staysBefore], [0, REQUESTS])
}

test('an evacuated zone gets no requests until it is taken back', async () => {
  const fleet = await DispatchedFleet.create(3, 1)
  await withTwoUpstreams(fleet, async (upstreams) => {
    await announceBoth(fleet, upstreams, 1)
    await fleet.setEvacuation(EVACUATED, true)
    await checkEvacuated(fleet, upstreams)
    await fleet.setEvacuation(EVACUATED, false)
    await waitFor(async () => {
      await sendRequests(fleet, 1)
      return upstreams.left.requests.length > 0 ? true : undefined
    })
  })
})

test('a zone that the settings do not name is refused', async () => {
  const fleet = await DispatchedFleet.create(1, 0)
  const answer = await (await fleet.leader()).api.setEvacuation('zone-x', true)
  await fleet.stop()
  assert.is(answer.kind, 'refused')
})

// Guards against an evacuation that is forgotten with the leader that acknowledged it.
test('the next leader keeps a zone evacuated, and acknowledges the same call again', async () => {
  const fleet = await DispatchedFleet.create(3, 1)
  await withTwoUpstreams(fleet, async (upstreams) => {
    await announceBoth(fleet, upstreams, 1)
    await fleet.setEvacuation(EVACUATED, true)
    await fleet.stopControl(await fleet.leader())
    await fleet.setEvacuation(EVACUATED, true)
    await fleet.waitUntilReady()
    await checkEvacuated(fleet, upstreams)
  })
})

// Guards against requests to an evacuated zone after a loss of all power, before the state was restored.
test('a zone stays evacuated after all processes have lost their memory', async () => {
  const fleet = await DispatchedFleet.create(3, 1)
  await withTwoUpstreams(fleet, async (upstreams) => {
    await announceBoth(fleet, upstreams, 1)
    await fleet.setEvacuation(EVACUATED, true)
    await fleet.restartAll()
    await announceBoth(fleet, upstreams, 2)
    await checkEvacuated(fleet, upstreams)
  })
})

// Guards against an entry that places requests in an evacuated zone as soon as it has no leader.
test('an entry without leader sends nothing to an evacuated zone', async () => {
  const fleet = await DispatchedFleet.create(1, 1, FRESH_MILLISECONDS)
  await withTwoUpstreams(fleet, async (upstreams) => {
    await announceBoth(fleet, upstreams, 1)
    await fleet.setEvacuation(EVACUATED, true)
    await fleet.stopControl(await fleet.leader())
    await waitFor(() => (fleet.entries[0]?.entry.isReady ?? true) ? undefined : true)
    await checkEvacuated(fleet, upstreams)
  })
})

// Guards against requests that reach an evacuated zone after the acknowledgement, as their connection took long.
test('a request that was placed in the zone and not yet sent goes to another one', async () => {
  const connector = HoldingConnector.create()
  const fleet = await DispatchedFleet.create(1, 1, undefined, { 'entry-1': connector })
  await withTwoUpstreams(fleet, async (upstreams) => {
    const { left, stays } = upstreams
    connector.heldAddress = left.address
    await fleet.announce('i-left', left.address, { zone: EVACUATED })
    await fleet.waitUntilReady()
    const response = sendRequests(fleet, 1)
    await waitFor(() => connector.isHolding ? true : undefined)
    await fleet.announce('i-stays', stays.address)
    await fleet.setEvacuation(EVACUATED, true)
    await waitFor(async () => (await fleet.entries[0]?.entry.metrics.expose())?.includes('hickoryspoke_evacuated_zones 1') === true ? true : undefined)
    connector.releaseAll()
    assert.equal(await response, [200])
    assert.equal([left.requests.length, stays.requests.length], [0, 1])
  })
})

// Guards against callers that wait until their deadline although no upstream gets requests.
test('requests are refused at once when all upstreams are in evacuated zones', async () => {
  const fleet = await DispatchedFleet.create(1, 1)
  await withTwoUpstreams(fleet, async ({ left }) => {
    await fleet.announce('i-left', left.address, { zone: EVACUATED })
    await fleet.waitUntilReady()
    await waitFor(async () => (await sendRequests(fleet, 1))[0] === 200 ? true : undefined)
    await fleet.setEvacuation(EVACUATED, true)
    await waitFor(async () => (await sendRequests(fleet, 1))[0] === 503 ? true : undefined)
    assert.equal([...new Set(await sendRequests(fleet, REQUESTS))], [503])
  })
})

// Guards against control VMs that acknowledge an evacuation of which no majority knows.
test('a call is not acknowledged without a majority', async () => {
  const fleet = await DispatchedFleet.create(3, 0)
  const leader = await fleet.leader()
  for (const other of fleet.controls.filter((control) => control !== leader)) await fleet.stopControl(other)
  const answer = await leader.api.setEvacuation(EVACUATED, true)
  await fleet.stop()
  assert.not.equal(answer.kind, 'done')
})

test.run()

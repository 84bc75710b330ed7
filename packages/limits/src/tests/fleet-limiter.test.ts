import * as assert from 'uvu/assert'
import { test } from 'uvu'
import { worstExcess } from './bound-checker.ts'
import { LimiterFleet } from './limiter-fleet.ts'

const CUSTOMER = { name: 'ministry', rate: 10, burst: 5 }

async function steadyFleet (entries: number): Promise<LimiterFleet> {
  const fleet = LimiterFleet.create({ entries, zones: 3, seed: 7, network: { delayMilliseconds: () => 1.5 } })
  fleet.apply([CUSTOMER])
  await fleet.run(5000)
  return fleet
}

for (const entries of [1, 2, 3, 44]) {
  test(`${entries} entries admit a whole burst and refuse requests above it`, async () => {
    const fleet = await steadyFleet(entries)
    for (let request = 0; request < 12; request += 1) fleet.request(`entry-${request % entries}`, CUSTOMER.name)
    await fleet.run(1000)
    assert.is(fleet.decisions.length, 12)
    assert.ok(fleet.admittedAt(CUSTOMER.name).length >= 5)
    assert.ok(worstExcess(fleet.admittedAt(CUSTOMER.name), CUSTOMER.rate, CUSTOMER.burst) <= 0)
  })
}

test('an entry whose epoch lease has expired does not admit requests', async () => {
  const fleet = await steadyFleet(3)
  fleet.authority.cut('entry-0')
  await fleet.run(5500)
  fleet.request('entry-0', CUSTOMER.name)
  await fleet.run(3000)
  assert.equal(fleet.decisions.map((decision) => decision.admission.admitted), [false])
})

test('other entries take over the slots of a crashed entry', async () => {
  const fleet = await steadyFleet(3)
  const holder = fleet.names.find((name) => (fleet.limiter(name)?.view().heldSlots.length ?? 0) > 0) as string
  fleet.crash(holder)
  await fleet.run(3000)
  const held = fleet.names.reduce((sum, name) => sum + (fleet.limiter(name)?.view().heldSlots.length ?? 0), 0)
  assert.is(held, 128)
})

test.run()

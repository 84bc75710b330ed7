import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { announcementOf, RegistryFleet } from './registry-fleet.ts'

const ADDRESS = '10.0.0.1:80'
const DEPARTURE_MILLISECONDS = 2_000

async function fleetWithUpstream (): Promise<RegistryFleet> {
  const fleet = RegistryFleet.create(44)
  await fleet.renew(announcementOf(), ['entry-0', 'entry-7'], 3_000)
  assert.is(fleet.serving('ledger', ADDRESS).length, 44)
  return fleet
}

const REFUSALS = [
  { name: 'a field is missing', changes: { slots: undefined }, code: 'invalid_announcement' },
  { name: 'the address is a name', changes: { address: 'ledger.local:80' }, code: 'invalid_announcement' },
  { name: 'a port out of range', changes: { address: '10.0.0.1:65536' }, code: 'invalid_announcement' },
  { name: 'port 0', changes: { address: '10.0.0.1:0' }, code: 'invalid_announcement' },
  { name: 'an octet out of range', changes: { address: '10.0.0.256:80' }, code: 'invalid_announcement' },
  { name: 'slots beyond 32 bits', changes: { slots: 2 ** 32 }, code: 'invalid_announcement' },
  { name: 'an incarnation beyond the safe numbers', changes: { incarnation: 2 ** 53 }, code: 'invalid_announcement' },
  { name: 'a pool of thousands of characters', changes: { pool: 'p'.repeat(4_000) }, code: 'invalid_announcement' },
  { name: 'arrays within arrays', changes: { zone: JSON.parse('['.repeat(2_000) + ']'.repeat(2_000)) }, code: 'invalid_announcement' },
  { name: 'an unknown field', changes: { weight: 3 }, code: 'invalid_announcement' },
  { name: 'an older incarnation', changes: { incarnation: 0 }, code: 'stale_incarnation' },
  { name: 'the same incarnation with other slots', changes: { slots: 9 }, code: 'address_claimed' },
  { name: 'another pool claims the address', changes: { pool: 'dispatch', incarnation: 2 }, code: 'address_claimed' }
]

for (const row of REFUSALS) {
  test(`refused: ${row.name}`, async () => {
    const fleet = RegistryFleet.create(3)
    fleet.registryOf('entry-0').announce(announcementOf()).unwrap()
    const refused = fleet.registryOf('entry-0').announce(announcementOf(row.changes)).unwrapErr()
    assert.is(refused.code, row.code)
    assert.equal(fleet.registryOf('entry-0').upstreams('ledger').map((record) => [record.incarnation, record.slots]), [[1, 6]])
    fleet.stopAll()
  })
}

const DEPARTURES = [
  { name: 'draining', depart: (fleet: RegistryFleet) => fleet.registryOf('entry-3').announce(announcementOf({ state: 'draining' })).unwrap(), leaseMilliseconds: 0 },
  { name: 'withdrawn', depart: (fleet: RegistryFleet) => fleet.registryOf('entry-3').withdraw('ledger', ADDRESS, 1).unwrap(), leaseMilliseconds: 0 },
  { name: 'lease expired', depart: () => undefined, leaseMilliseconds: 4_000 }
]

for (const row of DEPARTURES) {
  for (const crashes of [false, true]) {
    test(`${row.name}: not serving on any entry within 2 s${crashes ? ', even if the entries that heard it crash' : ''}`, async () => {
      const fleet = await fleetWithUpstream()
      row.depart(fleet)
      if (crashes) for (const name of ['entry-3', 'entry-0', 'entry-7']) fleet.crash(name)
      await fleet.run(row.leaseMilliseconds + DEPARTURE_MILLISECONDS)
      assert.equal(fleet.serving('ledger', ADDRESS), [])
      fleet.stopAll()
    })
  }
}

test('a withdrawal reaches all entries within 2 s despite 10 % message loss and a crash of the entry that received it', async () => {
  const fleet = await fleetWithUpstream()
  fleet.network.settings = { ...fleet.network.settings, lossProbability: 0.1 }
  fleet.registryOf('entry-3').withdraw('ledger', ADDRESS, 1).unwrap()
  fleet.crash('entry-3')
  await fleet.run(DEPARTURE_MILLISECONDS)
  assert.equal(fleet.serving('ledger', ADDRESS), [])
  fleet.stopAll()
})

test('a renewed lease does not expire while its home entries crash one after the other', async () => {
  const fleet = await fleetWithUpstream()
  const homes = fleet.registryOf('entry-0').liveness.overlay().homesOf(0).filter((name) => name !== 'entry-0')
  for (const home of [...homes, 'entry-9', 'entry-21']) {
    fleet.crash(home)
    await fleet.renew(announcementOf(), ['entry-0'], 5_000)
    const running = fleet.names.filter((name) => fleet.registryOf(name) !== undefined)
    assert.is(fleet.serving('ledger', ADDRESS).length, running.length)
  }
  fleet.stopAll()
})

test('an isolated entry that hears the upstream refutes the expiry of its lease once it is reconnected', async () => {
  const fleet = await fleetWithUpstream()
  for (const name of fleet.names) if (name !== 'entry-5') fleet.network.cut('entry-5', name)
  await fleet.renew(announcementOf(), ['entry-5'], 8_000)
  for (const name of fleet.names) fleet.network.heal('entry-5', name)
  await fleet.renew(announcementOf(), ['entry-5'], 3_000)
  assert.is(fleet.serving('ledger', ADDRESS).length, 44)
  fleet.stopAll()
})

for (const direction of ['incoming', 'outgoing', 'both'] as const) {
  test(`outdated records of an entry cut off for an hour do not bring a withdrawn upstream back (${direction})`, async () => {
    const fleet = RegistryFleet.create(6)
    await fleet.renew(announcementOf(), ['entry-0'], 3_000)
    fleet.cutOff('entry-4', direction)
    fleet.registryOf('entry-1').withdraw('ledger', ADDRESS, 1).unwrap()
    await fleet.run(3_600_000)
    fleet.network.healAll()
    await fleet.run(DEPARTURE_MILLISECONDS + 4_000)
    assert.equal(fleet.serving('ledger', ADDRESS), [])
    fleet.stopAll()
  })
}

test('an upstream that restarts on the same address replaces its earlier incarnation, which is then refused', async () => {
  const fleet = await fleetWithUpstream()
  fleet.registryOf('entry-1').withdraw('ledger', ADDRESS, 1).unwrap()
  fleet.registryOf('entry-9').announce(announcementOf({ incarnation: 2 })).unwrap()
  await fleet.run(1_000)
  assert.is(fleet.serving('ledger', ADDRESS).length, 44)
  assert.is(fleet.registryOf('entry-30').announce(announcementOf()).unwrapErr().code, 'stale_incarnation')
  assert.is(fleet.registryOf('entry-30').withdraw('ledger', ADDRESS, 1).unwrapErr().code, 'stale_incarnation')
  fleet.stopAll()
})

test('if two upstreams claim one address at the same time, all entries keep the same one', async () => {
  const fleet = RegistryFleet.create(20)
  fleet.registryOf('entry-1').announce(announcementOf()).unwrap()
  fleet.registryOf('entry-2').announce(announcementOf({ pool: 'dispatch' })).unwrap()
  await fleet.run(1_500)
  const kept = new Set(fleet.names.map((name) => [...fleet.registryOf(name).poolNames()].join()))
  assert.is(kept.size, 1)
  fleet.stopAll()
})

test('an entry that joins learns all upstreams within 2 s', async () => {
  const fleet = RegistryFleet.create(20)
  fleet.crash('entry-6')
  for (let index = 1; index <= 60; index += 1) fleet.registryOf(`entry-${index % 5}`).announce(announcementOf({ address: `10.0.0.${index}:80`, leaseMilliseconds: 60_000 }))
  await fleet.run(1_000)
  fleet.start('entry-6')
  await fleet.run(2_000)
  assert.is(fleet.registryOf('entry-6').upstreams('ledger').length, 60)
  fleet.stopAll()
})

test('reported load reaches other entries', async () => {
  const fleet = RegistryFleet.create(20)
  await fleet.renew(announcementOf({ load: 0.8 }), ['entry-2'], 6_000)
  const loads = fleet.names.map((name) => fleet.registryOf(name).upstreams('ledger')[0]?.load)
  assert.equal(new Set(loads), new Set([0.8]))
  fleet.stopAll()
})

test.run()

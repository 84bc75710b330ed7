import { EntryState } from '@hickoryspoke/protocol/generated/gossip'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { checkAnnouncementToken, parseWithdrawal } from '../announcement.ts'
import { Overlay } from '../overlay.ts'
import { RegistryFleet } from './registry-fleet.ts'

function statesOf (fleet: RegistryFleet, subject: string): Set<EntryState> {
  const observers = fleet.names.filter((name) => name !== subject && fleet.registryOf(name) !== undefined)
  return new Set(observers.map((name) => fleet.registryOf(name).liveness.stateOf(subject)))
}

const ROWS = [
  { name: 'a crashed entry is dead on all others', act: (fleet: RegistryFleet) => fleet.crash('entry-3'), expected: EntryState.ENTRY_STATE_DEAD },
  { name: 'a closed entry has left on all others', act: (fleet: RegistryFleet) => fleet.registryOf('entry-3').close(), expected: EntryState.ENTRY_STATE_LEFT },
  {
    name: 'an entry with some one-way broken links stays alive, thanks to indirect probes',
    act: (fleet: RegistryFleet) => fleet.registryOf('entry-3').liveness.neighbours().slice(0, 4).forEach((name) => fleet.network.cut('entry-3', name)),
    expected: EntryState.ENTRY_STATE_ALIVE
  },
  { name: 'an entry that receives nothing does not make others appear dead', act: (fleet: RegistryFleet) => fleet.cutOff('entry-5', 'incoming'), expected: EntryState.ENTRY_STATE_ALIVE }
]

for (const row of ROWS) {
  test(row.name, async () => {
    const fleet = RegistryFleet.create(44)
    await fleet.run(2_000)
    row.act(fleet)
    await fleet.run(12_000)
    assert.equal(statesOf(fleet, 'entry-3'), new Set([row.expected]))
    fleet.stopAll()
  })
}

test('an entry that restarts after a crash refutes its death', async () => {
  const fleet = RegistryFleet.create(44)
  fleet.crash('entry-3')
  await fleet.run(12_000)
  fleet.start('entry-3')
  await fleet.run(4_000)
  assert.equal(statesOf(fleet, 'entry-3'), new Set([EntryState.ENTRY_STATE_ALIVE]))
  fleet.stopAll()
})

test('in an overlay of 800 entries all entries are within 4 hops, and homes are in different zones', () => {
  const members = Array.from({ length: 800 }, (_, index) => ({ name: `entry-${index}`, zone: `zone-${index % 6}` }))
  const overlay = Overlay.create(members)
  let reached = new Set(['entry-0'])
  let hops = 0
  for (; reached.size < 800 && hops < 10; hops += 1) reached = new Set([...reached].flatMap((name) => [name, ...overlay.neighbours(name)]))
  assert.ok(hops <= 4, `hops ${hops}`)
  const zones = overlay.homesOf(5).map((name) => members.find((member) => member.name === name)?.zone)
  assert.is(new Set(zones).size, 3)
})

test('only the token of the pool is accepted, and a pool without a digest accepts none', () => {
  const digest = sha256Digest('secret')
  assert.ok(checkAnnouncementToken('secret', digest).isOk())
  for (const [token, expected] of [['wrong', digest], [undefined, digest], ['', digest], ['secret', undefined]] as const) {
    assert.is(checkAnnouncementToken(token, expected).unwrapErr().code, 'wrong_token')
  }
})

test('a withdrawal requires only pool and address, and a complete announcement is accepted as one', () => {
  assert.equal(parseWithdrawal({ pool: 'ledger', address: '10.0.0.1:80' }).unwrap(), { pool: 'ledger', address: '10.0.0.1:80' })
  assert.is(parseWithdrawal({ pool: 'ledger', address: '10.0.0.1:80', slots: 6, incarnation: 3 }).unwrap().incarnation, 3)
  assert.is(parseWithdrawal({ pool: 'ledger', address: 'ledger:80' }).unwrapErr().code, 'invalid_announcement')
})

test.run()

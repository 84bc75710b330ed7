import { mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { regionsBehind } from '@hickoryspoke/control/delivery'
import { REMOVAL_SILENCE_MILLISECONDS } from '@hickoryspoke/control/enrolment'
import { FRESHNESS_LEASE_MILLISECONDS } from '@hickoryspoke/membership/epoch-lease'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DistributionFleet, createFleetState } from './distribution-fleet.ts'

const SETTLE_MILLISECONDS = 8_000

async function startFleet (entries: number, customers = 8): Promise<DistributionFleet> {
  const fleet = DistributionFleet.create()
  await fleet.apply(createFleetState(1, customers, 4))
  for (let index = 0; index < entries; index += 1) fleet.start(`entry-${index}`)
  await fleet.clock.advanceAsync(SETTLE_MILLISECONDS)
  return fleet
}

/** Returns the state of the fleet without its last key. */
function withoutLastKey (number: number, customers = 8): ReturnType<typeof createFleetState> {
  const file = createFleetState(number, customers, 4)
  return { ...file, keys: file.keys.slice(0, -1) }
}

test('entries are enrolled with the accepted state, become fresh, and receive a change immediately', async () => {
  const fleet = await startFleet(6)
  assert.is(fleet.state.entries.membership().entries.length, 6)
  assert.is(fleet.state.entries.epoch, fleet.state.entries.establishedEpoch)
  assert.is(fleet.freshEntries().length, 6)
  await fleet.apply(withoutLastKey(2))
  await fleet.clock.advanceAsync(10)
  assert.equal(fleet.configurationNumbers(), Array(6).fill(2))
  assert.equal(regionsBehind(fleet.state, fleet.service.registry, 2), [])
})

test('removing one key of many is sent and logged as a difference', async () => {
  const fleet = await startFleet(3, 3_000)
  const [pushed, proposed] = [fleet.pushedBytes, fleet.log.proposedBytes]
  await fleet.apply(withoutLastKey(2, 3_000))
  await fleet.clock.advanceAsync(10)
  assert.equal(fleet.configurationNumbers(), [2, 2, 2])
  assert.ok(fleet.pushedBytes - pushed < 3 * 1_000)
  assert.ok(fleet.log.proposedBytes - proposed < 1_000)
})

test('an entry that starts while control is down serves with the configuration of its peers', async () => {
  const fleet = await startFleet(5)
  fleet.isControlDown = true
  fleet.partitionFromControl(fleet.followers.keys())
  await fleet.clock.advanceAsync(600_000)
  const late = fleet.start('entry-late', ['entry-3'])
  await fleet.clock.advanceAsync(5_000)
  assert.is(late.current()?.identity.number, 1)
  assert.ok(late.guard.isFresh())
  assert.not.ok(late.isControlConnected())
})

test('an entry fetches a large configuration from its peers in pieces', async () => {
  const fleet = await startFleet(3, 6_000)
  fleet.isControlDown = true
  fleet.partitionFromControl(fleet.followers.keys())
  const late = fleet.start('entry-late', ['entry-1'])
  await fleet.clock.advanceAsync(5_000)
  assert.is(late.current()?.identity.digest, fleet.state.accepted?.identity.digest)
})

test('an entry that is cut off from control receives a key revocation from its peers', async () => {
  const fleet = await startFleet(5)
  fleet.partitionFromControl(['entry-4'])
  await fleet.clock.advanceAsync(500)
  await fleet.apply(withoutLastKey(2))
  await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
  assert.equal(fleet.configurationNumbers(), Array(5).fill(2))
  assert.is(fleet.freshEntries().length, 5)
})

test('a revocation is not confirmed while control reaches no quorum of witnesses, and an unreachable majority is not removed', async () => {
  const fleet = await startFleet(5)
  const { epoch } = fleet.state.entries
  const silent = ['entry-0', 'entry-1', 'entry-2']
  fleet.partitionFromControl(silent)
  for (const left of silent) {
    for (const right of ['entry-3', 'entry-4']) {
      fleet.network.cut(left, right)
      fleet.network.cut(right, left)
    }
  }
  await fleet.apply(withoutLastKey(2))
  await fleet.clock.advanceAsync(3 * REMOVAL_SILENCE_MILLISECONDS)
  assert.equal(regionsBehind(fleet.state, fleet.service.registry, 2), ['south'])
  assert.is(fleet.state.entries.epoch, epoch)
  assert.equal(fleet.freshEntries().slice(0, 3), silent)
})

test('an entry that stays away is removed from the membership and replaced as a witness', async () => {
  const fleet = await startFleet(6)
  await fleet.stop('entry-0')
  fleet.partitionFromControl(['entry-0'])
  await fleet.clock.advanceAsync(REMOVAL_SILENCE_MILLISECONDS + SETTLE_MILLISECONDS)
  const { entries, epoch, establishedEpoch } = fleet.state.entries.membership()
  assert.not.ok(entries.some((entry) => entry.name === 'entry-0'))
  assert.is(entries.filter((entry) => entry.witness).length, 5)
  assert.is(epoch, establishedEpoch)
  assert.is(fleet.freshEntries().length, 5)
})

test('no entry may act on an epoch once another entry has a later epoch exclusively', async () => {
  const fleet = await startFleet(6)
  const { epoch } = fleet.state.entries
  fleet.partitionFromControl(['entry-5'])
  for (const name of fleet.followers.keys()) {
    fleet.network.cut(name, 'entry-5')
    fleet.network.cut('entry-5', name)
  }
  fleet.start('entry-new')
  let exclusiveSteps = 0
  for (let step = 0; step < 150; step += 1) {
    await fleet.clock.advanceAsync(100)
    const now = fleet.clock.monotonicMilliseconds()
    const guards = [...fleet.followers.values()].map((follower) => follower.guard)
    const exclusive = guards.filter((guard) => guard.exclusiveFromMilliseconds() <= now).map((guard) => guard.epoch())
    const latest = Math.max(...exclusive)
    if (latest > epoch) exclusiveSteps += 1
    assert.ok(guards.every((guard) => guard.epoch() >= latest || guard.validUntilMilliseconds() <= now))
  }
  assert.ok(exclusiveSteps > 0)
})

test('an entry that restarts with the same name and address does not change the epoch', async () => {
  const fleet = await startFleet(5)
  const { epoch } = fleet.state.entries
  await fleet.stop('entry-2')
  fleet.partitionFromControl(['entry-2'])
  fleet.unreachable.clear()
  await fleet.clock.advanceAsync(2_000)
  fleet.start('entry-2')
  await fleet.clock.advanceAsync(SETTLE_MILLISECONDS)
  assert.is(fleet.state.entries.epoch, epoch)
  assert.is(fleet.freshEntries().length, 5)
})

test('a leader that steps down ends its streams, and the entries reconnect', async () => {
  const fleet = await startFleet(3)
  fleet.log.setLeading(false)
  await fleet.clock.advanceAsync(2_000)
  assert.is(fleet.service.registry.entries().length, 0)
  assert.is(fleet.freshEntries().length, 3)
  fleet.log.setLeading(true)
  await fleet.apply(withoutLastKey(2))
  await fleet.clock.advanceAsync(SETTLE_MILLISECONDS)
  assert.equal(fleet.configurationNumbers(), [2, 2, 2])
})

test('an entry starts with the configuration on its disk and ignores a damaged file', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'hickoryspoke-entry-'))
  const fleet = DistributionFleet.create()
  await fleet.apply(createFleetState(1, 8, 4))
  await fleet.start('entry-0', [], folder).loaded
  await fleet.clock.advanceAsync(4_000)
  await fleet.stop('entry-0')
  fleet.isControlDown = true
  const file = join(folder, 'accepted-configuration')
  const stored = await readFile(file)
  assert.is(await restartFromDisk(fleet, folder), 1)
  await writeFile(file, Buffer.from(stored).fill(0, Math.floor(stored.length / 2)))
  assert.is(await restartFromDisk(fleet, folder), 0)
})

async function restartFromDisk (fleet: DistributionFleet, folder: string): Promise<number> {
  const follower = fleet.start('entry-0', [], folder)
  await follower.loaded
  const number = follower.current()?.identity.number ?? 0
  await fleet.stop('entry-0')
  return number
}

test.run()

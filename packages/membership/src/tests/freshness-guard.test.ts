import { randomBelow, pickOne } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FRESHNESS_LEASE_MILLISECONDS } from '../epoch-lease.ts'
import { FreshnessFleet, entryNames } from './freshness-fleet.ts'

const NAMES = entryNames(44)
const WITNESSES = NAMES.slice(0, 9)
const STARTUP_MILLISECONDS = 3_000

async function startedFleet (): Promise<FreshnessFleet> {
  const fleet = FreshnessFleet.create(NAMES, WITNESSES)
  await fleet.clock.advanceAsync(STARTUP_MILLISECONDS)
  assert.is(fleet.freshNames().length, NAMES.length)
  return fleet
}

/** Commits a withdrawal as number 2. Returns the milliseconds until control may acknowledge it, or undefined if it may not within 8 s. */
async function withdraw (fleet: FreshnessFleet): Promise<number | undefined> {
  fleet.committed = { ...fleet.committed, number: 2 }
  for (let waited = 0; waited <= 8_000; waited += 100) {
    if (fleet.isHeldByQuorum(2)) return waited
    await fleet.clock.advanceAsync(100)
  }
  return undefined
}

function staleButFresh (fleet: FreshnessFleet): string[] {
  return fleet.freshNames().filter((name) => fleet.entry(name).held.number < 2)
}

interface FaultRow {
  readonly title: string
  /** Injects the fault, before the withdrawal. */
  readonly before: (fleet: FreshnessFleet) => Promise<void> | void
  /** Whether control may acknowledge the withdrawal. */
  readonly isAnswered: boolean
  /** Number of entries that are fresh at the end. */
  readonly fresh: number
}

const FAULTS: readonly FaultRow[] = [
  { title: 'no fault', before: () => {}, isAnswered: true, fresh: 44 },
  { title: 'an entry cut off from all others and from control', before: (fleet) => cutOff(fleet, ['entry-20']), isAnswered: true, fresh: 43 },
  { title: 'four witnesses cut off from all others and from control', before: (fleet) => cutOff(fleet, WITNESSES.slice(0, 4)), isAnswered: true, fresh: 40 },
  { title: 'an entry that receives nothing', before: (fleet) => isolateOneWay(fleet, 'incoming'), isAnswered: true, fresh: 43 },
  { title: 'an entry whose messages are lost', before: (fleet) => isolateOneWay(fleet, 'outgoing'), isAnswered: true, fresh: 43 },
  { title: 'control cannot push to any witness, but witnesses reach each other and other entries', before: (fleet) => { WITNESSES.forEach((name) => fleet.unreachable.add(name)) }, isAnswered: true, fresh: 44 },
  { title: 'control has contact with only 10 of 44 entries, four of them witnesses', before: limitControlToTen, isAnswered: false, fresh: 44 },
  { title: 'the wall clock steps back and forth', before: (fleet) => { fleet.clock.stepWall(-3_600_000); fleet.clock.stepWall(9_000_000) }, isAnswered: true, fresh: 44 }
]

function cutOff (fleet: FreshnessFleet, names: readonly string[]): void {
  for (const name of names) {
    fleet.isolate(name)
    fleet.unreachable.add(name)
    fleet.unreported.add(name)
  }
}

function isolateOneWay (fleet: FreshnessFleet, direction: 'incoming' | 'outgoing'): void {
  fleet.isolate('entry-20', direction)
  if (direction === 'incoming') fleet.unreachable.add('entry-20')
  else fleet.unreported.add('entry-20')
}

/** Leaves control in contact with ten entries only. The other entries reach each other, but not those ten. */
function limitControlToTen (fleet: FreshnessFleet): void {
  const reachable = new Set([...WITNESSES.slice(0, 4), ...NAMES.slice(30, 36)])
  for (const name of NAMES) {
    if (reachable.has(name)) continue
    fleet.unreachable.add(name)
    fleet.unreported.add(name)
    for (const other of reachable) {
      fleet.network.cut(name, other)
      fleet.network.cut(other, name)
    }
  }
}

for (const { title, before, isAnswered, fresh } of FAULTS) {
  test(`a withdrawn key: ${title}`, async () => {
    const fleet = await startedFleet()
    await before(fleet)
    const waited = await withdraw(fleet)
    assert.is(waited !== undefined, isAnswered)
    await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
    if (isAnswered) assert.equal(staleButFresh(fleet), [])
    assert.is(fleet.freshNames().length, fresh)
  })
}

test('without control all entries stay fresh, and an isolated entry stops being fresh within the lease', async () => {
  const fleet = await startedFleet()
  fleet.isControlDown = true
  await fleet.clock.advanceAsync(600_000)
  assert.is(fleet.freshNames().length, 44)
  fleet.isolate('entry-20')
  await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
  assert.equal(NAMES.filter((name) => !fleet.freshNames().includes(name)), ['entry-20'])
  fleet.network.healAll()
  await fleet.clock.advanceAsync(1_500)
  assert.is(fleet.freshNames().length, 44)
  fleet.isControlDown = false
  assert.ok(await withdraw(fleet) !== undefined)
  await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
  assert.equal(staleButFresh(fleet), [])
})

test('control in contact with 10 of 44 entries cannot establish an epoch without the other 34', async () => {
  const fleet = await startedFleet()
  limitControlToTen(fleet)
  await fleet.clock.advanceAsync(5_000)
  const [first] = fleet.epochs
  assert.not.ok(fleet.isHeldByQuorum(1))
  fleet.epochs.push({ epoch: 2, witnesses: WITNESSES.slice(0, 4) })
  fleet.committed = { number: 1, epoch: 2 }
  await fleet.clock.advanceAsync(60_000)
  assert.ok(first !== undefined && !fleet.isEpochHeld(first, 2))
  assert.is(fleet.freshNames().filter((name) => fleet.entry(name).held.epoch === 1).length, 34)
})

test('a witness that lost its state does not count until the end of its quarantine, but is fresh itself', async () => {
  const fleet = await startedFleet()
  fleet.isControlDown = true
  await fleet.clock.advanceAsync(5_000)
  fleet.crash('entry-0')
  fleet.start('entry-0', { number: 1, epoch: 1 })
  await fleet.clock.advanceAsync(1_000)
  assert.ok(fleet.entry('entry-0').guard.isFresh())
  assert.not.ok(fleet.entry('entry-0').guard.isWitnessReady())
  await fleet.clock.advanceAsync(13_000)
  assert.ok(fleet.entry('entry-0').guard.isWitnessReady())
})

// Guards against a restarted witness that lost the withdrawal and completes a quorum of entries that never received it.
test('a witness that lost the withdrawal in a restart does not make entries without it fresh', async () => {
  const names = entryNames(5)
  const [holders, others] = [names.slice(0, 3), names.slice(3)]
  const fleet = FreshnessFleet.create(names, names)
  await fleet.clock.advanceAsync(STARTUP_MILLISECONDS)
  cutOff(fleet, others)
  fleet.network.healAll()
  cutBetween(fleet, holders, others)
  assert.ok(await withdraw(fleet) !== undefined)
  fleet.isControlDown = true
  await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
  fleet.crash('entry-0')
  fleet.start('entry-0', { number: 1, epoch: 1 })
  fleet.network.healAll()
  cutBetween(fleet, ['entry-0', ...others], ['entry-1', 'entry-2'])
  await fleet.clock.advanceAsync(60_000)
  assert.equal(staleButFresh(fleet), [])
})

test('an answer of control that names a newer file does not make an entry fresh before it holds that file', async () => {
  const fleet = await startedFleet()
  fleet.isolate('entry-20')
  fleet.unreachable.add('entry-20')
  fleet.answered.add('entry-20')
  await withdraw(fleet)
  await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
  assert.equal(staleButFresh(fleet), [])
})

test('in 200 runs with random partitions, restarts and withdrawals no entry accepts a withdrawn key after the lease', async () => {
  let answers = 0
  for (let seed = 1; seed <= 200; seed += 1) answers += await runRandomFaults(seed)
  assert.ok(answers > 200)
})

/** Returns the number of acknowledged withdrawals. */
async function runRandomFaults (seed: number): Promise<number> {
  const names = entryNames(5)
  const fleet = FreshnessFleet.create(names, names, seed)
  const answeredAt = new Map<number, number>()
  for (let step = 0; step < 60; step += 1) {
    injectFault(fleet, names)
    await fleet.clock.advanceAsync(200 + randomBelow(fleet.random, 1_500))
    const now = fleet.clock.monotonicMilliseconds()
    const { number } = fleet.committed
    if (!answeredAt.has(number) && fleet.isHeldByQuorum(number)) answeredAt.set(number, now)
    for (const name of fleet.freshNames()) {
      const { held } = fleet.entry(name)
      const answered = [...answeredAt].filter(([later]) => later > held.number).map(([, at]) => at)
      assert.ok(answered.every((at) => now - at < FRESHNESS_LEASE_MILLISECONDS), `seed ${seed}: ${name} at ${held.number} after ${now}`)
    }
  }
  return answeredAt.size
}

function injectFault (fleet: FreshnessFleet, names: readonly string[]): void {
  const faults = [
    () => split(fleet, names),
    () => split(fleet, names),
    () => split(fleet, names),
    () => { fleet.isControlDown = !fleet.isControlDown },
    () => { fleet.committed = { ...fleet.committed, number: fleet.committed.number + (fleet.isControlDown ? 0 : 1) } },
    () => restart(fleet, pickOne(fleet.random, names)),
    () => restart(fleet, pickOne(fleet.random, names)),
    () => heal(fleet)
  ]
  pickOne(fleet.random, faults)()
}

function heal (fleet: FreshnessFleet): void {
  fleet.network.healAll()
  fleet.unreachable.clear()
  fleet.unreported.clear()
}

/** Splits the fleet into two sides that cannot reach each other. Control reaches one of them. */
function split (fleet: FreshnessFleet, names: readonly string[]): void {
  heal(fleet)
  const side = new Set(names.filter(() => randomBelow(fleet.random, 2) === 0))
  for (const name of names) {
    if (!side.has(name)) fleet.unreachable.add(name)
    if (!side.has(name)) fleet.unreported.add(name)
  }
  cutBetween(fleet, [...side], names.filter((name) => !side.has(name)))
}

function cutBetween (fleet: FreshnessFleet, left: readonly string[], right: readonly string[]): void {
  for (const name of left) {
    for (const other of right) {
      fleet.network.cut(name, other)
      fleet.network.cut(other, name)
    }
  }
}

/** Restarts an entry with the lowest number that any running entry holds, as if it had loaded old state. */
function restart (fleet: FreshnessFleet, name: string): void {
  fleet.crash(name)
  const oldest = Math.min(...[...fleet.entries.values()].map((entry) => entry.held.number))
  fleet.start(name, { number: oldest, epoch: 1 })
}

test.run()

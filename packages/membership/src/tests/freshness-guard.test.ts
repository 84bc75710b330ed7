import { randomBelow, pickOne } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FRESHNESS_LEASE_MILLISECONDS } from '../epoch-lease.ts'
import { FreshnessFleet, entryNames } from './freshness-fleet.ts'

const NAMES = entryNames(44)
const WITNESSES = NAMES.slice(0, 9)
const SETTLED_MILLISECONDS = 3_000

async function startedFleet (): Promise<FreshnessFleet> {
  const fleet = FreshnessFleet.create(NAMES, WITNESSES)
  await fleet.clock.advanceAsync(SETTLED_MILLISECONDS)
  assert.is(fleet.freshNames().length, NAMES.length)
  return fleet
}

/** Commits a withdrawal as number 2 and gives how long until control may answer it, or undefined within 8 s. */
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
  /** Brought about before the withdrawal. */
  readonly before: (fleet: FreshnessFleet) => Promise<void> | void
  /** Whether control may answer the withdrawal as accepted. */
  readonly isAnswered: boolean
  /** Entries that still serve in the end. */
  readonly fresh: number
}

const FAULTS: readonly FaultRow[] = [
  { title: 'no fault', before: () => {}, isAnswered: true, fresh: 44 },
  { title: 'an entry cut from all and from control', before: (fleet) => cutOff(fleet, ['entry-20']), isAnswered: true, fresh: 43 },
  { title: 'four witnesses cut from all and from control', before: (fleet) => cutOff(fleet, WITNESSES.slice(0, 4)), isAnswered: true, fresh: 40 },
  { title: 'an entry that hears nothing', before: (fleet) => isolateOneWay(fleet, 'incoming'), isAnswered: true, fresh: 43 },
  { title: 'an entry that nobody hears', before: (fleet) => isolateOneWay(fleet, 'outgoing'), isAnswered: true, fresh: 43 },
  { title: 'control reaches no witness and the witnesses hear each other', before: (fleet) => { WITNESSES.forEach((name) => fleet.deaf.add(name)) }, isAnswered: true, fresh: 44 },
  { title: 'control hears only 10 of 44, four of them witnesses', before: hearOnlyTen, isAnswered: false, fresh: 44 },
  { title: 'the wall clock steps back and forth', before: (fleet) => { fleet.clock.stepWall(-3_600_000); fleet.clock.stepWall(9_000_000) }, isAnswered: true, fresh: 44 }
]

function cutOff (fleet: FreshnessFleet, names: readonly string[]): void {
  for (const name of names) {
    fleet.isolate(name)
    fleet.deaf.add(name)
    fleet.unheard.add(name)
  }
}

function isolateOneWay (fleet: FreshnessFleet, direction: 'incoming' | 'outgoing'): void {
  fleet.isolate('entry-20', direction)
  if (direction === 'incoming') fleet.deaf.add('entry-20')
  else fleet.unheard.add('entry-20')
}

/** Control pushes to and hears ten entries only; the others still hear each other, but not the ten. */
function hearOnlyTen (fleet: FreshnessFleet): void {
  const ten = new Set([...WITNESSES.slice(0, 4), ...NAMES.slice(30, 36)])
  for (const name of NAMES) {
    if (ten.has(name)) continue
    fleet.deaf.add(name)
    fleet.unheard.add(name)
    for (const other of ten) {
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

test('with control away for hours every entry goes on, and an isolated one stops within the lease', async () => {
  const fleet = await startedFleet()
  fleet.isControlAway = true
  await fleet.clock.advanceAsync(600_000)
  assert.is(fleet.freshNames().length, 44)
  fleet.isolate('entry-20')
  await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
  assert.equal(NAMES.filter((name) => !fleet.freshNames().includes(name)), ['entry-20'])
  fleet.network.healAll()
  await fleet.clock.advanceAsync(1_500)
  assert.is(fleet.freshNames().length, 44)
  fleet.isControlAway = false
  assert.ok(await withdraw(fleet) !== undefined)
  await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
  assert.equal(staleButFresh(fleet), [])
})

test('control that hears 10 of 44 cannot establish an epoch without the silent 34', async () => {
  const fleet = await startedFleet()
  hearOnlyTen(fleet)
  await fleet.clock.advanceAsync(5_000)
  const [first] = fleet.epochs
  assert.not.ok(fleet.isHeldByQuorum(1))
  fleet.epochs.push({ epoch: 2, witnesses: WITNESSES.slice(0, 4) })
  fleet.committed = { number: 1, epoch: 2 }
  await fleet.clock.advanceAsync(60_000)
  assert.ok(first !== undefined && !fleet.isEpochHeld(first, 2))
  assert.is(fleet.freshNames().filter((name) => fleet.entry(name).held.epoch === 1).length, 34)
})

test('a witness that lost its memory does not count until its quarantine is over, and serves meanwhile', async () => {
  const fleet = await startedFleet()
  fleet.isControlAway = true
  await fleet.clock.advanceAsync(5_000)
  fleet.crash('entry-0')
  fleet.start('entry-0', { number: 1, epoch: 1 })
  await fleet.clock.advanceAsync(1_000)
  assert.ok(fleet.entry('entry-0').guard.isFresh())
  assert.not.ok(fleet.entry('entry-0').guard.isWitnessReady())
  await fleet.clock.advanceAsync(13_000)
  assert.ok(fleet.entry('entry-0').guard.isWitnessReady())
})

test('a holder of the withdrawal that restarts without memory among entries that never heard of it makes none of them fresh', async () => {
  const names = entryNames(5)
  const [holders, others] = [names.slice(0, 3), names.slice(3)]
  const fleet = FreshnessFleet.create(names, names)
  await fleet.clock.advanceAsync(SETTLED_MILLISECONDS)
  cutOff(fleet, others)
  fleet.network.healAll()
  cutBetween(fleet, holders, others)
  assert.ok(await withdraw(fleet) !== undefined)
  fleet.isControlAway = true
  await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
  fleet.crash('entry-0')
  fleet.start('entry-0', { number: 1, epoch: 1 })
  fleet.network.healAll()
  cutBetween(fleet, ['entry-0', ...others], ['entry-1', 'entry-2'])
  await fleet.clock.advanceAsync(60_000)
  assert.equal(staleButFresh(fleet), [])
})

test('the word of control about a newer file does not make an entry fresh before it holds that file', async () => {
  const fleet = await startedFleet()
  fleet.isolate('entry-20')
  fleet.deaf.add('entry-20')
  fleet.answered.add('entry-20')
  await withdraw(fleet)
  await fleet.clock.advanceAsync(FRESHNESS_LEASE_MILLISECONDS)
  assert.equal(staleButFresh(fleet), [])
})

test('200 runs with random partitions, restarts without memory and withdrawals: no entry honours a withdrawn key past the lease', async () => {
  let answers = 0
  for (let seed = 1; seed <= 200; seed += 1) answers += await runRandomFaults(seed)
  assert.ok(answers > 200)
})

/** Gives how many withdrawals were answered as accepted. */
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
    () => { fleet.isControlAway = !fleet.isControlAway },
    () => { fleet.committed = { ...fleet.committed, number: fleet.committed.number + (fleet.isControlAway ? 0 : 1) } },
    () => restart(fleet, pickOne(fleet.random, names)),
    () => restart(fleet, pickOne(fleet.random, names)),
    () => heal(fleet)
  ]
  pickOne(fleet.random, faults)()
}

function heal (fleet: FreshnessFleet): void {
  fleet.network.healAll()
  fleet.deaf.clear()
  fleet.unheard.clear()
}

/** Two sides that do not hear each other; control reaches one of them. */
function split (fleet: FreshnessFleet, names: readonly string[]): void {
  heal(fleet)
  const side = new Set(names.filter(() => randomBelow(fleet.random, 2) === 0))
  for (const name of names) {
    if (!side.has(name)) fleet.deaf.add(name)
    if (!side.has(name)) fleet.unheard.add(name)
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

/** A restarted entry has only what it held long ago. */
function restart (fleet: FreshnessFleet, name: string): void {
  fleet.crash(name)
  const oldest = Math.min(...[...fleet.entries.values()].map((entry) => entry.held.number))
  fleet.start(name, { number: oldest, epoch: 1 })
}

test.run()

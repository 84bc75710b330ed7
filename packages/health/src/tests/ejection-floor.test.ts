import * as fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AttemptKind } from '../attempt-outcome.ts'
import { EjectionFleet } from './ejection-fleet.ts'

const SEED = 60_606
const RUNS = 60
const SLOTS = [6, 4, 6, 4]
const ENTRIES = ['entry-0', 'entry-1', 'entry-2', 'entry-3', 'entry-4']
const TOLERANCE = 1e-6

type Step = (fleet: EjectionFleet) => void

const entry = fc.integer({ min: 0, max: 4 }).map((index) => `entry-${index}`)
const address = fc.integer({ min: 0, max: SLOTS.length - 1 }).map((index) => `10.0.0.${index}:80`)

const failing: fc.Arbitrary<Step> = address.map((target) => (fleet) => { for (const name of ENTRIES) fleet.attempts(name, target, AttemptKind.ServerError) })
const failingByEntry: fc.Arbitrary<Step> = fc.tuple(address, address).map(([first, second]) => (fleet) => {
  ENTRIES.forEach((name, index) => fleet.attempts(name, index % 2 === 0 ? first : second, AttemptKind.ServerError))
})
const working: fc.Arbitrary<Step> = fc.tuple(entry, address).map(([name, target]) => (fleet) => fleet.attempts(name, target, AttemptKind.Answered))
const cuttingLink: fc.Arbitrary<Step> = fc.tuple(entry, entry).map(([from, to]) => (fleet) => fleet.network.cut(from, to))
const healing: fc.Arbitrary<Step> = fc.constant((fleet) => fleet.network.healAll())
const restarting: fc.Arbitrary<Step> = entry.map((name) => (fleet) => fleet.restart(name))
const cuttingControl: fc.Arbitrary<Step> = fc.tuple(entry, fc.boolean()).map(([name, heard]) => (fleet) => fleet.setControlReachable(name, heard))
const enrolling: fc.Arbitrary<Step> = fc.subarray(ENTRIES, { minLength: 2 }).map((names) => (fleet) => fleet.changeEpoch(names))
const splitting: fc.Arbitrary<Step> = fc.subarray(ENTRIES, { minLength: 2, maxLength: 3 }).map((names) => (fleet) => {
  for (const name of ENTRIES) fleet.setControlReachable(name, names.includes(name))
  fleet.changeEpoch(names)
})
const leaving: fc.Arbitrary<Step> = address.map((target) => (fleet) => fleet.withdraw(target))
const joining: fc.Arbitrary<Step> = fc.tuple(address, fc.integer({ min: 2, max: 9 }), fc.integer({ min: 1, max: 9 }))
  .map(([target, incarnation, slots]) => (fleet) => fleet.announce(target, incarnation, slots))

const step = fc.oneof(
  { weight: 8, arbitrary: failing }, { weight: 4, arbitrary: failingByEntry }, { weight: 2, arbitrary: working }, { weight: 2, arbitrary: cuttingLink },
  { weight: 1, arbitrary: healing }, { weight: 2, arbitrary: restarting }, { weight: 1, arbitrary: cuttingControl }, { weight: 2, arbitrary: enrolling },
  { weight: 2, arbitrary: splitting }, { weight: 1, arbitrary: leaving }, { weight: 1, arbitrary: joining }
)
const timedStep = fc.tuple(step, fc.constantFrom(100, 300, 1_000, 3_000, 6_000))

test('no schedule of races, one-way partitions, restarts and epoch changes takes a pool below its floor', async () => {
  let seenOut = 0
  const schedule = fc.array(timedStep, { minLength: 15, maxLength: 35, size: 'max' })
  const property = fc.asyncProperty(schedule, fc.constantFrom(0.4, 0.6), async (steps, floor) => {
    const fleet = EjectionFleet.create(SEED, floor, SLOTS)
    await fleet.run(16_000)
    for (const [act, milliseconds] of steps) {
      act(fleet)
      const excess = await fleet.run(milliseconds)
      seenOut = Math.max(seenOut, fleet.outOfService().size)
      assert.ok(excess <= TOLERANCE, `${excess} slots below the floor of ${floor}`)
    }
    fleet.stopAll()
  })
  await fc.assert(property, { seed: SEED, numRuns: RUNS })
  assert.ok(seenOut >= 1, 'the schedules caused no ejections')
})

test('nothing is ejected while no entry can reach control', async () => {
  const fleet = EjectionFleet.create(SEED, 0.5, SLOTS)
  await fleet.run(16_000)
  for (const name of fleet.names) fleet.setControlReachable(name, false)
  await fleet.run(6_000)
  for (const name of fleet.names) fleet.attempts(name, '10.0.0.1:80', AttemptKind.ServerError)
  await fleet.run(3_000)
  assert.equal([...fleet.outOfService()], [])
  fleet.stopAll()
})

test('an upstream that recovers is back in service at all entries', async () => {
  const fleet = EjectionFleet.create(SEED, 0.5, SLOTS)
  await fleet.run(16_000)
  for (const name of fleet.names) fleet.attempts(name, '10.0.0.1:80', AttemptKind.ServerError)
  await fleet.run(1_000)
  assert.equal([...fleet.outOfService()], ['10.0.0.1:80'])
  await fleet.run(1_500)
  for (let second = 0; second < 14; second += 1) {
    fleet.attempts('entry-2', '10.0.0.1:80', AttemptKind.Answered)
    await fleet.run(1_000)
  }
  assert.equal([...fleet.outOfService()], [])
  fleet.stopAll()
})

test.run()

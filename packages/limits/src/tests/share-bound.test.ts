import * as fastCheck from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { worstExcess } from './bound-checker.ts'
import { FAULT_KINDS, type FaultKind, type FaultSchedule, playSchedule } from './fault-schedule.ts'

const SEED = 20_261_204
const RUNS = 40

const step = fastCheck.record({
  afterMilliseconds: fastCheck.oneof(fastCheck.integer({ min: 0, max: 50 }), fastCheck.integer({ min: 50, max: 3000 })),
  kind: fastCheck.constantFrom(...FAULT_KINDS),
  entry: fastCheck.nat({ max: 8 }),
  other: fastCheck.nat({ max: 8 }),
  size: fastCheck.nat({ max: 3 })
})

const schedule: fastCheck.Arbitrary<FaultSchedule> = fastCheck.record({
  seed: fastCheck.integer({ min: 1, max: 1_000_000 }),
  entries: fastCheck.constantFrom(1, 2, 3, 4, 7),
  steps: fastCheck.array(step, { minLength: 3, maxLength: 14 })
})

test('the checker reports the excess of the worst window', () => {
  assert.is(worstExcess([0, 0, 0, 1000, 2000], 1, 3), 0)
  assert.is(worstExcess([0, 5000, 5000, 5000, 5000], 1, 3), 1)
})

type Row = readonly [afterMilliseconds: number, kind: FaultKind, entry?: number, size?: number]

function scheduleOf (entries: number, rows: readonly Row[]): FaultSchedule {
  const steps = rows.map(([afterMilliseconds, kind, entry = 0, size = 0]) => ({ afterMilliseconds, kind, entry, other: entry + 1, size }))
  return { seed: SEED, entries, steps }
}

const NAMED_SCHEDULES: readonly (readonly [string, FaultSchedule])[] = [
  ['all holders crash and restart at once', scheduleOf(3, [[500, 'crashAndRestart', 0], [0, 'crashAndRestart', 1], [0, 'crashAndRestart', 2]])],
  ['each entry restarts before the last one votes again', scheduleOf(3, [[500, 'crashAndRestart', 0], [900, 'crashAndRestart', 1], [900, 'crashAndRestart', 2]])],
  ['a holder can send but not receive', scheduleOf(3, [[500, 'isolateReceiving', 0], [4000, 'heal'], [10, 'isolateReceiving', 1], [4000, 'heal']])],
  ['a holder can receive but not send', scheduleOf(3, [[500, 'isolateSending', 0], [4000, 'heal'], [10, 'isolateSending', 1], [4000, 'heal']])],
  ['answers arrive long after they were sent', scheduleOf(4, [[500, 'late', 0, 3], [500, 'crash', 0], [3000, 'restart', 0]])],
  ['the rate falls while granted tokens are unused', scheduleOf(3, [[500, 'changeRate', 0, 2], [4000, 'changeRate', 0, 1], [4000, 'changeRate', 0, 0]])],
  ['an isolated entry is removed and enrolled again', scheduleOf(4, [
    [500, 'isolateSending', 0], [0, 'controlCut', 0], [100, 'remove', 0], [6000, 'heal'], [0, 'controlHeal', 0], [10, 'enrolAll']
  ])],
  ['planned stops follow one another', scheduleOf(4, [[500, 'stop', 0], [300, 'stop', 1], [300, 'restart', 0], [300, 'stop', 2], [300, 'restart', 1], [300, 'restart', 2]])]
]

for (const [name, faults] of NAMED_SCHEDULES) {
  test(`the bound holds when ${name}`, async () => {
    const outcome = await playSchedule(faults)
    assert.ok(outcome.worstExcess <= 0, `excess of ${outcome.worstExcess}`)
    assert.ok(outcome.admitted > 0)
  })
}

test('the bound of burst plus rate times time holds under random schedules of faults', async () => {
  let admitted = 0
  await fastCheck.assert(fastCheck.asyncProperty(schedule, async (faults) => {
    const outcome = await playSchedule(faults)
    admitted += outcome.admitted
    assert.ok(outcome.worstExcess <= 0, `excess of ${outcome.worstExcess}`)
  }), { seed: SEED, numRuns: RUNS })
  assert.ok(admitted > RUNS * 200, `only ${admitted} admitted: too few to test the bound`)
})

test.run()

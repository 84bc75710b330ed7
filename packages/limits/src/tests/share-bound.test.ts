import * as fastCheck from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { worstExcess } from './bound-checker.ts'
import { FAULT_KINDS, type FaultSchedule, playSchedule } from './fault-schedule.ts'

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

test('the checker finds an excess in the worst window only', () => {
  assert.is(worstExcess([0, 0, 0, 1000, 2000], 1, 3), 0)
  assert.is(worstExcess([0, 5000, 5000, 5000, 5000], 1, 3), 1)
})

test('no schedule of faults breaks burst plus rate times time', async () => {
  let admitted = 0
  await fastCheck.assert(fastCheck.asyncProperty(schedule, async (faults) => {
    const outcome = await playSchedule(faults)
    admitted += outcome.admitted
    assert.ok(outcome.worstExcess <= 0, `excess of ${outcome.worstExcess}`)
  }), { seed: SEED, numRuns: RUNS })
  assert.ok(admitted > RUNS * 200, `only ${admitted} admitted: the schedules show little`)
})

test.run()

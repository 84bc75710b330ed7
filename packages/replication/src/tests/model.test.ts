import { SeededRandom } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { randomWalk } from '../model/explorer.ts'
import { describeAction, LONG_RUNS, runModel, SEEDED_FAULTS, SHORT_RUNS } from '../model/model-runs.ts'
import { ReplicationSpecification } from '../model/replication-specification.ts'

for (const run of SHORT_RUNS) {
  test(`model, ${run.label}: no invariant is violated within depth ${run.bounds.depth}`, () => {
    const result = runModel(run)
    assert.is(result.violation, undefined)
    assert.ok(result.exhaustive)
    assert.ok(result.states > 1_000, `${result.states} states`)
  })
}

for (const run of SEEDED_FAULTS) {
  test(`model ${run.label}: detects the violation of "${run.expectedViolation}"`, () => {
    const { violation } = runModel(run)
    assert.is(violation?.invariant, run.expectedViolation)
    assert.ok((violation?.trace.length ?? 0) > 3, violation?.trace.map(describeAction).join('; '))
  })
}

test('model, random walks of 60 steps: no invariant is violated', () => {
  for (const run of LONG_RUNS) {
    for (let seed = 1; seed <= 100; seed += 1) {
      const walk = randomWalk(ReplicationSpecification.create(run.settings), SeededRandom.create(seed), 60)
      assert.is(walk.broken, undefined, `${run.label}, seed ${seed}`)
    }
  }
})

test.run()

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { exploreLeaseMoves, type SeededFault } from './lease-move-model.ts'

const MINIMUM_STATES = 10_000

test('a token is used at most once however the lease moves', () => {
  const outcome = exploreLeaseMoves({}, 1)
  assert.is(outcome.violated, false)
  assert.ok(outcome.states > MINIMUM_STATES, `only ${outcome.states} states`)
})

const FAULTS: readonly (readonly [name: string, fault: SeededFault, moves: number])[] = [
  ['a restarted member that votes immediately', { noAbstention: true }, 2],
  ['a grant forwarded after the next vote', { passAfterVote: true }, 1],
  ['a grant that is not recorded', { noWitness: true }, 1],
  ['records treated as complete that were never synced', { trustIncomplete: true }, 2]
]

for (const [name, fault, moves] of FAULTS) {
  test(`the exploration finds ${name}`, () => {
    assert.is(exploreLeaseMoves(fault, moves).violated, true)
  })
}

test.run()

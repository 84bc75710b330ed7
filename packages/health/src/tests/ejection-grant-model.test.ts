import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededFault, floorHolds, INITIAL_STATE, successors, type ModelState } from './ejection-grant-model.ts'

const STATE_LIMIT = 2_000_000

interface Exploration {
  readonly states: number
  readonly violation: ModelState | undefined
}

function explore (fault: SeededFault): Exploration {
  const seen = new Set([JSON.stringify(INITIAL_STATE)])
  let frontier = [INITIAL_STATE]
  while (frontier.length > 0 && seen.size < STATE_LIMIT) {
    const next: ModelState[] = []
    for (const state of frontier) {
      for (const successor of successors(state, fault)) {
        const identity = JSON.stringify(successor)
        if (seen.has(identity)) continue
        if (!floorHolds(successor)) return { states: seen.size, violation: successor }
        seen.add(identity)
        next.push(successor)
      }
    }
    frontier = next
  }
  return { states: seen.size, violation: undefined }
}

test('the floor holds in every reachable state', () => {
  const { states, violation } = explore(SeededFault.None)
  assert.is(violation, undefined)
  assert.ok(states > 1_000 && states < STATE_LIMIT, `${states} states`)
  console.log(`ejection grant model: ${states} states, all explored`)
})

for (const fault of Object.values(SeededFault).filter((candidate) => candidate !== SeededFault.None)) {
  test(`the exploration finds the seeded fault: ${fault}`, () => {
    assert.ok(explore(fault).violation !== undefined)
  })
}

test.run()

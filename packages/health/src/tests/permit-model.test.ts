import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Flaw, floorHolds, INITIAL_STATE, successors, type PermitState } from './permit-model.ts'

const STATE_LIMIT = 2_000_000

interface Exploration {
  readonly states: number
  readonly violation: PermitState | undefined
}

function explore (flaw: Flaw): Exploration {
  const seen = new Set([JSON.stringify(INITIAL_STATE)])
  let frontier = [INITIAL_STATE]
  while (frontier.length > 0 && seen.size < STATE_LIMIT) {
    const next: PermitState[] = []
    for (const state of frontier) {
      for (const successor of successors(state, flaw)) {
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

test('the permit keeps the floor in every reachable state', () => {
  const { states, violation } = explore(Flaw.None)
  assert.is(violation, undefined)
  assert.ok(states > 1_000 && states < STATE_LIMIT, `${states} states`)
  console.log(`permit model: ${states} states, all explored`)
})

for (const flaw of Object.values(Flaw).filter((candidate) => candidate !== Flaw.None)) {
  test(`the exploration finds the flaw: ${flaw}`, () => {
    assert.ok(explore(flaw).violation !== undefined)
  })
}

test.run()

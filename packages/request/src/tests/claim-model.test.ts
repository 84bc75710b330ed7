import { explore } from '@hickoryspoke/testing/state-explorer'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLAIM_RULES, claimSpecification, type ClaimRules } from './claim-specification.ts'

const MAXIMUM_STATES = 120_000

const BOUNDS: readonly [name: string, restarts: number, changesEpoch: boolean][] = [
  ['two restarts and no change of epoch', 2, false],
  ['one replaced holder and no restart', 0, true]
]

for (const [name, restarts, changesEpoch] of BOUNDS) {
  test(`model with ${name}: two duplicates never both run`, () => {
    const result = explore(claimSpecification(CLAIM_RULES, restarts, changesEpoch), MAXIMUM_STATES)
    assert.is(result.broken, undefined, result.trace.join('\n'))
    assert.ok(result.isExhaustive, `stopped after ${result.states} states`)
    console.log(`${name}: ${result.states} states`)
  })
}

const SEEDED_FAULTS: readonly [name: string, rules: Partial<ClaimRules>, restarts: number, changesEpoch: boolean][] = [
  ['a quorum that is not a majority', { majority: 1 }, 0, false],
  ['a restarted holder that votes before it has copies', { copiesBeforeVoting: false }, 1, false],
  ['a restarted holder that copies while earlier rounds are open', { silentAfterRestart: false }, 1, false],
  ['a copied record that counts as a grant', { copiesGrantNothing: false }, 0, true],
  ['a new member that copies before the leases of the previous epoch have expired', { newMemberWaitsForLeases: false }, 0, true]
]

for (const [name, rules, restarts, changesEpoch] of SEEDED_FAULTS) {
  test(`the exploration finds ${name}`, () => {
    const result = explore(claimSpecification({ ...CLAIM_RULES, ...rules }, restarts, changesEpoch), MAXIMUM_STATES)
    assert.is(result.broken, 'both duplicates ran')
    assert.ok(result.trace.length > 0)
  })
}

test.run()

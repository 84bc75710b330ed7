import { SeededRandom, randomBelow, shuffled } from '@hickoryspoke/runtime/random'
import type { EnrolledEntry } from '@hickoryspoke/protocol/generated/distribution'
import { MembershipOutcome } from '@hickoryspoke/protocol/generated/command'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AcceptedState } from '../accepted-state.ts'
import { fileOf, AcceptedStateDriver, outcomeOf } from './accepted-state-fixture.ts'

const RACES = 200

test('a resend is accepted without effect after 500 later changes', () => {
  const machine = AcceptedStateDriver.create()
  for (let number = 1; number <= 500; number += 1) assert.is(outcomeOf(machine.apply(fileOf(number, `mark-${number}`))), 'ACCEPTED')
  const again = machine.apply(fileOf(1, 'mark-1'))
  assert.is(outcomeOf(again), 'ACCEPTED')
  assert.is(again.accepted?.number, 500)
  assert.is(again.message, 'accepted before; number 500 is in force now')
  assert.is(machine.state.audit.lastSequence, 500)
})

const REFUSALS = [
  { title: 'a lower number is stale', file: fileOf(4, 'other'), outcome: 'STALE' },
  { title: 'an equal number with other content is a dispute', file: fileOf(5, 'other'), outcome: 'DISPUTE' },
  { title: 'an equal number with other content is a dispute even with a wrong based_on', file: fileOf(5, 'other', 3), outcome: 'DISPUTE' },
  { title: 'a file based on another number lost the race', file: fileOf(6, 'other', 4), outcome: 'LOST_RACE' },
  { title: 'a file based on the number in force is accepted', file: fileOf(6, 'other', 5), outcome: 'ACCEPTED' }
]

for (const { title, file, outcome } of REFUSALS) {
  test(title, () => {
    const machine = AcceptedStateDriver.create()
    machine.apply(fileOf(5, 'first'))
    assert.is(outcomeOf(machine.apply(file)), outcome)
    assert.is(machine.state.accepted?.identity.number, outcome === 'ACCEPTED' ? 6 : 5)
  })
}

test('an open dispute blocks new numbers until the authority settles it under a new number', () => {
  const machine = AcceptedStateDriver.create()
  const [first, second] = [fileOf(5, 'first'), fileOf(5, 'second')]
  machine.apply(first)
  const inForce = machine.state.accepted
  machine.apply(second, 'luz')
  assert.is(outcomeOf(machine.apply(fileOf(6, 'third'))), 'DISPUTE_STANDS')
  assert.is(outcomeOf(machine.apply(first)), 'ACCEPTED')
  assert.is(outcomeOf(machine.decide(5, second, 'operator')), 'FORBIDDEN')
  assert.is(outcomeOf(machine.decide(5, fileOf(5, 'none'))), 'UNKNOWN_DISPUTE')
  assert.is(machine.state.accepted, inForce)
  assert.equal(machine.state.disputes.current?.candidates.map((candidate) => candidate.operator), ['ana', 'luz'])
  const decided = machine.decide(5, second)
  assert.is(outcomeOf(decided), 'ACCEPTED')
  assert.is(decided.identity?.number, 6)
  assert.ok(machine.state.accepted?.sections.customers.get('second'))
  assert.is(outcomeOf(machine.decide(5, second)), 'ACCEPTED')
  assert.is(outcomeOf(machine.decide(5, first)), 'LOST_RACE')
  assert.is(outcomeOf(machine.apply(second)), 'DISPUTE')
  assert.is(machine.state.accepted?.identity.number, 6)
})

test('a difference from another base is answered with NEEDS_WHOLE', () => {
  const machine = AcceptedStateDriver.create()
  machine.apply(fileOf(1, 'first'))
  assert.is(outcomeOf(machine.applyDifference(fileOf(1, 'other'), fileOf(2, 'second'))), 'NEEDS_WHOLE')
  assert.is(outcomeOf(machine.applyDifference(fileOf(1, 'first'), fileOf(2, 'second'))), 'ACCEPTED')
})

test('two operators race in 200 random orders: the accepted number never decreases, and every state survives a snapshot', () => {
  const random = SeededRandom.create(7)
  for (let race = 0; race < RACES; race += 1) {
    const machine = AcceptedStateDriver.create()
    const files = [1, 2, 3, 4].flatMap((number) => [fileOf(number, 'ana'), fileOf(number, 'luz', number - 1)])
    const sent = shuffled(random, [...files, ...files.slice(0, 3)])
    let highest = 0
    for (const file of sent) {
      const before = machine.state.accepted
      const answer = machine.apply(file, file.based_on === undefined ? 'ana' : 'luz')
      const after = machine.state.accepted?.identity.number ?? 0
      assert.ok(after >= highest)
      assert.ok(outcomeOf(answer) === 'ACCEPTED' || machine.state.accepted === before)
      highest = after
      if (randomBelow(random, 4) === 0 && machine.state.disputes.current !== undefined) machine.decide(after, file)
      assertRestores(machine)
    }
  }
})

function assertRestores (machine: AcceptedStateDriver): void {
  const snapshot = machine.state.snapshot()
  const copy = AcceptedState.create()
  copy.restore(snapshot)
  assert.is(Buffer.compare(Buffer.from(copy.snapshot()), Buffer.from(snapshot)), 0)
}

function entryOf (name: string, zone: string): EnrolledEntry {
  return { name, zone, region: 'south', peerAddress: '127.0.0.1:1', witness: false }
}

test('membership changes wait for the current epoch to be established, and witnesses are spread over the zones', () => {
  const machine = AcceptedStateDriver.create()
  const put = Array.from({ length: 44 }, (_, index) => entryOf(`entry-${index}`, `zone-${index % 3}`))
  const change = (expectedEpoch: number, remove: string[], entries: EnrolledEntry[] = []): MembershipOutcome | undefined => {
    const body = { expectedEpoch, expectedConfiguration: { number: 0, digest: '' }, put: entries, remove, forced: false }
    const answer = machine.run({ $case: 'membership', value: body })
    return answer.body?.$case === 'membership' ? answer.body.value.outcome : undefined
  }
  assert.is(change(0, [], put), MembershipOutcome.MEMBERSHIP_OUTCOME_CHANGED)
  const witnesses = machine.state.entries.membership().entries.filter((entry) => entry.witness)
  assert.is(witnesses.length, 9)
  for (const zone of ['zone-0', 'zone-1', 'zone-2']) assert.is(witnesses.filter((entry) => entry.zone === zone).length, 3)
  assert.is(change(0, ['entry-1']), MembershipOutcome.MEMBERSHIP_OUTCOME_LOST_RACE)
  assert.is(change(1, ['entry-1']), MembershipOutcome.MEMBERSHIP_OUTCOME_CHANGED)
  assert.is(change(2, ['entry-2']), MembershipOutcome.MEMBERSHIP_OUTCOME_NOT_ESTABLISHED)
  machine.run({ $case: 'establish', value: { epoch: 2 } })
  assert.is(change(2, ['entry-2']), MembershipOutcome.MEMBERSHIP_OUTCOME_CHANGED)
  assertRestores(machine)
})

test.run()

import type { DispatchMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClientSession } from '../client-session.ts'
import { NumberConfirmations } from '../number-confirmations.ts'
import { RelayDirectory } from '../relay-directory.ts'
import { recordingEntry } from './fixture.ts'

const ENTRIES = 127
const QUESTIONS_EACH = 4
const RUN_MILLISECONDS = 1_000

// Guards against a leader that spends its processor time on confirming its leadership, so that changes wait (CONFIG).
test('the number of confirmations does not grow with the number of entries, and every question is answered', async () => {
  const clock = FakeClock.create()
  let confirmations = 0
  const answered: DispatchMessage[] = []
  const numbers = NumberConfirmations.create({
    clock,
    confirmNumber: async () => {
      confirmations += 1
      return { number: 7 }
    },
    entries: () => ENTRIES,
    relays: RelayDirectory.create(() => []),
    answering: () => {},
    unanswered: () => {}
  })
  const call = { write: (message: DispatchMessage) => { answered.push(message) } }
  const session = { call, connection: recordingEntry('one'), mirror: false, heldNumber: 7, upstreamDigest: '' } as unknown as ClientSession
  const questions = ENTRIES * QUESTIONS_EACH
  for (let question = 0; question < questions; question += 1) clock.schedule(question * RUN_MILLISECONDS / questions, () => numbers.ask(session, question))
  await clock.advanceAsync(RUN_MILLISECONDS + 100)
  assert.is(answered.length, questions)
  assert.ok(confirmations <= 26, `${confirmations} confirmations`)
})

test('questions that cannot be answered are reported, and later ones are answered again', async () => {
  const clock = FakeClock.create()
  const unanswered: number[] = []
  let answered = 0
  let isLeader = false
  const numbers = NumberConfirmations.create({
    clock,
    confirmNumber: async () => isLeader ? { number: 7 } : undefined,
    entries: () => 1,
    relays: RelayDirectory.create(() => []),
    answering: () => { answered += 1 },
    unanswered: (questions) => unanswered.push(questions)
  })
  const session = { call: { write: () => {} }, connection: recordingEntry('one') } as unknown as ClientSession
  for (const question of [1, 2, 3]) numbers.ask(session, question)
  await clock.advanceAsync(100)
  assert.equal([unanswered, answered], [[3], 0])
  isLeader = true
  numbers.ask(session, 4)
  await clock.advanceAsync(100)
  assert.equal([unanswered, answered], [[3], 1])
})

test.run()

import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClientSession } from '../client-session.ts'
import { PlacementInbox } from '../placement-inbox.ts'
import { question, recordingEntry } from './fixture.ts'

const TURNS = 10

// Guards against callers that wait in vain, as ends that entries kept while there was no leader use up its time (SHORT).
test('questions that waited too long expire also while ends use up the time', () => {
  const clock = FakeClock.create()
  const tasks: Array<() => void> = []
  const expired: number[] = []
  const inbox = PlacementInbox.create({
    clock,
    defer: (task) => { tasks.push(task) },
    listener: {
      question: () => assert.unreachable('earlier ends are handled first'),
      end: () => clock.advance(50),
      expired: (_, { ticket }) => { expired.push(ticket) }
    }
  })
  const session = { connection: recordingEntry('one') } as unknown as ClientSession
  const end = { outcome: 1, milliseconds: 1, load: undefined, statedLimit: undefined, notice: undefined, instance: 'a' }
  for (let ticket = 1; ticket <= 2 * TURNS; ticket += 1) inbox.addEnd(session, { ticket, ...end })
  inbox.addQuestion(session, question(100))
  for (let turn = 0; turn < TURNS; turn += 1) tasks.shift()?.()
  assert.equal(expired, [100])
})

test.run()

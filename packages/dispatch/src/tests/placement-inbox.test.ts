import { PlacementOutcome, type PlacementEnd } from '@hickoryspoke/protocol/generated/dispatch'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClientSession } from '../client-session.ts'
import { PlacementInbox } from '../placement-inbox.ts'
import { question, recordingEntry } from './fixture.ts'

const SESSION = { connection: recordingEntry('one') } as unknown as ClientSession

function endOf (ticket: number): PlacementEnd {
  return {
    ticket, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds: 10, load: undefined, instance: 'i-1', statedLimit: undefined, notice: undefined
  }
}

/** An inbox whose messages take a millisecond each, and which works only when the test lets a turn pass. */
function createInbox () {
  const clock = FakeClock.create()
  const handled: string[] = []
  let next: (() => void) | undefined
  const record = (kind: string, ticket: number): void => {
    clock.advance(1)
    handled.push(`${kind} ${ticket}`)
  }
  const inbox = PlacementInbox.create({
    clock,
    defer: (task) => { next = task },
    listener: {
      question: (_, { ticket }) => record('question', ticket),
      end: (_, { ticket }) => record('end', ticket),
      expired: (_, { ticket }) => record('expired', ticket)
    }
  })
  const turn = (): string[] => {
    const task = next
    next = undefined
    task?.()
    return handled.splice(0)
  }
  return { clock, inbox, turn }
}

test('messages wait for the next turn, ends first', () => {
  const { inbox, turn } = createInbox()
  inbox.addQuestion(SESSION, question(1))
  inbox.addEnd(SESSION, endOf(2))
  assert.equal(turn(), ['end 2', 'question 1'])
  assert.equal(turn(), [])
})

// Guards against questions that are neither handled nor denied while ends come faster than they are handled (SHORT).
test('ends do not keep questions from being handled', () => {
  const { inbox, turn } = createInbox()
  inbox.addQuestion(SESSION, question(1))
  for (let ticket = 2; ticket < 100; ticket += 1) inbox.addEnd(SESSION, endOf(ticket))
  const handled = turn()
  assert.ok(handled.includes('question 1'))
  assert.ok(handled.length < 10, 'a turn is short')
})

// Guards against an upstream's slot that stays taken because the end of a request went before its question (SHORT).
test('an end withdraws a question that still waits', () => {
  const { inbox, turn } = createInbox()
  inbox.addQuestion(SESSION, question(1))
  inbox.addEnd(SESSION, endOf(1))
  assert.equal(turn(), [])
})

// Guards against a request that waits in vain, as an end on an earlier stream of its entry has withdrawn its question (SHORT).
test('an end of an earlier stream does not withdraw a question that was asked again', () => {
  const { inbox, turn } = createInbox()
  const later = { connection: recordingEntry('one') } as unknown as ClientSession
  inbox.addQuestion(later, question(1))
  inbox.addEnd(SESSION, endOf(1))
  assert.equal(turn(), ['end 1', 'question 1'])
})

test('a question that waited too long is expired', () => {
  const { clock, inbox, turn } = createInbox()
  inbox.addQuestion(SESSION, question(1))
  clock.advance(300)
  inbox.addQuestion(SESSION, question(2))
  assert.equal(turn(), ['expired 1', 'question 2'])
})

test('questions of a client that is gone are forgotten', () => {
  const { inbox, turn } = createInbox()
  inbox.addQuestion(SESSION, question(1))
  inbox.removeQuestionsOf(SESSION)
  assert.is(inbox.length, 0)
  assert.equal(turn(), [])
})

test.run()

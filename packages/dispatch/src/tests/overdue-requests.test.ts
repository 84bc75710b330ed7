import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { announcement, createDispatcher, question, recordingEntry } from './fixture.ts'

const end = (ticket: number, milliseconds: number) => {
  return { ticket, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds, load: undefined, statedLimit: undefined, notice: undefined, instance: '' }
}
const UPSTREAMS = Array.from({ length: 6 }, (_, index) => announcement({ instance: `instance-${index}`, slots: 8, address: `10.0.0.${index}:80` }))
const STEP_MILLISECONDS = 20

/** Asks a request in each step, and ends it after the duration that `millisecondsOf` gives. Returns the smallest number of sound upstreams. */
function runRequests (steps: number, millisecondsOf: (ticket: number) => number, route: (ticket: number) => string): number {
  const { dispatcher, clock } = createDispatcher(UPSTREAMS)
  const entry = recordingEntry('one')
  let fewestSound = UPSTREAMS.length
  for (let ticket = 1; ticket <= steps; ticket += 1) {
    dispatcher.ask(entry, question(ticket, { route: route(ticket) }))
    clock.schedule(millisecondsOf(ticket), () => dispatcher.end(entry, end(ticket, millisecondsOf(ticket))))
    clock.advance(STEP_MILLISECONDS)
    fewestSound = Math.min(fewestSound, dispatcher.snapshots()[0]?.standings.sound ?? 0)
  }
  return fewestSound
}

/** A dispatcher that knows, from tickets 1 to 100, that requests usually take 100 ms. */
function createUsual () {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 200 })])
  const entry = recordingEntry('one')
  for (let ticket = 1; ticket <= 100; ticket += 1) {
    dispatcher.ask(entry, question(ticket))
    clock.advance(100)
    dispatcher.end(entry, end(ticket, 100))
  }
  return { dispatcher, clock, entry }
}

// Guards against suspicions at the start of a leadership: the first responses are those of the quickest requests, and all others take longer.
test('no upstream is suspect because the first responses came quickly', () => {
  const fewestSound = runRequests(200, (ticket) => ticket <= 3 ? 10 : 480, () => 'withdraw')
  assert.is(fewestSound, UPSTREAMS.length)
})

test('no upstream is suspect because a new route is slower than the others', () => {
  const fewestSound = runRequests(300, (ticket) => ticket > 150 ? 700 : 100, (ticket) => ticket > 150 ? 'dispatch' : 'withdraw')
  assert.is(fewestSound, UPSTREAMS.length)
})

test('an upstream whose requests take several times as long as usual becomes suspect before they end', () => {
  const { dispatcher, clock, entry } = createUsual()
  for (let ticket = 101; ticket <= 104; ticket += 1) dispatcher.ask(entry, question(ticket))
  clock.advance(290)
  assert.is(dispatcher.snapshots()[0]?.standings.sound, 1)
  clock.advance(20)
  assert.is(dispatcher.snapshots()[0]?.standings.suspect, 1)
})

// Guards against requests that wait to their deadline on an upstream that hangs, although they may be repeated.
test('the entry is told of a request that is overdue if it may be repeated', () => {
  const { dispatcher, clock, entry } = createUsual()
  dispatcher.ask(entry, question(101, { mayRepeat: true }))
  dispatcher.ask(entry, question(102))
  const overdue = (): number[] => entry.sent.flatMap(({ body }) => body?.$case === 'overdue' ? [body.value.ticket] : [])
  clock.advance(290)
  assert.equal(overdue(), [])
  clock.advance(20)
  assert.equal(overdue(), [101])
})

test('a request is not overdue if the usual duration has risen since it was placed', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 8 }), announcement({ instance: 'bb', slots: 8 })])
  const entry = recordingEntry('one')
  const ask = (ticket: number): void => dispatcher.ask(entry, question(ticket, { excluded: ['bb'] }))
  for (let ticket = 1; ticket <= 25; ticket += 1) {
    ask(ticket)
    dispatcher.end(entry, end(ticket, 20))
  }
  for (let ticket = 101; ticket <= 104; ticket += 1) ask(ticket)
  for (let ticket = 26; ticket <= 60; ticket += 1) {
    dispatcher.ask(entry, question(ticket, { excluded: ['a'] }))
    dispatcher.end(entry, end(ticket, 480))
  }
  clock.advance(480)
  assert.is(dispatcher.snapshots()[0]?.standings.sound, 2)
})

test('while the usual duration is unknown, requests are overdue once they miss their target', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 8 })])
  const entry = recordingEntry('one')
  for (let ticket = 1; ticket <= 4; ticket += 1) dispatcher.ask(entry, question(ticket, { targetMilliseconds: 1_500 }))
  clock.advance(1_450)
  assert.is(dispatcher.snapshots()[0]?.standings.sound, 1)
  clock.advance(100)
  assert.is(dispatcher.snapshots()[0]?.standings.suspect, 1)
})

test.run()

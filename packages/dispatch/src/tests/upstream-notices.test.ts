import { DenialReason, PlacementOutcome, type PlacementEnd, type UpstreamNotice } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { announcement, createDispatcher, question, recordingEntry } from './fixture.ts'

const BORN = 1_000
const PAUSE_MILLISECONDS = 2_000
const LEAVING: UpstreamNotice = { leaving: true, unavailableMilliseconds: 0, born: BORN }
const UNAVAILABLE: UpstreamNotice = { leaving: false, unavailableMilliseconds: PAUSE_MILLISECONDS, born: BORN }

function ended (ticket: number, notice: UpstreamNotice, outcome = PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED): PlacementEnd {
  return { ticket, instance: 'a', outcome, milliseconds: 100, load: undefined, statedLimit: undefined, notice }
}

/** A dispatcher with one upstream, of which the entry `one` reports a notice with the end of its first request. */
function createNotified (notice: UpstreamNotice, outcome?: PlacementOutcome) {
  const { clock, registry, dispatcher } = createDispatcher([announcement({ instance: 'a', born: BORN })])
  const one = recordingEntry('one')
  const two = recordingEntry('two')
  clock.advance(5_000)
  dispatcher.ask(one, question(1))
  dispatcher.end(one, ended(1, notice, outcome))
  clock.advance(500)
  return { clock, registry, dispatcher, one, two }
}

// Guards against requests that the dispatcher places on an upstream which told an entry that it leaves (DRAIN).
test('an upstream that told one entry that it leaves gets no placements from any entry', () => {
  const { dispatcher, one, two } = createNotified(LEAVING)
  for (const entry of [one, two]) {
    dispatcher.ask(entry, question(2))
    assert.is(entry.answerTo(2), DenialReason.DENIAL_REASON_NO_UPSTREAM)
  }
})

test('a placement that an entry gives back with a notice is not made again for another entry', () => {
  const { dispatcher, two } = createNotified(LEAVING, PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED)
  dispatcher.ask(two, question(2))
  assert.is(two.answerTo(2), DenialReason.DENIAL_REASON_NO_UPSTREAM)
})

test('an upstream that leaves is used again once it has started anew under the same name', () => {
  const { dispatcher, registry, one } = createNotified(LEAVING)
  registry.announce(announcement({ instance: 'a', born: BORN, sequence: 2 }))
  dispatcher.ask(one, question(2))
  assert.is(one.answerTo(2), DenialReason.DENIAL_REASON_NO_UPSTREAM, 'a further announcement of the same start changes nothing')
  registry.announce(announcement({ instance: 'a', born: BORN + 1 }))
  dispatcher.ask(one, question(3))
  assert.is(one.answerTo(3), 'a')
})

test('a notice of an earlier start of an upstream is ignored', () => {
  const { dispatcher, one } = createNotified({ ...LEAVING, born: BORN - 1 })
  dispatcher.ask(one, question(2))
  assert.is(one.answerTo(2), 'a')
})

test('a notice of an entry that does not know the start of the upstream is about the current one', () => {
  const { dispatcher, registry, one } = createNotified({ ...LEAVING, born: undefined })
  dispatcher.ask(one, question(2))
  assert.is(one.answerTo(2), DenialReason.DENIAL_REASON_NO_UPSTREAM)
  registry.announce(announcement({ instance: 'a', born: BORN + 1 }))
  dispatcher.ask(one, question(3))
  assert.is(one.answerTo(3), 'a')
})

// Guards against requests that the dispatcher places on an upstream which asked their entry for a pause (BUDGET).
test('an upstream that asked one entry for a pause gets no placements from that entry until it is over', () => {
  const { clock, dispatcher, one, two } = createNotified(UNAVAILABLE, PlacementOutcome.PLACEMENT_OUTCOME_REFUSED)
  dispatcher.ask(one, question(2))
  assert.is(one.answerTo(2), DenialReason.DENIAL_REASON_NO_UPSTREAM)
  dispatcher.ask(two, question(2))
  assert.is(two.answerTo(2), 'a', 'other entries may use it')
  clock.advance(PAUSE_MILLISECONDS - 500)
  dispatcher.ask(one, question(3))
  assert.is(one.answerTo(3), 'a')
})

test.run()

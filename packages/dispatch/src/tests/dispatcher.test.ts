import { DenialReason, PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { announcement, createDispatcher, question, recordingEntry } from './fixture.ts'

const NOTHING_ADMITTED = { admitted: [], fleetShare: 0 }

const end = (ticket: number, outcome: PlacementOutcome, milliseconds = 100) => ({ ticket, outcome, milliseconds, load: undefined, instance: '' })

test('requests of different entries never share a slot, and the next goes out when one ends', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 1 }), announcement({ instance: 'bb', slots: 1 })])
  const entries = ['one', 'two', 'three'].map((name) => recordingEntry(name))
  entries.forEach((entry) => dispatcher.ask(entry, question(1)))
  assert.equal(new Set([entries[0]?.answerTo(1), entries[1]?.answerTo(1)]), new Set(['a', 'bb']))
  assert.is(entries[2]?.answerTo(1), undefined)
  dispatcher.end(entries[0] as never, end(1, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  assert.is(entries[2]?.answerTo(1), entries[0]?.answerTo(1))
})

test('the more urgent of two waiting requests goes first', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  dispatcher.ask(entry, question(2, { priority: 2 }))
  dispatcher.ask(entry, question(3, { priority: 0 }))
  dispatcher.end(entry, end(1, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  assert.is(entry.answerTo(3), 'a')
  assert.is(entry.answerTo(2), undefined)
})

test('a broken connection steers every entry away at once', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 8 }), announcement({ instance: 'bb', slots: 8 })])
  const one = recordingEntry('one')
  dispatcher.ask(one, question(1))
  const broken = one.answerTo(1)
  dispatcher.end(one, end(1, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN))
  const two = recordingEntry('two')
  for (let ticket = 1; ticket <= 4; ticket += 1) dispatcher.ask(two, question(ticket))
  for (let ticket = 1; ticket <= 4; ticket += 1) assert.is.not(two.answerTo(ticket), broken)
})

test('a request that waits in vain is refused before its time is over', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  dispatcher.ask(entry, question(2, { targetMilliseconds: 1_000, patienceMilliseconds: 5_000 }))
  clock.advance(2_000)
  assert.is(entry.answerTo(2), undefined, 'a late answer is better than none')
  clock.advance(2_900)
  assert.is(entry.answerTo(2), DenialReason.DENIAL_REASON_OVERLOADED)
})

test('what can no longer be answered in time goes behind what can, whatever its urgency', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  dispatcher.ask(entry, question(2, { priority: 0 }))
  clock.advance(1_200)
  dispatcher.ask(entry, question(3, { priority: 2 }))
  dispatcher.end(entry, end(1, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  assert.equal([entry.answerTo(2), entry.answerTo(3)], [undefined, 'a'])
  dispatcher.end(entry, end(3, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  assert.is(entry.answerTo(2), 'a')
})

test('a request waits for a sound upstream rather than go to one that just failed, and goes there in the end', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 1 }), announcement({ instance: 'bb', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  const failing = entry.answerTo(1)
  dispatcher.end(entry, end(1, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN))
  dispatcher.ask(entry, question(2))
  dispatcher.ask(entry, question(3))
  assert.is.not(entry.answerTo(2), failing)
  assert.is(entry.answerTo(3), undefined)
  clock.advance(4_900)
  assert.is(entry.answerTo(3), failing)
})

test('requests that take several times as long as usual turn others away before they end', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 8 }), announcement({ instance: 'bb', slots: 8 })])
  const entry = recordingEntry('one')
  for (let ticket = 1; ticket <= 20; ticket += 1) {
    dispatcher.ask(entry, question(ticket))
    dispatcher.end(entry, end(ticket, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, 100))
  }
  dispatcher.ask(entry, question(21))
  dispatcher.ask(entry, question(22))
  const hanging = entry.answerTo(21)
  assert.is(entry.answerTo(22), hanging)
  clock.advance(600)
  dispatcher.ask(entry, question(23))
  assert.is.not(entry.answerTo(23), hanging)
})

test('a customer over its rate is refused, and a refusal for lack of upstreams is not charged', () => {
  const { dispatcher, registry, clock } = createDispatcher([], 1)
  clock.advance(5_000)
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  assert.is(entry.answerTo(1), DenialReason.DENIAL_REASON_NO_UPSTREAM)
  registry.announce(announcement({ instance: 'a' }))
  dispatcher.ask(entry, question(2))
  dispatcher.ask(entry, question(3))
  assert.is(entry.answerTo(2), 'a')
  assert.is(entry.answerTo(3), DenialReason.DENIAL_REASON_RATE)
})

test('an instance that drains gets nothing new', () => {
  const { dispatcher, registry } = createDispatcher([announcement({ instance: 'a' }), announcement({ instance: 'bb' })])
  registry.announce(announcement({ instance: 'a', sequence: 2, draining: true }))
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  dispatcher.ask(entry, question(2))
  assert.equal([entry.answerTo(1), entry.answerTo(2)], ['bb', 'bb'])
})

test('an entry that cannot connect does not turn the others away', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 8 })])
  clock.advance(5_000)
  const cutOff = recordingEntry('one')
  dispatcher.ask(cutOff, question(1))
  dispatcher.end(cutOff, end(1, PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE))
  dispatcher.ask(cutOff, question(2))
  assert.is(cutOff.answerTo(2), DenialReason.DENIAL_REASON_NO_UPSTREAM)
  const other = recordingEntry('two')
  dispatcher.ask(other, question(1))
  assert.is(other.answerTo(1), 'a')
})

test('repeats stop when the budget of the pool is spent', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 50 })])
  const entry = recordingEntry('one')
  const answers = Array.from({ length: 20 }, (_, index) => {
    dispatcher.ask(entry, question(index + 1, { attempt: 1, mayRepeat: true }))
    return entry.answerTo(index + 1)
  })
  assert.is(answers[0], 'a')
  assert.is(answers.at(-1), DenialReason.DENIAL_REASON_BUDGET)
})

test('a request that broke three upstreams is held back until one like it is answered', () => {
  const { dispatcher } = createDispatcher(['a', 'bb', 'ccc', 'dddd'].map((instance) => announcement({ instance, slots: 9 })))
  const entry = recordingEntry('one')
  for (let ticket = 1; ticket <= 3; ticket += 1) {
    dispatcher.ask(entry, question(ticket, { fingerprint: 77 }))
    dispatcher.end(entry, end(ticket, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN))
  }
  dispatcher.ask(entry, question(4, { fingerprint: 77 }))
  dispatcher.ask(entry, question(5, { fingerprint: 78 }))
  assert.is(entry.answerTo(4), DenialReason.DENIAL_REASON_CRASHING)
  assert.is(entry.answerTo(5), 'dddd')
})

test('a new dispatcher counts what the entries have in flight', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.inherit(entry, { ...NOTHING_ADMITTED, running: [{ ticket: 9, instance: 'a' }] })
  dispatcher.ask(entry, question(10))
  assert.is(entry.answerTo(10), undefined)
  dispatcher.end(entry, end(9, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  assert.is(entry.answerTo(10), 'a')
})

test('an entry that starts again gives its slots back', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  dispatcher.inherit(entry, { ...NOTHING_ADMITTED, running: [] })
  dispatcher.ask(recordingEntry('two'), question(1))
  const two = recordingEntry('three')
  dispatcher.ask(two, question(1))
  assert.is(two.answerTo(1), undefined)
})

test('an answer to a request from before a failure does not clear the upstream', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 8 }), announcement({ instance: 'bb', slots: 8 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  const used = entry.answerTo(1)
  dispatcher.end(entry, end(1, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  dispatcher.ask(entry, question(2))
  dispatcher.ask(entry, question(3))
  assert.equal([entry.answerTo(2), entry.answerTo(3)], [used, used])
  clock.advance(50)
  dispatcher.end(entry, end(3, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN))
  clock.advance(50)
  dispatcher.end(entry, end(2, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  dispatcher.ask(entry, question(4))
  assert.is.not(entry.answerTo(4), used)
})

test('a request whose own time was short does not speak against its upstream', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 8 }), announcement({ instance: 'bb', slots: 8 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  clock.advance(300)
  dispatcher.end(entry, end(1, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, 300))
  dispatcher.ask(entry, question(2))
  dispatcher.end(entry, end(2, PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT, 100))
  dispatcher.ask(entry, question(3))
  assert.is(entry.answerTo(3), entry.answerTo(1))
})

test('a dispatcher that has just begun lets requests wait for upstreams to be announced', () => {
  const { dispatcher, registry } = createDispatcher([])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  assert.is(entry.answerTo(1), undefined)
  registry.announce(announcement({ instance: 'a' }))
  assert.is(entry.answerTo(1), 'a')
})

test.run()

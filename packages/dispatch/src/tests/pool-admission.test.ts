/** The decision for one request of a pool that is short of slots, through the dispatcher. */
import { DenialReason, PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DEFAULT_DISPATCH_POLICY } from '../dispatch-policy.ts'
import { announcement, createDispatcher, question, recordingEntry, type RecordingEntry } from './fixture.ts'

const FAIR = { ...DEFAULT_DISPATCH_POLICY, fairAdmission: true }
const SLOTS = 10
const WORK_MILLISECONDS = 300

const end = (ticket: number, milliseconds = WORK_MILLISECONDS) => {
  return { ticket, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds, load: undefined, statedLimit: undefined, notice: undefined, instance: '' }
}

/** A dispatcher with one pool of 10 slots, 33 requests a second, all of them taken by a customer `first`. */
function createFullPool (policy = FAIR) {
  const state = createDispatcher([announcement({ instance: 'a', slots: SLOTS })], 1_000, 0, { policy })
  const entry = recordingEntry('one')
  for (let ticket = 1; ticket <= SLOTS; ticket += 1) state.dispatcher.ask(entry, question(ticket, { customer: 'first' }))
  return { ...state, entry }
}

function retryAfterOf (entry: RecordingEntry, ticket: number): number {
  for (const { body } of entry.sent) {
    if (body?.$case === 'denial' && body.value.ticket === ticket) return body.value.retryAfterMilliseconds
  }
  return NaN
}

// Load pattern: one customer sends a burst. Before, each request behind it was expected to wait for the whole queue.
test('a customer with a burst is refused at its own place, and another one is not', () => {
  const { dispatcher, entry } = createFullPool()
  for (let ticket = 100; ticket < 400; ticket += 1) dispatcher.ask(entry, question(ticket, { customer: 'big' }))
  assert.is(entry.answerTo(399), DenialReason.DENIAL_REASON_OVERLOADED, 'at 33 a second it would be served after 9 s')
  dispatcher.ask(entry, question(500, { customer: 'small', patienceMilliseconds: 1_500 }))
  assert.is(entry.answerTo(500), undefined, 'it waits')
  for (let ticket = 1; ticket <= 2; ticket += 1) dispatcher.end(entry, end(ticket))
  assert.is(entry.answerTo(500), 'a', 'it is served in the first round')
})

test('refusals of a burst have different times, or the last one that the caller honours', () => {
  const { dispatcher, entry } = createFullPool()
  for (let ticket = 100; ticket < 700; ticket += 1) dispatcher.ask(entry, question(ticket, { customer: 'big' }))
  const times = Array.from({ length: 600 }, (_, index) => retryAfterOf(entry, index + 100)).filter((time) => !Number.isNaN(time))
  const promised = times.filter((time) => time < 5_000 / 3)
  assert.is(new Set(promised).size, promised.length)
  assert.ok(promised.length > 3, `${promised.length} promised`)
  assert.ok(promised.length <= 15, 'no more than a quarter of the 55 that can be served until then')
  assert.equal(new Set(times.filter((time) => time >= 5_000 / 3)), new Set([1_667]))
})

// Guards against a caller that returns as told, goes behind the burst of its customer again and is refused a second time.
test('a caller that returns as told goes before the other requests of its customer', () => {
  const { dispatcher, entry, clock } = createFullPool()
  for (let ticket = 100; ticket < 400; ticket += 1) dispatcher.ask(entry, question(ticket, { customer: 'big' }))
  const refused = Array.from({ length: 300 }, (_, index) => index + 100).find((ticket) => retryAfterOf(entry, ticket) < 5_000 / 3) ?? 0
  clock.advance(retryAfterOf(entry, refused) + 10)
  dispatcher.ask(entry, question(900, { customer: 'big', fingerprint: refused, patienceMilliseconds: 4_000 }))
  dispatcher.ask(entry, question(901, { customer: 'big', fingerprint: 901, patienceMilliseconds: 4_000 }))
  assert.equal([entry.answerTo(900), entry.answerTo(901)], [undefined, DenialReason.DENIAL_REASON_OVERLOADED])
  dispatcher.end(entry, end(1))
  assert.is(entry.answerTo(900), 'a')
})

// Load pattern: urgent requests alone exceed the pool. Less urgent ones were held until their deadline, and could outlast the urgent ones.
test('a priority that more urgent ones leave nothing is refused at once', () => {
  const { dispatcher, entry } = createFullPool()
  for (let ticket = 100; ticket < 150; ticket += 1) dispatcher.ask(entry, question(ticket, { customer: `c${ticket % 5}`, priority: 0 }))
  dispatcher.ask(entry, question(500, { customer: 'other', priority: 2 }))
  dispatcher.ask(entry, question(501, { customer: 'other', priority: 0 }))
  assert.equal([entry.answerTo(500), entry.answerTo(501)], [DenialReason.DENIAL_REASON_OVERLOADED, undefined])
})

// Guards against reservations that are lost with the entry that passed the refusal on.
test('a caller may return through another entry when its own is lost', () => {
  const { dispatcher, entry, clock } = createFullPool()
  for (let ticket = 100; ticket < 400; ticket += 1) dispatcher.ask(entry, question(ticket, { customer: 'big' }))
  const refused = Array.from({ length: 300 }, (_, index) => index + 100).find((ticket) => retryAfterOf(entry, ticket) < 5_000 / 3) ?? 0
  clock.advance(retryAfterOf(entry, refused) + 10)
  const running = Array.from({ length: SLOTS }, (_, index) => ({ ticket: index + 1, instance: 'a' }))
  dispatcher.restoreEntry(entry, { running, limits: [], admitted: [], fleetShare: 0 })
  assert.is(dispatcher.snapshots()[0]?.waiting, 0, 'its waiting requests are withdrawn')
  const reserved = dispatcher.snapshots()[0]?.reservations ?? 0
  const other = recordingEntry('two')
  dispatcher.ask(other, question(1, { customer: 'big', fingerprint: refused }))
  assert.is(dispatcher.snapshots()[0]?.reservations, reserved - 1)
  dispatcher.end(entry, end(1))
  assert.is(other.answerTo(1), 'a')
})

test('a new leader starts without reservations, and a caller that returns to it is an ordinary one', () => {
  const before = createFullPool()
  for (let ticket = 100; ticket < 400; ticket += 1) before.dispatcher.ask(before.entry, question(ticket, { customer: 'big' }))
  assert.ok((before.dispatcher.snapshots()[0]?.reservations ?? 0) > 0)
  before.dispatcher.close()
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: SLOTS })], 1_000, 0, { policy: FAIR })
  const entry = recordingEntry('one')
  assert.is(dispatcher.snapshots()[0]?.reservations, 0)
  clock.advance(1_000)
  dispatcher.ask(entry, question(900, { customer: 'big', fingerprint: 399 }))
  assert.is(entry.answerTo(900), 'a')
})

test('the snapshot of a pool names the longest wait of each priority, without the policy it does not', () => {
  const { dispatcher, entry, clock } = createFullPool()
  dispatcher.ask(entry, question(100, { priority: 2 }))
  clock.advance(100)
  dispatcher.ask(entry, question(101, { priority: 0 }))
  clock.advance(50)
  assert.equal(dispatcher.snapshots()[0]?.longestWaits, [{ priority: 0, milliseconds: 50 }, { priority: 2, milliseconds: 150 }])
  const plain = createFullPool(DEFAULT_DISPATCH_POLICY)
  assert.is(plain.dispatcher.snapshots()[0]?.longestWaits, undefined)
})

test.run()

import { DenialReason, PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { announcement, createDispatcher, question, recordingEntry } from './fixture.ts'

const NOTHING_ADMITTED = { limits: [], admitted: [], fleetShare: 0 }

const end = (ticket: number, outcome: PlacementOutcome, milliseconds = 100) => ({ ticket, outcome, milliseconds, load: undefined, statedLimit: undefined, notice: undefined, instance: '' })

test('requests of different entries never share a slot, and a waiting one is placed when a slot is freed', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 1 }), announcement({ instance: 'bb', slots: 1 })])
  const entries = ['one', 'two', 'three'].map((name) => recordingEntry(name))
  entries.forEach((entry) => dispatcher.ask(entry, question(1)))
  assert.equal(new Set([entries[0]?.answerTo(1), entries[1]?.answerTo(1)]), new Set(['a', 'bb']))
  assert.is(entries[2]?.answerTo(1), undefined)
  dispatcher.end(entries[0] as never, end(1, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  assert.is(entries[2]?.answerTo(1), entries[0]?.answerTo(1))
})

test('of two waiting requests, the one with the higher priority goes first', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  dispatcher.ask(entry, question(2, { priority: 2 }))
  dispatcher.ask(entry, question(3, { priority: 0 }))
  dispatcher.end(entry, end(1, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  assert.is(entry.answerTo(3), 'a')
  assert.is(entry.answerTo(2), undefined)
})

test('after a broken connection, no entry is sent to the upstream', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 8 }), announcement({ instance: 'bb', slots: 8 })])
  const one = recordingEntry('one')
  dispatcher.ask(one, question(1))
  const broken = one.answerTo(1)
  dispatcher.end(one, end(1, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN))
  const two = recordingEntry('two')
  for (let ticket = 1; ticket <= 4; ticket += 1) dispatcher.ask(two, question(ticket))
  for (let ticket = 1; ticket <= 4; ticket += 1) assert.is.not(two.answerTo(ticket), broken)
})

test('a request that cannot be placed is denied before its deadline', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  dispatcher.ask(entry, question(2, { targetMilliseconds: 1_000, patienceMilliseconds: 5_000 }))
  clock.advance(2_000)
  assert.is(entry.answerTo(2), undefined, 'it still waits, since a late answer is better than none')
  clock.advance(2_900)
  assert.is(entry.answerTo(2), DenialReason.DENIAL_REASON_OVERLOADED)
})

test('a request that can no longer be answered in time goes behind those that can, whatever its priority', () => {
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

test('a request waits for a sound upstream before it is placed on one that just failed', () => {
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

test('an upstream with overdue requests gets no others even before they end', () => {
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

test('a customer over its rate limit is denied, and a denial for lack of upstreams is not charged', () => {
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

test('a draining instance gets no new requests', () => {
  const { dispatcher, registry } = createDispatcher([announcement({ instance: 'a' }), announcement({ instance: 'bb' })])
  registry.announce(announcement({ instance: 'a', sequence: 2, draining: true }))
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  dispatcher.ask(entry, question(2))
  assert.equal([entry.answerTo(1), entry.answerTo(2)], ['bb', 'bb'])
})

test('if a single entry cannot connect, others are still sent to the upstream', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 8 })])
  clock.advance(5_000)
  const disconnected = recordingEntry('one')
  dispatcher.ask(disconnected, question(1))
  dispatcher.end(disconnected, end(1, PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE))
  dispatcher.ask(disconnected, question(2))
  assert.is(disconnected.answerTo(2), DenialReason.DENIAL_REASON_NO_UPSTREAM)
  const other = recordingEntry('two')
  dispatcher.ask(other, question(1))
  assert.is(other.answerTo(1), 'a')
})

test('retries are denied when the retry budget of the pool is spent', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 50 })])
  const entry = recordingEntry('one')
  const answers = Array.from({ length: 20 }, (_, index) => {
    dispatcher.ask(entry, question(index + 1, { attempt: 1, mayRepeat: true }))
    return entry.answerTo(index + 1)
  })
  assert.is(answers[0], 'a')
  assert.is(answers.at(-1), DenialReason.DENIAL_REASON_BUDGET)
})

test('a request that broke three upstreams is blocked', () => {
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

test('a new dispatcher counts the requests that entries have in flight', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.restoreEntry(entry, { ...NOTHING_ADMITTED, running: [{ ticket: 9, instance: 'a' }] })
  dispatcher.ask(entry, question(10))
  assert.is(entry.answerTo(10), undefined)
  dispatcher.end(entry, end(9, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  assert.is(entry.answerTo(10), 'a')
})

test('the slots of an entry that restarted are released', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 1 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  dispatcher.restoreEntry(entry, { ...NOTHING_ADMITTED, running: [] })
  dispatcher.ask(recordingEntry('two'), question(1))
  const two = recordingEntry('three')
  dispatcher.ask(two, question(1))
  assert.is(two.answerTo(1), undefined)
})

test('an answer to a request placed before a failure does not clear the upstream of suspicion', () => {
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

test('a timeout after a short deadline is no evidence against the upstream', () => {
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

test('a dispatcher that has just started queues requests until upstreams are announced', () => {
  const { dispatcher, registry } = createDispatcher([])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  assert.is(entry.answerTo(1), undefined)
  registry.announce(announcement({ instance: 'a' }))
  assert.is(entry.answerTo(1), 'a')
})

// Guards against customers that are refused below their rate, as denied questions keep their charge (QUOTA).
test('a question that was charged before and is denied as overdue is refunded', () => {
  const { dispatcher } = createDispatcher([announcement({ instance: 'a', slots: 8 })], 1)
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1, { customer: 'ministry' }))
  dispatcher.end(entry, end(1, PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED, 0))
  dispatcher.denyOverdue(entry, question(1, { customer: 'ministry', charged: true }))
  dispatcher.ask(entry, question(2, { customer: 'ministry' }))
  assert.is(entry.answerTo(2), 'a')
})

test.run()

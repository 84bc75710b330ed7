import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { InstanceStanding } from '../instance-standing.ts'
import { announcement, createDispatcher, question, recordingEntry } from './fixture.ts'

const UPSTREAMS = 166
const SLOTS = 2
const WAITING = 40

/** Counts how often the state of an upstream is examined while `task` runs. */
function countExaminations (task: () => void): number {
  const original = InstanceStanding.prototype.isFull
  let count = 0
  InstanceStanding.prototype.isFull = function (slots, now) {
    count += 1
    return original.call(this, slots, now)
  }
  try {
    task()
  } finally {
    InstanceStanding.prototype.isFull = original
  }
  return count
}

function createLargePool () {
  const upstreams = Array.from({ length: UPSTREAMS }, (_, index) => announcement({ instance: `i-${index}`, address: `10.0.0.1:${8_000 + index}`, slots: SLOTS }))
  return { ...createDispatcher(upstreams), entry: recordingEntry('one') }
}

// Guards against a leader that has no processor time left for changes and departures, because each request costs more in a large pool (CONFIG).
test('placing a request in a large pool examines a part of its upstreams', () => {
  const { dispatcher, entry } = createLargePool()
  const examined = countExaminations(() => dispatcher.ask(entry, question(1)))
  assert.type(entry.answerTo(1), 'string')
  assert.ok(examined <= UPSTREAMS / 4, `${examined} examinations`)
})

test('the end of a request offers its upstream to the waiting ones without examining the others', () => {
  const { dispatcher, entry } = createLargePool()
  const slots = UPSTREAMS * SLOTS
  for (let ticket = 1; ticket <= slots + WAITING; ticket += 1) dispatcher.ask(entry, question(ticket))
  const end = { ticket: 5, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds: 100, load: undefined, statedLimit: undefined, notice: undefined, instance: '' }
  const examined = countExaminations(() => dispatcher.end(entry, end))
  assert.is(entry.answerTo(slots + 1), entry.answerTo(5))
  assert.ok(examined <= 20, `${examined} examinations`)
})

test('every free upstream of a large pool is used before a request waits', () => {
  const { dispatcher, entry } = createLargePool()
  for (let ticket = 1; ticket <= UPSTREAMS * SLOTS; ticket += 1) dispatcher.ask(entry, question(ticket))
  const placed = new Set(Array.from({ length: UPSTREAMS * SLOTS }, (_, index) => entry.answerTo(index + 1)))
  assert.is(placed.size, UPSTREAMS)
  assert.not.ok(placed.has(undefined))
})

test.run()

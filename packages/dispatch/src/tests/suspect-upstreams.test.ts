import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { announcement, createDispatcher, question, recordingEntry, type RecordingEntry } from './fixture.ts'

const end = (ticket: number, outcome: PlacementOutcome, milliseconds = 100) => ({ ticket, outcome, milliseconds, load: undefined, statedLimit: undefined, notice: undefined, instance: '' })

test('while all upstreams are equally suspect, their slots are still used', () => {
  const instances = Array.from({ length: 3 }, (_, index) => `instance-${index}`)
  const { dispatcher, clock } = createDispatcher(instances.map((instance, index) => announcement({ instance, slots: 6, address: `10.0.0.${index}:80` })))
  const entry = recordingEntry('one')
  for (let ticket = 1; ticket <= 12; ticket += 1) {
    dispatcher.ask(entry, question(ticket, { excluded: instances.filter((_, index) => index !== ticket % 3) }))
    dispatcher.end(entry, end(ticket, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN, 3))
    clock.advance(220)
    dispatcher.tick()
  }
  assert.is(dispatcher.snapshots()[0]?.standings.sound, 0)
  for (let ticket = 13; ticket <= 60; ticket += 1) dispatcher.ask(entry, question(ticket))
  for (let milliseconds = 0; milliseconds < 400; milliseconds += 20) {
    clock.advance(20)
    dispatcher.tick()
  }
  const inFlight = dispatcher.snapshots()[0]?.inFlight ?? 0
  assert.ok(inFlight >= 14, `${inFlight} of 18 slots in use`)
})

test('while the only upstream is suspect, requests are still sent to it one at a time, and none is denied', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 4 })])
  const entry = recordingEntry('one')
  for (let ticket = 1; ticket <= 4; ticket += 1) {
    dispatcher.ask(entry, question(ticket))
    clock.advance(200)
    dispatcher.tick()
    assert.is(entry.answerTo(ticket), 'a')
    dispatcher.end(entry, end(ticket, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN))
  }
})

test('an upstream that fails fast does not attract all waiting requests', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 1 }), announcement({ instance: 'bb', slots: 4 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1, { excluded: ['bb'] }))
  dispatcher.ask(entry, question(2, { excluded: ['a'] }))
  dispatcher.end(entry, end(2, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN))
  let placed = 0
  for (let ticket = 3; ticket <= 22; ticket += 1) dispatcher.ask(entry, question(ticket, { targetMilliseconds: 300 }))
  for (let milliseconds = 0; milliseconds < 1_000; milliseconds += 50) {
    clock.advance(50)
    dispatcher.tick()
    for (let ticket = 3; ticket <= 22; ticket += 1) {
      if (entry.answerTo(ticket) !== 'bb') continue
      placed += 1
      dispatcher.end(entry, end(ticket, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN))
    }
  }
  const sent = entry.sent.filter(({ body }) => body?.$case === 'placement' && body.value.instance === 'bb').length
  assert.ok(placed > 0)
  assert.ok(sent <= 6, `${sent} requests went to it within a second`)
})

test('while many requests are not served, no upstream is idle for 2 s, or for 4 s after it failed', () => {
  const instances = ['a', 'bb', 'ccc', 'dddd', 'eeeee', 'ffffff']
  const { dispatcher, clock } = createDispatcher(instances.map((instance) => announcement({ instance, slots: 4 })))
  const entry = recordingEntry('one')
  const longestUntil = new Map<string, number>()
  for (let ticket = 1; ticket <= 600; ticket += 1) {
    clock.advance(10)
    dispatcher.ask(entry, question(ticket))
    const instance = entry.answerTo(ticket) as string
    const isFailing = instance === 'a' || ticket % 6 === 0
    longestUntil.set(instance, clock.monotonicMilliseconds() + (isFailing ? 4_000 : 2_000))
    dispatcher.end(entry, end(ticket, isFailing ? PlacementOutcome.PLACEMENT_OUTCOME_BROKEN : PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, 10))
    if (ticket <= 200) continue
    for (const each of instances) assert.ok(clock.monotonicMilliseconds() < (longestUntil.get(each) ?? 0), `${each} at ticket ${ticket}`)
  }
})

test('without failures, most upstreams get requests within any 2 s although fewer could serve them', () => {
  const instances = Array.from({ length: 10 }, (_, index) => `instance-${index}`)
  const { dispatcher, clock } = createDispatcher(instances.map((instance, index) => announcement({ instance, slots: 8, address: `10.0.0.${index}:80` })), 1_000, 0.7)
  const entry = recordingEntry('one')
  const lastPlaced = new Map<string, number>()
  for (let ticket = 1; ticket <= 400; ticket += 1) {
    clock.advance(20)
    dispatcher.ask(entry, question(ticket))
    lastPlaced.set(entry.answerTo(ticket) as string, clock.monotonicMilliseconds())
    dispatcher.end(entry, end(ticket, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, 10))
    const used = [...lastPlaced.values()].filter((at) => clock.monotonicMilliseconds() - at < 2_000).length
    if (ticket > 150) assert.ok(used >= 8, `${used} at ticket ${ticket}`)
  }
})

test('denials by rate limit count as unserved requests, so no upstream is idle', () => {
  const instances = ['a', 'bb', 'ccc']
  const { dispatcher, clock } = createDispatcher(instances.map((instance) => announcement({ instance, slots: 8 })), 5)
  const entry = recordingEntry('one')
  const lastPlaced = new Map<string, number>()
  for (let ticket = 1; ticket <= 300; ticket += 1) {
    clock.advance(40)
    dispatcher.ask(entry, question(ticket))
    const answer = entry.answerTo(ticket)
    if (typeof answer !== 'string') continue
    lastPlaced.set(answer, clock.monotonicMilliseconds())
    dispatcher.end(entry, end(ticket, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, 10))
    if (ticket > 100) for (const each of instances) assert.ok(clock.monotonicMilliseconds() - (lastPlaced.get(each) ?? 0) < 2_000, `${each} at ${ticket}`)
  }
})

test('if two entries cannot connect, the others are not sent to the upstream', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 8 }), announcement({ instance: 'bb', slots: 8 })])
  const [one, two, three] = ['one', 'two', 'three'].map((name) => recordingEntry(name)) as [RecordingEntry, RecordingEntry, RecordingEntry]
  dispatcher.ask(one, question(1))
  const unreachable = one.answerTo(1)
  dispatcher.ask(two, question(1, { excluded: [unreachable === 'a' ? 'bb' : 'a'] }))
  dispatcher.end(one, end(1, PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE))
  dispatcher.end(two, end(1, PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE))
  clock.advance(100)
  dispatcher.ask(three, question(1))
  assert.is.not(three.answerTo(1), unreachable)
})

test('a suspect upstream is probed with requests that may be repeated', () => {
  const { dispatcher, clock } = createDispatcher([announcement({ instance: 'a', slots: 8 }), announcement({ instance: 'bb', slots: 8 })])
  const entry = recordingEntry('one')
  dispatcher.ask(entry, question(1))
  const failed = entry.answerTo(1)
  dispatcher.end(entry, end(1, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN))
  clock.advance(4_000)
  dispatcher.ask(entry, question(2))
  assert.is.not(entry.answerTo(2), failed)
  dispatcher.ask(entry, question(3, { mayRepeat: true }))
  assert.is(entry.answerTo(3), failed)
  dispatcher.end(entry, end(3, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED))
  dispatcher.ask(entry, question(4))
  assert.is.not(entry.answerTo(4), failed, 'one answer is not enough for a request that may not be repeated')
})

test.run()

import { Departure, DepartureList } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ControlState, encodeDepartureCommand, encodeDocumentCommand, encodeZoneCommand } from '../control-state.ts'
import { DepartureRegister } from '../departure-register.ts'
import { encodeDocument, PublishedDocumentState } from '../published-document.ts'
import type { ZoneDecision } from '../zone-register.ts'

const DOCUMENT = encodeDocument({ number: 3, content: Buffer.from('three') })
const departure = (instance: string, changes: Partial<Departure> = {}): Departure => ({ instance, born: 1_000, sequence: 4, gone: false, ...changes })

const decision = (zone: string, revision: number, isEvacuated: boolean): ZoneDecision => ({ zone, revision, isEvacuated, decidedAt: 5_000 + revision })

/** The part of a command or snapshot that versions without evacuations read as one departure, or as a list of them. */
const NUMBER_BYTES = 8
const LIST_BEGIN = 12

function stateOf (...departures: Departure[]): ControlState {
  const state = ControlState.create()
  state.apply(1, DOCUMENT)
  departures.forEach((added, index) => state.apply(index + 2, encodeDepartureCommand(added)))
  return state
}

test('a snapshot restores the document and the departures', () => {
  const state = stateOf(departure('a'), departure('b', { gone: true }))
  const restored = ControlState.create()
  restored.restore(state.snapshot())
  assert.equal(restored.documents.document, state.documents.document)
  assert.equal(restored.departures.all(), [departure('a'), departure('b', { gone: true })])
})

test('without departures, a snapshot is that of the document, which versions that know no departures read', () => {
  assert.equal(Buffer.from(stateOf().snapshot()), DOCUMENT)
  const restored = ControlState.create()
  restored.restore(DOCUMENT)
  assert.is(restored.documents.document?.number, 3)
})

test('a version that knows no departures ignores the command for one', () => {
  const state = PublishedDocumentState.create()
  state.apply(1, DOCUMENT)
  state.apply(2, encodeDepartureCommand(departure('a')))
  assert.is(state.document?.content.toString(), 'three')
})

test('an upstream that has left does not only drain again, and a later start departs by itself', () => {
  const { departures } = stateOf(departure('a', { gone: true }), departure('a', { sequence: 9 }))
  assert.equal(departures.all(), [departure('a', { gone: true, sequence: 9 })])
  assert.ok(departures.covers(departure('a', { sequence: 12 })))
  assert.not.ok(departures.covers(departure('a', { born: 2_000 })))
  departures.add(departure('a', { born: 2_000, sequence: 1 }))
  departures.add(departure('a', { sequence: 20, gone: true }))
  assert.equal(departures.all(), [departure('a', { born: 2_000, sequence: 1 })])
})

test('the oldest of very many departures is forgotten', () => {
  const { departures } = stateOf(...Array.from({ length: 1_001 }, (_, index) => departure(`i-${index}`)))
  assert.is(departures.all().length, 1_000)
  assert.not.ok(departures.covers(departure('i-0')))
  assert.ok(departures.covers(departure('i-1000')))
})

// Guards against an evacuation that a replica forgets when it restores a snapshot.
test('a snapshot restores the decisions on zones beside the document and the departures', () => {
  const state = stateOf(departure('a'))
  state.apply(3, encodeZoneCommand(decision('north', 1, true)))
  state.apply(4, encodeZoneCommand(decision('south', 1, true)))
  state.apply(5, encodeZoneCommand(decision('south', 2, false)))
  const restored = ControlState.create()
  restored.restore(state.snapshot())
  assert.equal(restored.zones.all(), [decision('north', 1, true), decision('south', 2, false)])
  assert.equal(restored.departures.all(), [departure('a')])
  assert.equal(restored.documents.document, state.documents.document)
})

// Guards against a snapshot that adds to the state of before.
test('a snapshot replaces the decisions that were held', () => {
  const state = stateOf(departure('a'))
  const restored = ControlState.create()
  restored.apply(1, encodeZoneCommand(decision('north', 1, true)))
  restored.restore(state.snapshot())
  assert.equal(restored.zones.all(), [])
})

const FIRST_CONTENT = Buffer.from('{"version":0}\u00e9')
const FIRST = encodeDocumentCommand({ number: 0, content: FIRST_CONTENT })

// Guards against a document of number 0 that is acknowledged and not kept, as that number stands for something else in the log (CONFIG, LOST).
test('a document of number 0 is kept, also in a snapshot, beside departures and decisions on zones', () => {
  const state = ControlState.create()
  const heard: number[] = []
  state.documents.onChange(() => heard.push(state.documents.document?.number ?? NaN))
  state.apply(1, FIRST)
  assert.equal(state.documents.document, { number: 0, content: FIRST_CONTENT })
  assert.equal(state.departures.all(), [])
  for (const command of [undefined, encodeDepartureCommand(departure('a')), encodeZoneCommand(decision('north', 1, true))]) {
    if (command !== undefined) state.apply(2, command)
    const restored = ControlState.create()
    restored.restore(state.snapshot())
    assert.equal(restored.documents.document, { number: 0, content: FIRST_CONTENT })
    assert.equal(restored.departures.all(), state.departures.all())
    assert.equal(restored.zones.all(), state.zones.all())
  }
  assert.equal(heard, [0])
})

test('a document of number 0 is not replaced by another of that number, and a late one does not replace a later number', () => {
  const state = ControlState.create()
  state.apply(1, FIRST)
  state.apply(2, encodeDocumentCommand({ number: 0, content: Buffer.from('other') }))
  assert.equal(state.documents.document?.content, FIRST_CONTENT)
  state.apply(3, DOCUMENT)
  state.apply(4, FIRST)
  assert.is(state.documents.document?.number, 3)
  const restored = ControlState.create()
  restored.restore(state.snapshot())
  assert.is(restored.documents.document?.number, 3)
})

// Guards against control VMs of an older version that fail during an upgrade, or lose what was acknowledged.
test('a version that does not know documents of number 0 keeps one in its snapshots, also beside a later document', () => {
  const older = DepartureRegister.create()
  older.add(Departure.decode(FIRST.subarray(NUMBER_BYTES)))
  const departures = DepartureList.encode({ departures: older.all() }).finish()
  const length = Buffer.alloc(4)
  length.writeUInt32BE(departures.length)
  for (const [rest, expected] of [[Buffer.alloc(0), FIRST_CONTENT.toString()], [DOCUMENT, 'three']] as const) {
    const newer = ControlState.create()
    newer.restore(Buffer.concat([Buffer.alloc(NUMBER_BYTES), length, departures, rest]))
    assert.is(newer.documents.document?.content.toString(), expected)
    assert.equal(newer.departures.all(), [])
  }
})

test('listeners hear of decisions from commands and from snapshots', () => {
  const heard: ZoneDecision[] = []
  const state = ControlState.create()
  state.apply(1, encodeZoneCommand(decision('north', 1, true)))
  const restored = ControlState.create()
  restored.zones.onAdd((added) => heard.push(added))
  restored.restore(state.snapshot())
  restored.apply(2, encodeZoneCommand(decision('north', 2, false)))
  assert.equal(heard, [decision('north', 1, true), decision('north', 2, false)])
})

test('an earlier decision on a zone does not replace a later one', () => {
  const state = ControlState.create()
  state.apply(1, encodeZoneCommand(decision('north', 4, false)))
  state.apply(2, encodeZoneCommand(decision('north', 3, true)))
  assert.equal(state.zones.find('north'), decision('north', 4, false))
})

// Guards against control VMs of an older version that fail during an upgrade, or lose what was acknowledged.
test('a version that knows no evacuations keeps them in its snapshots', () => {
  const older = DepartureRegister.create()
  for (const command of [decision('north', 1, true), decision('south', 1, true), decision('south', 2, false)].map(encodeZoneCommand)) {
    older.add(Departure.decode(command.subarray(NUMBER_BYTES)))
  }
  const departures = DepartureList.encode({ departures: older.all() }).finish()
  const length = Buffer.alloc(4)
  length.writeUInt32BE(departures.length)
  const newer = ControlState.create()
  newer.restore(Buffer.concat([Buffer.alloc(NUMBER_BYTES), length, departures, DOCUMENT]))
  assert.equal(newer.zones.all(), [decision('north', 1, true), decision('south', 2, false)])
  assert.is(newer.documents.document?.number, 3)
})

// Guards against a version that counts departures only up to a maximum, and would forget a zone first.
test('a version that knows no evacuations restores a snapshot with very many departures and keeps the zones', () => {
  const state = stateOf(...Array.from({ length: 1_000 }, (_, index) => departure(`i-${index}`)))
  state.apply(2_000, encodeZoneCommand(decision('north', 1, true)))
  const snapshot = Buffer.from(state.snapshot())
  const older = DepartureRegister.create()
  older.restore(DepartureList.decode(snapshot.subarray(LIST_BEGIN, LIST_BEGIN + snapshot.readUInt32BE(NUMBER_BYTES))).departures)
  assert.ok(older.all().some(({ instance }) => instance === '/zone/north'))
})

test('a version that knows only documents ignores the command for a zone', () => {
  const state = PublishedDocumentState.create()
  state.apply(1, DOCUMENT)
  state.apply(2, encodeZoneCommand(decision('north', 1, true)))
  assert.is(state.document?.content.toString(), 'three')
})

test.run()

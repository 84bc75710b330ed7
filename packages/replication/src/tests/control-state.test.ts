import type { Departure } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ControlState, encodeDepartureCommand } from '../control-state.ts'
import { encodeDocument, PublishedDocumentState } from '../published-document.ts'

const DOCUMENT = encodeDocument({ number: 3, content: Buffer.from('three') })
const departure = (instance: string, changes: Partial<Departure> = {}): Departure => ({ instance, born: 1_000, sequence: 4, gone: false, ...changes })

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

test.run()

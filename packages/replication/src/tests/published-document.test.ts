import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { encodeDocument, PublishedDocumentState } from '../published-document.ts'

const document = (number: number, text: string): Buffer => encodeDocument({ number, content: Buffer.from(text) })

test('the highest number wins, regardless of the order of documents', () => {
  const state = PublishedDocumentState.create()
  state.apply(1, document(3, 'three'))
  state.apply(2, document(2, 'two'))
  assert.is(state.document?.content.toString(), 'three')
})

test('a second document with the same number is ignored', () => {
  const state = PublishedDocumentState.create()
  state.apply(1, document(3, 'first'))
  state.apply(2, document(3, 'second'))
  assert.is(state.document?.content.toString(), 'first')
})

test('a snapshot restores the document', () => {
  const state = PublishedDocumentState.create()
  state.apply(1, document(9, 'nine'))
  const restored = PublishedDocumentState.create()
  restored.restore(state.snapshot())
  assert.equal(restored.document, state.document)
})

test('an empty snapshot restores no document', () => {
  const state = PublishedDocumentState.create()
  state.restore(PublishedDocumentState.create().snapshot())
  assert.is(state.document, undefined)
})

test.run()

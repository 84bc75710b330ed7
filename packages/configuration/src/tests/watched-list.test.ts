import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { Err, Ok, type Result } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { FileNotReadable } from '../settings-file.ts'
import { WatchedList } from '../watched-list.ts'

function createList () {
  const state: { text: Result<string, Failure>, parsed: number } = { text: Ok('a b'), parsed: 0 }
  const list = WatchedList.create([], {
    read: async () => state.text,
    parse: (text) => {
      state.parsed += 1
      return Ok(text.split(' '))
    }
  }, silentLogger())
  return { list, state }
}

// Guards against processes that spend their processor time on a file that does not change (SHORT).
test('a file whose text has not changed is not parsed again', async () => {
  const { list, state } = createList()
  for (let round = 0; round < 5; round += 1) await list.refresh()
  assert.equal(list.values, ['a', 'b'])
  assert.is(state.parsed, 1)
})

test('a file that changes and changes back is followed', async () => {
  const { list, state } = createList()
  for (const text of ['a b', 'c', 'a b']) {
    state.text = Ok(text)
    await list.refresh()
    assert.equal(list.values, text.split(' '))
  }
})

test('the values stay while the file cannot be read', async () => {
  const { list, state } = createList()
  await list.refresh()
  state.text = Err(FileNotReadable.create('settings', 'gone'))
  await list.refresh()
  assert.equal(list.values, ['a', 'b'])
})

test.run()

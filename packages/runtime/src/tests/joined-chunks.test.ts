import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { JoinedChunks } from '../joined-chunks.ts'

const COUNT = 65_536
/** Each chunk that is kept holds at least as many bytes as a short one has at most, together with the one in front of it. */
const MAXIMUM_CHUNKS = 2 * COUNT / 1_024 + 2

const byteAt = (index: number): Buffer => Buffer.from([index % 251])
const expected = Buffer.from(Array.from({ length: COUNT }, (_, index) => index % 251))

// Guards against memory that is used by each chunk of one byte (LOST: the process ended out of memory).
test('chunks of one byte are held in few chunks, whole and in order', () => {
  const held = JoinedChunks.create()
  for (let index = 0; index < COUNT; index += 1) held.append(byteAt(index))
  assert.is(held.bytes, COUNT)
  const chunks = held.takeAll()
  assert.ok(chunks.length <= MAXIMUM_CHUNKS, `${chunks.length} chunks`)
  assert.ok(Buffer.concat(chunks).equals(expected))
  assert.is(held.bytes, 0)
  assert.is(held.first, undefined)
})

test('a single chunk is not copied', () => {
  const held = JoinedChunks.create()
  const chunk = Buffer.from('alone')
  held.append(chunk)
  assert.ok(held.takeAll()[0] === chunk)
})

// Guards against bytes that change their order, or are lost, where short and long chunks alternate.
test('chunks of all lengths stay in order while the first ones are taken off', () => {
  const held = JoinedChunks.create()
  const taken: Buffer[] = []
  const given: Buffer[] = []
  for (let index = 0; index < 2_000; index += 1) {
    const chunk = Buffer.alloc([0, 1, 3, 700, 1_023, 1_024, 1_025, 9_000][index % 8] as number, index % 251)
    given.push(Buffer.from(chunk))
    held.append(chunk)
    if (index % 3 !== 0) continue
    const { first } = held
    const part = (first ?? Buffer.alloc(0)).subarray(0, 500)
    taken.push(Buffer.from(part))
    held.dropFirst(part.length)
  }
  assert.is(held.joined().length, held.bytes)
  assert.ok(Buffer.concat([...taken, held.joined()]).equals(Buffer.concat(given)))
})

test.run()

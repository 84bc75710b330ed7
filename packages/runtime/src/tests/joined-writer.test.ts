import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { JoinedWriter, type JoinedOutput } from '../joined-writer.ts'

/** A stream that passes on what it was given when the test says so. */
class TestOutput implements JoinedOutput {
  readonly writableHighWaterMark = 16
  readonly chunks: string[] = []
  destroyed = false
  writableNeedDrain = false
  private pending: (() => void)[] = []

  write (chunk: Buffer, written: () => void): boolean {
    this.chunks.push(chunk.toString())
    this.pending.push(written)
    return true
  }

  passOn (): void {
    const pending = this.pending
    this.pending = []
    for (const written of pending) written()
  }
}

// Guards against a body that trickles and is held back until more of it comes.
test('a chunk that comes alone is written at once', () => {
  const output = new TestOutput()
  const writer = JoinedWriter.create(output, () => {})
  for (const chunk of ['a', 'b', 'c']) {
    assert.is(writer.write(Buffer.from(chunk)), true)
    output.passOn()
  }
  assert.equal(output.chunks, ['a', 'b', 'c'])
})

// Guards against a write for each small chunk, which takes memory and a chunk head of its own until it is sent.
test('chunks that come while another is written are written together, and hold back once they are many', () => {
  const output = new TestOutput()
  let written = 0
  const writer = JoinedWriter.create(output, () => { written += 1 })
  const answers = Array.from('abcdefghijklmnopqrs', (letter) => writer.write(Buffer.from(letter)))
  assert.equal(output.chunks, ['a'])
  assert.is(writer.waitingBytes, 18)
  assert.is(answers.indexOf(false), 16)
  assert.is(writer.needsDrain, true)
  output.passOn()
  assert.equal(output.chunks, ['a', 'bcdefghijklmnopqrs'])
  assert.is(writer.needsDrain, false)
  assert.is(written, 1)
})

test('what waits is written at the end, and discarded once the output is gone', () => {
  const output = new TestOutput()
  const writer = JoinedWriter.create(output, () => {})
  for (const letter of 'abc') writer.write(Buffer.from(letter))
  writer.flush()
  assert.equal(output.chunks, ['a', 'bc'])
  writer.write(Buffer.from('d'))
  output.destroyed = true
  output.passOn()
  writer.discard()
  assert.equal(output.chunks, ['a', 'bc'])
  assert.is(writer.waitingBytes, 0)
})

test.run()

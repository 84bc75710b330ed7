import { buffer } from 'node:stream/consumers'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { RelayFrameDecoder, RelayFrameEncoder } from '../relay-frames.ts'

const PIECES = ['a', 'bc', 'x'.repeat(1_000)] as const

async function encode (pieces: readonly string[]): Promise<Buffer> {
  const encoder = RelayFrameEncoder.create()
  for (const piece of pieces) encoder.write(piece)
  encoder.end()
  return await buffer(encoder)
}

for (const size of [1, 3, 4, 5, 7, 10_000]) {
  test(`frames that arrive in pieces of ${size} bytes are read, and their end is known only once all have arrived`, async () => {
    const frames = await encode(PIECES)
    const decoder = RelayFrameDecoder.create()
    const contents: Buffer[] = []
    for (let begin = 0; begin < frames.length; begin += size) {
      assert.not.ok(decoder.isEnded)
      contents.push(...decoder.decode(frames.subarray(begin, begin + size)).unwrap())
    }
    assert.is(Buffer.concat(contents).toString(), PIECES.join(''))
    assert.ok(decoder.isEnded)
  })
}

test('bytes behind the end and frames of an impossible length are refused', async () => {
  const ended = RelayFrameDecoder.create()
  assert.is(ended.decode(Buffer.from([0, 0, 0, 0, 1])).unwrapErr().code, 'malformed_frame')
  const decoder = RelayFrameDecoder.create()
  assert.is(decoder.decode(Buffer.from('HTTP/1.1 200 OK\r\n')).unwrapErr().code, 'malformed_frame')
})

test.run()

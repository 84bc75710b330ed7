import { connect, createServer, type AddressInfo } from 'node:net'
import { buffer } from 'node:stream/consumers'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { RelayedStream } from '../relayed-stream.ts'
import { encodeFrame, END_FRAME, RelayFrameDecoder } from '../relay-frames.ts'

const PIECES = ['a', 'bc', 'x'.repeat(1_000)] as const

function encode (pieces: readonly string[]): Buffer {
  return Buffer.concat([...pieces.flatMap((piece) => encodeFrame(Buffer.from(piece))), END_FRAME])
}

for (const size of [1, 3, 4, 5, 7, 10_000]) {
  test(`frames that arrive in pieces of ${size} bytes are read, and their end is known only once all have arrived`, () => {
    const frames = encode(PIECES)
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

const SMALL_FRAMES = 20_000

// Guards against an entry that holds the content of each small frame as an object of its own.
test('the contents of small frames that arrive together are taken in few pieces', async () => {
  const frames = encode(Array.from({ length: SMALL_FRAMES }, (_, index) => String(index % 10)))
  const server = createServer((socket) => socket.end(frames))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const stream = RelayedStream.create(connect((server.address() as AddressInfo).port, '127.0.0.1'))
  const push = stream.push.bind(stream)
  let pushed = 0
  stream.push = (piece: Buffer | null) => {
    pushed += 1
    return push(piece)
  }
  const contents = await buffer(stream)
  server.close()
  assert.is(contents.toString(), Array.from({ length: SMALL_FRAMES }, (_, index) => index % 10).join(''))
  assert.ok(stream.hasUpstreamEnded)
  assert.ok(pushed <= SMALL_FRAMES / 20, `${pushed} pieces`)
})

test.run()

import { setImmediate as nextTurn } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { BodySink } from '../upstream-response.ts'
import { withChunkedResponse } from './response-fixture.ts'

const LONG_BYTES = 8_000_000
const TURNS = 400
const ONE_BYTE_CHUNK = '1\r\na\r\n'
/** What is counted for a request whose response is not read. */
const READ_AHEAD_BYTES = 196_608

// Guards against input that piles up in front of the parser, as each time that it reads on the connection brings more than it takes.
for (const [what, chunk, isSlow] of [
  ['chunks of one byte for a fast caller', ONE_BYTE_CHUNK, false],
  ['chunks of one byte for a slow caller', ONE_BYTE_CHUNK, true],
  ['chunks of 1,000 bytes for a slow caller', `3e8\r\n${'x'.repeat(1_000)}\r\n`, true]
] as const) {
  test(`what is read in advance of a response in ${what} is bounded`, async () => {
    await withChunkedResponse(chunk.repeat(Math.ceil(LONG_BYTES / chunk.length)), async (response, socket) => {
      let chunks = 0
      const pieceBytes = chunk.length === ONE_BYTE_CHUNK.length ? 1 : 1_000
      const sink: BodySink = {
        write: (piece) => {
          chunks += piece.length / pieceBytes
          return !isSlow
        },
        whenReady: (task) => { setImmediate(task) }
      }
      const piped = response.pipeTo(sink)
      let ahead = 0
      for (let turn = 0; turn < TURNS; turn += 1) {
        await nextTurn()
        ahead = Math.max(ahead, socket.bytesRead - chunks * chunk.length)
      }
      response.discard()
      await piped
      assert.ok(ahead <= READ_AHEAD_BYTES, `${ahead} bytes were read in advance`)
    })
  })
}

test.run()

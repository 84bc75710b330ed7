import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { BodySink } from '../upstream-response.ts'
import { withChunkedResponse } from './response-fixture.ts'

const CHUNKS = 60_000
const BODY = `${'1\r\na\r\n'.repeat(CHUNKS)}0\r\n\r\n`
/** What is held of a response that nobody takes. */
const HELD_CHUNKS = 65_536
/** Pieces of one connection in a turn of the event loop, and those of the turn behind it where the turn is not seen to end. */
const MAXIMUM_IN_TURN = 1_024

// Guards against a response in very many pieces that keeps the event loop busy, while nobody else is answered.
test('a response in chunks of one byte is read in many turns of the event loop', async () => {
  await withChunkedResponse(BODY, async (response) => {
    const inTurns: number[] = [0]
    let isOver = false
    const beginTurn = (): void => {
      inTurns.push(0)
      if (!isOver) setImmediate(beginTurn)
    }
    const sink: BodySink = {
      write: (chunk) => {
        inTurns.push((inTurns.pop() ?? 0) + chunk.length)
        return true
      },
      whenReady: (task) => task()
    }
    beginTurn()
    const whole = await response.pipeTo(sink)
    isOver = true
    assert.ok(whole.isOk())
    assert.is(response.receivedBytes, CHUNKS)
    // What was held before the sink was there comes at once, in few chunks.
    const [, ...later] = inTurns
    assert.ok(Math.max(...later) <= MAXIMUM_IN_TURN, `${Math.max(...later)} pieces in a turn`)
  })
})

// Guards against memory that each small chunk takes beside its byte while nobody takes the response (LOST: out of memory).
test('a response in chunks of one byte that nobody takes is held in few chunks', async () => {
  await withChunkedResponse('1\r\na\r\n'.repeat(2 * HELD_CHUNKS), async (response) => {
    await response.bufferFull
    const lengths: number[] = []
    void response.pipeTo({
      write: (chunk) => {
        lengths.push(chunk.length)
        return false
      },
      whenReady: () => {}
    })
    assert.is(lengths.reduce((sum, length) => sum + length, 0), HELD_CHUNKS)
    assert.ok(lengths.length <= HELD_CHUNKS / 512, `${lengths.length} chunks`)
  })
})

test.run()

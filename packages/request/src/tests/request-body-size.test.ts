import { Readable } from 'node:stream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CallerExchange } from '../caller-exchange.ts'
import { RequestBody } from '../request-body.ts'

const LIMITS = { maximumBytes: 10_000, replayBytes: 100 }

/** Size of a body of this many bytes, as known once its start is read. */
async function sizeOf (bytes: number, declared: number | undefined): Promise<number | undefined> {
  const exchange: Partial<CallerExchange> = {
    body: Readable.from([Buffer.alloc(bytes)], { objectMode: false }), bodyBytes: declared, signal: new AbortController().signal, sendContinue: () => {}
  }
  return (await RequestBody.read(exchange as CallerExchange, LIMITS, LIMITS.replayBytes)).unwrap().bytes
}

// Guards against uploads of very different cost that look alike to the dispatcher, which is told this size.
test('the size of a body is known where it was read whole or declared', async () => {
  assert.is(await sizeOf(0, 0), 0)
  assert.is(await sizeOf(50, 50), 50)
  assert.is(await sizeOf(50, undefined), 50, 'read whole')
  assert.is(await sizeOf(5_000, 5_000), 5_000)
  assert.is(await sizeOf(5_000, undefined), undefined, 'a stream that does not state its size')
})

test.run()

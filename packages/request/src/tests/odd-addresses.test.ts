import { SystemClock } from '@hickoryspoke/runtime/clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ConnectionRace } from '../connection-race.ts'
import { DirectConnector } from '../connector.ts'

const TIMEOUT_MILLISECONDS = 400

// Guards against a process that ends because an upstream has an address to which nothing can connect (LOST).
for (const address of ['127.0.0.1:99999', '127.0.0.1:65536', '127.0.0.1:-1', '127.0.0.1:0', '127.0.0.1:', '127.0.0.999:80', '', '__proto__']) {
  test(`a connection to "${address}" fails and nothing is thrown`, async () => {
    const result = await DirectConnector.create(SystemClock.create(), TIMEOUT_MILLISECONDS).connect(address, new AbortController().signal)
    assert.ok(result.isErr())
  })
}

test('a way to connect that throws counts as one that failed', async () => {
  const attempts = [{ startAfterMilliseconds: 0, connect: async () => { throw new Error('thrown') } }]
  const options = { clock: SystemClock.create(), attempts, timeoutMilliseconds: TIMEOUT_MILLISECONDS, isDecided: () => false }
  const result = await ConnectionRace.run(options, new AbortController().signal)
  assert.is(result.unwrapErr().message, 'thrown')
})

test.run()

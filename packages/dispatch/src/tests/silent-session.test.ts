import { EventEmitter } from 'node:events'
import type { EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { DispatchCall } from '../client-session.ts'
import { createLeadingService } from './fixture.ts'

/** The leader's side of a stream to an entry. */
class EntryCall extends EventEmitter {
  isDestroyed = false

  getAuthContext (): object {
    return {}
  }

  write (): void {}
  end (): void {}

  destroy (): void {
    this.isDestroyed = true
  }
}

// Guards against streams to lost entries that stay open for ever, since nothing closes them: their data collects in memory,
// and the others are told of too many entries (CONFIG, SHORT).
test('a stream whose client is silent is closed, and one that asks is kept', async () => {
  const clock = FakeClock.create()
  const service = createLeadingService(clock)
  const stopping = new AbortController()
  void service.run(stopping.signal)
  const calls = ['lost', 'alive'].map((name) => {
    const call = new EntryCall()
    service.acceptStream(call as unknown as DispatchCall)
    const hello = { name, zone: 'zone-a', mirror: false, configurationNumber: undefined, running: [], upstreamDigest: '', limits: [], relay: '', admitted: [], fleetShare: 0 }
    call.emit('data', { body: { $case: 'hello', value: hello } } satisfies EntryMessage)
    return call
  })
  for (let second = 1; second <= 10; second += 1) {
    await clock.advanceAsync(1_000)
    calls[1]?.emit('data', { body: { $case: 'number', value: { question: second, relays: false } } } satisfies EntryMessage)
  }
  assert.equal(calls.map(({ isDestroyed }) => isDestroyed), [true, false])
  assert.is(service.entries, 1)
  stopping.abort()
})

test.run()

import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EventLoopMonitor } from '../event-loop-monitor.ts'

test('a reading holds the processor time and the longest delay since the previous reading', async () => {
  const clock = FakeClock.create()
  let used = 100
  const monitor = EventLoopMonitor.create(clock, () => used)
  const stop = new AbortController()
  void monitor.run(stop.signal)
  await clock.advanceAsync(500)
  used += 30
  assert.equal(monitor.read(), { processorMilliseconds: 30, longestDelayMilliseconds: 0 })
  clock.advance(900)
  await clock.advanceAsync(1)
  assert.equal(monitor.read(), { processorMilliseconds: 0, longestDelayMilliseconds: 850 })
  assert.equal(monitor.read(), { processorMilliseconds: 0, longestDelayMilliseconds: 0 })
  stop.abort()
})

test.run()

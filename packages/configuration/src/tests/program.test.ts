import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { stopWithTimeout } from '../program.ts'

test('stopWithTimeout resolves to false after the limit when the stop never ends', async () => {
  const clock = FakeClock.create()
  const program = { stop: async () => await new Promise<void>(() => {}), unfinished: () => '' }
  let outcome: boolean | undefined
  void stopWithTimeout(program, clock, 5_700).then((stopped) => { outcome = stopped })
  await clock.advanceAsync(5_600)
  assert.is(outcome, undefined)
  await clock.advanceAsync(100)
  assert.is(outcome, false)
})

test('stopWithTimeout resolves to true as soon as the stop ends', async () => {
  const clock = FakeClock.create()
  let outcome: boolean | undefined
  void stopWithTimeout({ stop: async () => {}, unfinished: () => '' }, clock, 5_700).then((stopped) => { outcome = stopped })
  await flushPromises()
  assert.is(outcome, true)
})

test.run()

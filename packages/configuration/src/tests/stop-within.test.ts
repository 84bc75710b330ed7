import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { stopWithin } from '../program.ts'

test('a stop that never ends is given up after its time', async () => {
  const clock = FakeClock.create()
  const program = { stop: async () => await new Promise<void>(() => {}), unfinished: () => '' }
  let outcome: boolean | undefined
  void stopWithin(program, clock, 5_700).then((stopped) => { outcome = stopped })
  await clock.advanceAsync(5_600)
  assert.is(outcome, undefined)
  await clock.advanceAsync(100)
  assert.is(outcome, false)
})

test('a stop that ends in time is told at once', async () => {
  const clock = FakeClock.create()
  let outcome: boolean | undefined
  void stopWithin({ stop: async () => {}, unfinished: () => '' }, clock, 5_700).then((stopped) => { outcome = stopped })
  await flushPromises()
  assert.is(outcome, true)
})

test.run()

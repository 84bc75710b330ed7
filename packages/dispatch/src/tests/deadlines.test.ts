import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Deadlines } from '../deadlines.ts'

/** Deadlines of strings, and what was handled with its time. */
function createDeadlines (handle: (item: string) => void = () => {}) {
  const clock = FakeClock.create()
  const handled: [string, number][] = []
  const deadlines = Deadlines.create<string>(clock, (item) => {
    handled.push([item, clock.monotonicMilliseconds()])
    handle(item)
  })
  return { clock, deadlines, handled }
}

test('an item is handled once, at its deadline or within the interval after it', () => {
  const { clock, deadlines, handled } = createDeadlines()
  deadlines.set('a', 101)
  deadlines.set('bb', 0)
  clock.advance(100)
  assert.equal(handled, [['bb', 0]])
  clock.advance(20)
  assert.equal(handled.slice(1), [['a', 105]])
  clock.advance(1_000)
  assert.is(handled.length, 2)
})

test('a cancelled or replaced deadline is not handled', () => {
  const { clock, deadlines, handled } = createDeadlines()
  for (const item of ['a', 'bb', 'ccc']) deadlines.set(item, 100)
  deadlines.cancel('a')
  deadlines.set('bb', 200)
  clock.advance(150)
  assert.equal(handled, [['ccc', 100]])
  clock.advance(50)
  assert.equal(handled.slice(1), [['bb', 200]])
})

test('while items are handled, others of the same time may be cancelled or set anew', () => {
  const { clock, deadlines, handled } = createDeadlines((item) => {
    if (item !== 'a' || clock.monotonicMilliseconds() > 100) return
    deadlines.cancel('bb')
    deadlines.set('a', 140)
  })
  for (const item of ['a', 'bb', 'ccc']) deadlines.set(item, 100)
  clock.advance(140)
  assert.equal(handled, [['a', 100], ['ccc', 100], ['a', 140]])
})

test.run()

import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { QuestionDelay } from '../question-delay.ts'

test('questions that are handled soon do not count as delayed', () => {
  const delay = QuestionDelay.create(FakeClock.create())
  delay.record(20)
  assert.not.ok(delay.wasDelayedLately)
})

// Guards against questions that expire because the choice by expected cost takes more processor time than there is.
test('a delayed question counts for ten seconds', () => {
  const clock = FakeClock.create()
  const delay = QuestionDelay.create(clock)
  delay.record(80)
  assert.ok(delay.wasDelayedLately)
  clock.advance(9_900)
  delay.record(5)
  assert.ok(delay.wasDelayedLately, 'one that is handled soon does not end it')
  clock.advance(200)
  assert.not.ok(delay.wasDelayedLately)
})

test.run()

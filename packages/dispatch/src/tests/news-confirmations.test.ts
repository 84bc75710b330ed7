import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NewsConfirmations } from '../news-confirmations.ts'

function createConfirmations () {
  const clock = FakeClock.create()
  const sent: Array<{ readonly at: number, readonly revision: number }> = []
  const confirmations = NewsConfirmations.create(clock, (revision) => sent.push({ at: clock.monotonicMilliseconds(), revision }))
  return { clock, sent, confirmations }
}

test('news after a pause is confirmed at once', () => {
  const { clock, sent, confirmations } = createConfirmations()
  confirmations.applied(1)
  clock.advance(1_000)
  confirmations.applied(2)
  assert.equal(sent, [{ at: 0, revision: 1 }, { at: 1_000, revision: 2 }])
})

/** Load: 48 upstreams of a large fleet are replaced in two seconds, and each departure is news for each entry. */
// Guards against a leader that spends its processor on a confirmation from each entry for each upstream that leaves (SHORT).
test('news that follows closely is confirmed together, and soon', () => {
  const { clock, sent, confirmations } = createConfirmations()
  for (let revision = 1; revision <= 48; revision += 1) {
    confirmations.applied(revision)
    clock.advance(2_000 / 48)
  }
  clock.advance(200)
  assert.ok(sent.length <= 15, `${sent.length} confirmations`)
  assert.is(sent.at(-1)?.revision, 48)
  for (const { at, revision } of sent) assert.ok(at - (revision - 1) * 2_000 / 48 < 200, 'the newest news is not held back')
})

test.run()

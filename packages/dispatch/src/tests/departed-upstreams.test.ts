import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { announcement } from './fixture.ts'

const SILENT_MILLISECONDS = 5_000

function createSilentUpstream () {
  const clock = FakeClock.create()
  const leader = UpstreamRegistry.create(clock)
  const entry = UpstreamRegistry.create(clock)
  leader.announce(announcement({ instance: 'a', sequence: 3 }))
  entry.mergeEncoded(leader.encodedAnnouncements())
  clock.advance(SILENT_MILLISECONDS + 1)
  leader.expire(SILENT_MILLISECONDS, () => true)
  return { leader, entry }
}

// Guards against an upstream that the leader has taken out and that an entry, or the next leader, goes on using (DRAIN).
test('a silent upstream that the leader takes out is out for those that knew its last announcement', () => {
  const { leader, entry } = createSilentUpstream()
  entry.mergeEncoded(leader.encodedAnnouncements())
  assert.ok(entry.isLeaving('a'))
})

// Guards against requests to an upstream whose departure was acknowledged while it counted as silent, after announcements that a partition had held up (DRAIN).
test('a departure of a silent upstream excludes its announcements of before', () => {
  const { leader } = createSilentUpstream()
  leader.announce(announcement({ instance: 'a', sequence: 7, draining: true }))
  for (const sequence of [4, 5, 6]) leader.announce(announcement({ instance: 'a', sequence }))
  assert.ok(leader.isLeaving('a'))
})

test('a silent upstream that announces itself again is in use again', () => {
  const { leader } = createSilentUpstream()
  assert.ok(leader.announce(announcement({ instance: 'a', sequence: 4 })))
  assert.not.ok(leader.isLeaving('a'))
})

test.run()

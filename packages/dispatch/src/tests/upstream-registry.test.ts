import { Logger, LogLevel } from '@hickoryspoke/telemetry/logger'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { announcement } from './fixture.ts'

const present = (registry: UpstreamRegistry): string[] => registry.present().map((held) => held.announced.instance).sort()

test('an announcement with an old sequence number does not override a later one', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.announce(announcement({ instance: 'a', sequence: 5, draining: true }))
  assert.is(registry.announce(announcement({ instance: 'a', sequence: 4, draining: false })), false)
  assert.is(registry.find('a')?.announced.draining, true)
})

test('an instance that restarts under the same name starts a new sequence', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.announce(announcement({ instance: 'a', sequence: 50, draining: true }))
  assert.is(registry.announce(announcement({ instance: 'a', sequence: 1, born: 2_000 })), true)
  assert.is(registry.find('a')?.announced.draining, false)
})

test('a late announcement does not bring back an instance that has left', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.announce(announcement({ instance: 'a', sequence: 5 }))
  registry.leave('a', undefined)
  assert.is(registry.announce(announcement({ instance: 'a', sequence: 6, draining: true })), false)
  assert.equal(present(registry), [])
})

const KNOWN_POOLS = [{ name: 'ledger', healthPath: '/', maximumConnections: 10 }]

// Guards against announcements of another writer, with a service that the configuration does not name, that take out sound upstreams.
test('an announcement of no known pool is foreign if it has the name or the address of an upstream of a known one', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  const foreign = { pool: 'unknown', born: 9_000, sequence: 9 }
  registry.announce(announcement({ instance: 'a', address: '10.0.0.1:80' }))
  assert.not.ok(registry.isForeign(announcement({ ...foreign, instance: 'a', address: '10.0.0.1:80' })), 'before the first configuration')
  registry.usePools(KNOWN_POOLS)
  assert.ok(registry.isForeign(announcement({ ...foreign, instance: 'a', address: '10.0.0.9:80' })))
  assert.ok(registry.isForeign(announcement({ ...foreign, instance: 'b', address: '10.0.0.1:80' })))
  assert.ok(registry.isForeign(announcement({ ...foreign, instance: 'a', address: '10.0.0.9:80', draining: true })))
  assert.not.ok(registry.isForeign(announcement({ ...foreign, instance: 'b', address: '10.0.0.2:80' })))
  assert.not.ok(registry.isForeign(announcement({ instance: 'b', address: '10.0.0.1:80', born: 9_000 })))
  registry.leave('a', undefined)
  assert.not.ok(registry.isForeign(announcement({ ...foreign, instance: 'b', address: '10.0.0.1:80' })))
})

test('an upstream of a known pool takes its address from a later start of no known pool', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.usePools(KNOWN_POOLS)
  registry.announce(announcement({ instance: 'odd', pool: 'unknown', address: '10.0.0.1:80', born: 9_000 }))
  assert.ok(registry.announce(announcement({ instance: 'a', address: '10.0.0.1:80' })))
  assert.equal(present(registry), ['a'])
  assert.is(registry.instanceAt('10.0.0.1:80'), 'a')
})

// Guards against an upstream that is in use again after it left, as several of its announcements were delayed (DRAIN).
test('no announcement of a start that has left brings the instance back, and a later start does', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.announce(announcement({ instance: 'a', sequence: 5, born: 1_000 }))
  registry.leave('a', 1_000)
  assert.is(registry.announce(announcement({ instance: 'a', sequence: 9, born: 1_000 })), false)
  assert.equal(present(registry), [])
  registry.announce(announcement({ instance: 'a', sequence: 1, born: 2_000 }))
  assert.equal(present(registry), ['a'])
})

test('a departure of a start that was not announced excludes its announcements', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.announce(announcement({ instance: 'a', born: 1_000 }))
  registry.leave('a', 2_000)
  assert.is(registry.announce(announcement({ instance: 'a', sequence: 3, born: 2_000 })), false)
  assert.equal(present(registry), [])
})

test('an instance that another process took out may announce itself again', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.announce(announcement({ instance: 'a', sequence: 5 }))
  registry.takeOut('a')
  assert.equal(present(registry), [])
  assert.is(registry.announce(announcement({ instance: 'a', sequence: 7 })), true)
  assert.equal(present(registry), ['a'])
})

test('an address belongs to the instance that started last', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.announce(announcement({ instance: 'old', address: '10.0.0.9:80', born: 1_000 }))
  registry.announce(announcement({ instance: 'new', address: '10.0.0.9:80', born: 2_000, pool: 'other' }))
  assert.equal(present(registry), ['new'])
  assert.is(registry.announce(announcement({ instance: 'old', address: '10.0.0.9:80', born: 1_000, sequence: 9 })), false)
  assert.equal(present(registry), ['new'])
})

test('a silent upstream is removed only where the callback allows it', () => {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  registry.announce(announcement({ instance: 'a' }))
  registry.announce(announcement({ instance: 'bb' }))
  clock.advance(10_000)
  registry.expire(5_000, (held) => held.announced.instance === 'a')
  assert.equal(present(registry), ['bb'])
})

test('listeners are called only for changes', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  const notified: string[] = []
  registry.onChange((changed) => notified.push(...changed.map((held) => held.announced.instance)))
  registry.announce(announcement({ instance: 'a', sequence: 1 }))
  registry.announce(announcement({ instance: 'a', sequence: 2 }))
  registry.announce(announcement({ instance: 'a', sequence: 3, draining: true }))
  assert.equal(notified, ['a', 'a'])
})

// Guards against a leader that encodes and digests all upstreams again after each announcement that changes nothing (SHORT).
test('the list and the digest are kept while announcements only repeat what is known', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.announce(announcement({ instance: 'i-1', sequence: 1 }))
  const list = registry.encodedAnnouncements()
  const digest = registry.digest()
  registry.announce(announcement({ instance: 'i-1', sequence: 2 }))
  assert.is(registry.encodedAnnouncements(), list)
  registry.announce(announcement({ instance: 'i-1', sequence: 3, slots: 9 }))
  assert.is.not(registry.encodedAnnouncements(), list)
  assert.is.not(registry.digest(), digest)
})

test('an upstream that was leaving and is in use again is logged, and a late announcement that changes nothing is not', () => {
  const lines: string[] = []
  const registry = UpstreamRegistry.create(FakeClock.create(), Logger.create('test', LogLevel.Info, (line) => lines.push(line)))
  registry.announce(announcement({ instance: 'a', sequence: 5, draining: true }))
  registry.announce(announcement({ instance: 'a', sequence: 4 }))
  assert.is(lines.length, 0)
  registry.announce(announcement({ instance: 'a', sequence: 1, born: 2_000 }))
  assert.is(lines.length, 1)
  assert.match(lines[0] ?? '', /"event":"upstream in use again".*"upstream":"a".*"isRestarted":true/)
})

// Guards against upstreams that a new leader uses although their departure was acknowledged by an earlier one (DRAIN).
test('a recorded departure takes out an upstream, known or not, but not a later start of it', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.announce(announcement({ instance: 'a', sequence: 5 }))
  for (const instance of ['a', 'bb']) registry.recordDeparture({ instance, born: 1_000, sequence: 6, gone: false })
  for (const instance of ['a', 'bb']) registry.announce(announcement({ instance, sequence: 5 }))
  assert.ok(registry.isLeaving('a') && registry.isLeaving('bb'))
  assert.is(registry.find('a')?.announced.gone, false, 'it serves what it has')
  registry.announce(announcement({ instance: 'a', sequence: 1, born: 2_000 }))
  registry.recordDeparture({ instance: 'a', born: 1_000, sequence: 6, gone: true })
  assert.not.ok(registry.isLeaving('a'))
})

// Guards against requests to an upstream that left and goes on announcing itself: its call to leave does not name its start (DRAIN).
for (const isKnown of [true, false]) {
  test(`an instance that ${isKnown ? 'is' : 'is not'} known and leaves without naming its start is out until it starts again`, () => {
    const clock = FakeClock.create()
    const registry = UpstreamRegistry.create(clock)
    if (isKnown) registry.announce(announcement({ instance: 'a', sequence: 5 }))
    registry.leave('a', undefined)
    for (const sequence of [6, 7, 20]) assert.is(registry.announce(announcement({ instance: 'a', sequence })), false)
    assert.equal(present(registry), [])
    registry.announce(announcement({ instance: 'a', sequence: 1, born: clock.wallMilliseconds() + 1 }))
    assert.equal(present(registry), ['a'])
  })
}

test.run()

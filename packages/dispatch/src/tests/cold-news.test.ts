/** How the news that an upstream became cold again travels from its announcement to the processes that use it. */
import { AnnouncedUpstream, type DispatchMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClientSession } from '../client-session.ts'
import { NewsDelivery } from '../news-delivery.ts'
import { UpstreamBroadcast } from '../upstream-broadcast.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { announcement, createWarmupRegistry, recordingEntry } from './fixture.ts'

const RATE = 5.8
const ALLOWANCE = { overage: 1.5, slack: 8 }
const WARMUP_MILLISECONDS = 8_000
/** More than the leader sends within a short time before it collects changes. */
const MANY_CLIENTS = 120
const KNOWN = announcement({ instance: 'i-1', address: '10.0.0.1:1', sequence: 5 })
const OTHER = announcement({ instance: 'i-2', address: '10.0.0.1:2', sequence: 5 })
const COLD = { ...KNOWN, sequence: 6, warmupMilliseconds: WARMUP_MILLISECONDS }

function createLeader (clock: FakeClock, registry: UpstreamRegistry) {
  registry.merge([KNOWN, OTHER])
  const sessions: ClientSession[] = []
  const broadcast = UpstreamBroadcast.create(clock, registry, NewsDelivery.create(clock, 2_000, false), () => sessions)
  registry.onChange((changed) => broadcast.send(changed))
  const attach = (upstreamDigest: string) => {
    const received: AnnouncedUpstream[] = []
    const write = ({ body }: DispatchMessage): void => {
      if (body?.$case === 'upstreams') received.push(...body.value.upstreams.map((element) => AnnouncedUpstream.decode(element)))
    }
    const session = { call: { write }, connection: recordingEntry(`entry-${sessions.length}`), mirror: false, heldNumber: 0, upstreamDigest } as unknown as ClientSession
    sessions.push(session)
    broadcast.welcome(session)
    return received
  }
  return { broadcast, attach }
}

function createWarmupLeader () {
  const clock = FakeClock.create()
  const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
  return { clock, registry, ...createLeader(clock, registry) }
}

const coldOf = (received: readonly AnnouncedUpstream[]): (readonly [string, number])[] => {
  return received.filter(({ warmupMilliseconds }) => warmupMilliseconds > 0).map(({ instance, warmupMilliseconds }) => [instance, warmupMilliseconds])
}

// Guards against entries that send an upstream the usual load although it became cold, as the announcement seems to change nothing.
test('entries learn at once that an upstream became cold, also those with the same view as the leader', () => {
  const { registry, attach } = createWarmupLeader()
  const different = attach('')
  const same = attach(registry.digest())
  registry.announce(COLD)
  assert.equal([coldOf(different), coldOf(same)], [[['i-1', WARMUP_MILLISECONDS]], [['i-1', WARMUP_MILLISECONDS]]])
})

test('the news is not held back while many messages are sent', () => {
  const { registry, attach } = createWarmupLeader()
  const [received] = Array.from({ length: MANY_CLIENTS }, () => attach('')) as [AnnouncedUpstream[]]
  registry.announce({ ...OTHER, sequence: 6, slots: 9 })
  registry.announce({ ...KNOWN, sequence: 6, slots: 9 })
  assert.not.ok(received.some(({ instance, slots }) => instance === 'i-1' && slots === 9), 'other changes are collected')
  registry.announce({ ...COLD, sequence: 7, slots: 9 })
  assert.equal(coldOf(received), [['i-1', WARMUP_MILLISECONDS]])
})

test('an upstream that started again and is cold is passed on at once', () => {
  const { registry, attach } = createWarmupLeader()
  const [received] = Array.from({ length: MANY_CLIENTS }, () => attach('')) as [AnnouncedUpstream[]]
  registry.announce({ ...OTHER, sequence: 6, slots: 9 })
  registry.announce({ ...COLD, born: KNOWN.born + 1, sequence: 0 })
  assert.equal(coldOf(received), [['i-1', WARMUP_MILLISECONDS]])
})

// Guards against a message to each entry for every announcement of a cold upstream (SHORT).
test('announcements that name the same end, and arrive some time later, are no news', () => {
  const { clock, registry, attach } = createWarmupLeader()
  const received = attach('')
  registry.announce(COLD)
  const before = received.length
  for (const [sequence, elapsed, delay] of [[7, 1_500, 0], [8, 3_000, 200], [9, 4_500, 240]] as const) {
    clock.advance(elapsed + delay - clock.monotonicMilliseconds())
    const renewal = { ...COLD, sequence, warmupMilliseconds: WARMUP_MILLISECONDS - elapsed }
    assert.ok(registry.isRenewal(renewal))
    registry.announce(renewal)
  }
  assert.is(received.length, before)
  assert.is(registry.find('i-1')?.warmupEndsAt, WARMUP_MILLISECONDS, 'the end that was passed on does not move')
})

test('a longer warm-up than was known is news', () => {
  const { clock, registry, attach } = createWarmupLeader()
  const received = attach('')
  registry.announce(COLD)
  clock.advance(1_500)
  registry.announce({ ...COLD, sequence: 7 })
  assert.equal(coldOf(received), [['i-1', WARMUP_MILLISECONDS], ['i-1', WARMUP_MILLISECONDS]])
})

// Guards against upstreams that always name a long warm-up, so that the leader sends a message to each entry for each announcement.
test('a longer warm-up of upstreams that are cold is collected', () => {
  const { clock, registry, broadcast, attach } = createWarmupLeader()
  const [received] = Array.from({ length: MANY_CLIENTS }, () => attach('')) as [AnnouncedUpstream[]]
  for (const { instance, address } of [KNOWN, OTHER]) registry.announce({ ...COLD, instance, address })
  clock.advance(1_500)
  received.length = 0
  for (const { instance, address } of [KNOWN, OTHER]) registry.announce({ ...COLD, instance, address, sequence: 7 })
  assert.equal(coldOf(received), [['i-1', WARMUP_MILLISECONDS]])
  clock.advance(100)
  broadcast.check()
  assert.equal(coldOf(received), [['i-1', WARMUP_MILLISECONDS], ['i-2', WARMUP_MILLISECONDS - 100]])
})

// Guards against an entry that reconnects with the view that it had, and does not learn what became cold meanwhile.
test('an entry that attaches with the same view is sent the upstreams that are cold, with the rest of their warm-up', () => {
  const { clock, registry, attach } = createWarmupLeader()
  registry.announce(COLD)
  clock.advance(3_000)
  assert.equal(attach(registry.digest()), [{ ...COLD, warmupMilliseconds: WARMUP_MILLISECONDS - 3_000 }])
  clock.advance(6_000)
  assert.equal(attach(registry.digest()), [])
})

// Guards against upstreams that stay limited in processes that learn of them late, as these count the whole warm-up again.
test('a list says how much of a warm-up is left', () => {
  const { clock, registry, attach } = createWarmupLeader()
  registry.announce(COLD)
  for (const [elapsed, left] of [[0, 8_000], [100, 8_000], [2_000, 6_000], [7_900, 100], [8_500, 0]] as const) {
    clock.advance(elapsed - clock.monotonicMilliseconds())
    const [cold] = attach('').filter(({ instance }) => instance === 'i-1')
    assert.is(cold?.warmupMilliseconds, left, `after ${elapsed} ms`)
  }
})

test('a list is right once a configuration with a warm-up limit comes into force', () => {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  registry.announce(COLD)
  registry.encodedAnnouncements()
  clock.advance(3_000)
  registry.usePools(createWarmupPools())
  assert.equal(registry.encodedAnnouncements().map((element) => AnnouncedUpstream.decode(element).warmupMilliseconds), [WARMUP_MILLISECONDS - 3_000])
})

// Guards against earlier deployments whose leader sends more than before.
test('without a warm-up limit an upstream that became cold is no news', () => {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  const { attach } = createLeader(clock, registry)
  const received = attach('')
  const before = received.length
  assert.ok(registry.isRenewal(COLD))
  registry.announce(COLD)
  assert.is(received.length, before)
  clock.advance(3_000)
  assert.is(AnnouncedUpstream.decode(registry.encodedAnnouncements()[0] as Buffer).warmupMilliseconds, 0, 'the list is still that of before')
})

function createWarmupPools () {
  return [{ name: 'ledger', healthPath: '/', maximumConnections: 0, warmup: { milliseconds: WARMUP_MILLISECONDS, requestsPerSecond: RATE } }]
}

test.run()

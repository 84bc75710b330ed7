import { AnnouncedUpstream, type EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AnnouncementRelay } from '../announcement-relay.ts'

const KNOWN: AnnouncedUpstream = {
  instance: 'i-1', pool: 'ledger', address: '10.0.0.1:80', zone: 'zone-a', slots: 4, draining: false, warmupMilliseconds: 0, born: 1_000, sequence: 1, version: 'v1', gone: false
}

function describe (element: Uint8Array): string {
  const { instance, sequence } = AnnouncedUpstream.decode(element)
  return `${instance}/${sequence}`
}

/** A control VM that mirrors a leader which knows one upstream. */
function createRelay () {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  registry.announce(KNOWN)
  const sent: EntryMessage[] = []
  const link = {
    isConnected: true,
    send: (message: EntryMessage): boolean => {
      if (link.isConnected) sent.push(message)
      return link.isConnected
    }
  }
  const relay = AnnouncementRelay.create(registry, link)
  const stopping = new AbortController()
  void relay.run(clock, stopping.signal)
  const reported = (): string[] => sent.flatMap(({ body }) => body?.$case === 'known' ? body.value.upstreams.map(describe) : [])
  return { clock, relay, registry, link, reported, stop: () => stopping.abort() }
}

// Guards against a leader whose processor is used up by the announcements of all upstreams (CONFIG, SHORT).
test('announcements that change nothing are accepted here and reported together', async () => {
  const { clock, relay, reported, stop } = createRelay()
  assert.ok(relay.accept({ ...KNOWN, sequence: 2 }))
  assert.ok(relay.accept({ ...KNOWN, sequence: 3 }))
  await clock.advanceAsync(1_000)
  assert.equal(reported(), ['i-1/3'])
  await clock.advanceAsync(5_000)
  assert.equal(reported(), ['i-1/3'], 'an upstream that is silent is not reported again')
  stop()
})

const FOR_THE_LEADER: Record<string, Partial<AnnouncedUpstream>> = {
  'an unknown upstream': { instance: 'i-2' },
  'an upstream that drains': { draining: true },
  'a new start': { born: 2_000 },
  'another address': { address: '10.0.0.2:80' },
  'other slots': { slots: 8 },
  'a late announcement': { sequence: 1 }
}

for (const [name, change] of Object.entries(FOR_THE_LEADER)) {
  // Guards against news that is acknowledged although the leader does not know it (DRAIN, LOST).
  test(`${name} is left to the leader`, () => {
    const { relay, stop } = createRelay()
    assert.not.ok(relay.accept({ ...KNOWN, sequence: 2, ...change }))
    stop()
  })
}

/** Lets the pool of the upstream limit the use of cold ones. */
function limitWarmup ({ registry }: ReturnType<typeof createRelay>): void {
  registry.usePools([{ name: 'ledger', healthPath: '/', maximumConnections: 0, warmup: { milliseconds: 8_000, requestsPerSecond: 5.8 } }])
}

// Guards against an upstream that became cold and gets too many requests, as the leader learns of it with the next report only.
test('news that an upstream became cold again is left to the leader', () => {
  const created = createRelay()
  limitWarmup(created)
  assert.not.ok(created.relay.accept({ ...KNOWN, sequence: 2, warmupMilliseconds: 8_000 }))
  created.stop()
})

test('where no pool limits the use of cold upstreams, an upstream that became cold is accepted here', () => {
  const { relay, stop } = createRelay()
  assert.ok(relay.accept({ ...KNOWN, sequence: 2, warmupMilliseconds: 8_000 }))
  stop()
})

// Guards against reports that prolong a warm-up by the time that they waited, so that each of them counts as news.
test('a report says how much of a warm-up is left when it is sent', async () => {
  const created = createRelay()
  const { clock, registry, relay, link } = created
  limitWarmup(created)
  const sent: EntryMessage[] = []
  link.send = (message) => sent.push(message) > 0
  registry.announce({ ...KNOWN, sequence: 2, warmupMilliseconds: 8_000 })
  await clock.advanceAsync(1_500)
  assert.ok(relay.accept({ ...KNOWN, sequence: 3, warmupMilliseconds: 6_500 }))
  await clock.advanceAsync(500)
  const [body] = sent.map((message) => message.body)
  assert.equal(body?.$case === 'known' ? body.value.upstreams.map((element) => AnnouncedUpstream.decode(element).warmupMilliseconds) : [], [6_000])
  created.stop()
})

test('nothing is accepted for an upstream that has left, or without a leader', () => {
  const { relay, registry, link, stop } = createRelay()
  link.isConnected = false
  assert.not.ok(relay.accept({ ...KNOWN, sequence: 2 }))
  link.isConnected = true
  registry.leave('i-1', undefined)
  assert.not.ok(relay.accept({ ...KNOWN, sequence: 9 }))
  stop()
})

test('what could not be reported is reported to the next leader', async () => {
  const { clock, relay, link, reported, stop } = createRelay()
  assert.ok(relay.accept({ ...KNOWN, sequence: 2 }))
  link.isConnected = false
  await clock.advanceAsync(3_000)
  assert.equal(reported(), [])
  link.isConnected = true
  await clock.advanceAsync(1_000)
  assert.equal(reported(), ['i-1/2'])
  stop()
})

test.run()

import { AnnouncedUpstream, type DispatchMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { encodeAnnounced } from '../announced-upstream.ts'
import type { ClientSession } from '../client-session.ts'
import { NewsDelivery } from '../news-delivery.ts'
import { UpstreamBroadcast } from '../upstream-broadcast.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { announcement, recordingEntry } from './fixture.ts'

const LIMIT_MILLISECONDS = 2_000
/** Changes of upstreams reach all clients within this time. */
const COLLECT_MILLISECONDS = 100
const UPSTREAMS = Array.from({ length: 282 }, (_, index) => announcement({ instance: `i-${index}`, address: `10.0.0.1:${8_000 + index}` }))

function createLeader (known: readonly AnnouncedUpstream[]) {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  registry.merge(known)
  const sessions: ClientSession[] = []
  const broadcast = UpstreamBroadcast.create(clock, registry, NewsDelivery.create(clock, LIMIT_MILLISECONDS, false), () => sessions)
  registry.onChange((changed) => broadcast.send(changed))
  const attach = (upstreamDigest: string) => {
    const sent: DispatchMessage[] = []
    const call = { write: (message: DispatchMessage) => { sent.push(message) } }
    const session = { call, connection: recordingEntry(`entry-${sessions.length}`), mirror: false, heldNumber: 0, upstreamDigest } as unknown as ClientSession
    sessions.push(session)
    broadcast.welcome(session)
    return { session, sent }
  }
  return { clock, registry, broadcast, attach }
}

function digestOf (upstreams: readonly AnnouncedUpstream[]): string {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.merge(upstreams)
  return registry.digest()
}

function sentUpstreams (sent: readonly DispatchMessage[]): AnnouncedUpstream[] {
  return sent.flatMap(({ body }) => body?.$case === 'upstreams' ? body.value.upstreams.map((element) => AnnouncedUpstream.decode(element)) : [])
}

const isQuery = ({ body }: DispatchMessage): boolean => body?.$case === 'upstreamQuery'

// Guards against a leader that is busy with lists of upstreams while entries attach to it after a change of leader (CONFIG).
test('an entry with the same view is sent no list', () => {
  const { attach } = createLeader(UPSTREAMS)
  const { sent } = attach(digestOf([...UPSTREAMS].reverse()))
  assert.is(sentUpstreams(sent).length, 0)
  assert.not.ok(sent.some(isQuery))
})

test('an entry without a view is sent all upstreams', () => {
  const { attach } = createLeader(UPSTREAMS)
  const { sent } = attach('')
  assert.is(sentUpstreams(sent).length, UPSTREAMS.length)
  assert.not.ok(sent.some(isQuery))
})

test('a restarted leader asks two of many entries, and sends the others nothing that they know', () => {
  const { registry, broadcast, attach } = createLeader([])
  const entries = Array.from({ length: 127 }, () => attach(digestOf(UPSTREAMS)))
  const asked = entries.filter(({ sent }) => sent.some(isQuery))
  assert.is(asked.length, 2)
  for (const { session } of asked) broadcast.receiveKnown(session, { whole: true, upstreams: encodeAnnounced(UPSTREAMS), revision: 0 })
  assert.is(registry.present().length, UPSTREAMS.length)
  assert.is(entries.filter(({ sent }) => sent.some(isQuery)).length, 2)
  assert.is(entries.flatMap(({ sent }) => sentUpstreams(sent)).length, 0)
})

test('an entry that knows other upstreams than the rest is asked once the first ones have answered, and news reaches all others', () => {
  const { clock, broadcast, attach } = createLeader([])
  const first = attach(digestOf(UPSTREAMS))
  const second = attach(digestOf(UPSTREAMS))
  const extra = announcement({ instance: 'i-new', address: '10.0.0.1:9000' })
  const other = attach(digestOf([...UPSTREAMS, extra]))
  broadcast.receiveKnown(first.session, { whole: true, upstreams: encodeAnnounced(UPSTREAMS), revision: 0 })
  assert.ok(other.sent.some(isQuery))
  broadcast.receiveKnown(other.session, { whole: true, upstreams: encodeAnnounced([...UPSTREAMS, extra]), revision: 0 })
  clock.advance(COLLECT_MILLISECONDS)
  broadcast.check()
  assert.equal(sentUpstreams(second.sent).map(({ instance }) => instance), ['i-new'])
})

test('an entry that is gone before it answers leaves its place to the next', () => {
  const { broadcast, attach } = createLeader([])
  const entries = Array.from({ length: 3 }, () => attach(digestOf(UPSTREAMS)))
  assert.not.ok(entries[2]?.sent.some(isQuery))
  broadcast.remove(entries[0]?.session as ClientSession)
  assert.ok(entries[2]?.sent.some(isQuery))
})

// Guards against a restarted leader that learns no upstreams, because the entries that it asked are frozen.
test('entries that do not answer give their place to the next', () => {
  const { clock, broadcast, attach } = createLeader([])
  const entries = Array.from({ length: 3 }, () => attach(digestOf(UPSTREAMS)))
  clock.advance(900)
  broadcast.check()
  assert.not.ok(entries[2]?.sent.some(isQuery))
  clock.advance(100)
  broadcast.check()
  assert.ok(entries[2]?.sent.some(isQuery))
})

/** Load: all upstreams of a large fleet announce themselves within a second and a half, while entries are attached. */
// Guards against a leader that spends its processor on a message to each entry for each upstream (SHORT).
test('upstreams that announce themselves one after another are sent together', () => {
  const { clock, registry, broadcast, attach } = createLeader([])
  const [{ sent }] = Array.from({ length: 278 }, () => attach('')) as [ReturnType<typeof attach>]
  for (const upstream of UPSTREAMS) {
    registry.announce(upstream)
    clock.advance(1_500 / UPSTREAMS.length)
    broadcast.check()
  }
  clock.advance(COLLECT_MILLISECONDS)
  broadcast.check()
  assert.is(sentUpstreams(sent).length, UPSTREAMS.length, 'each is sent once')
  assert.ok(sent.length <= 20, `${sent.length} messages for an entry`)
})

// Guards against entries that refuse to relay to an upstream which was acknowledged, as they do not know it yet (RECOVER).
test('in a small fleet changes are sent at once', () => {
  const { registry, attach } = createLeader([])
  const { sent } = attach('')
  for (const upstream of UPSTREAMS.slice(0, 30)) registry.announce(upstream)
  assert.is(sentUpstreams(sent).length, 30)
})

// Guards against entries without a leader that do not know an upstream whose announcement was acknowledged.
test('changes that were not sent yet are sent at the end of a leadership', () => {
  const { registry, broadcast, attach } = createLeader([])
  const [{ sent }] = Array.from({ length: 100 }, () => attach('')) as [ReturnType<typeof attach>]
  registry.announce(announcement({ instance: 'i-1', address: '10.0.0.1:1' }))
  registry.announce(announcement({ instance: 'i-2', address: '10.0.0.1:2' }))
  assert.equal(sentUpstreams(sent).map(({ instance }) => instance), ['i-1'])
  broadcast.close()
  assert.equal(sentUpstreams(sent).map(({ instance }) => instance), ['i-1', 'i-2'])
})

// Guards against requests for an upstream that leaves, as its departure waited to be sent (DRAIN).
test('a departure is sent at once, with the changes before it', () => {
  const { registry, broadcast, attach } = createLeader([announcement({ instance: 'i-1' })])
  const [{ sent }] = Array.from({ length: 100 }, () => attach('')) as [ReturnType<typeof attach>]
  registry.announce(announcement({ instance: 'i-2', address: '10.0.0.1:1' }))
  registry.announce(announcement({ instance: 'i-3', address: '10.0.0.1:2' }))
  const before = sent.length
  registry.leave('i-1', undefined)
  assert.equal(sentUpstreams(sent.slice(before)).map(({ instance, gone }) => [instance, gone]), [['i-3', false], ['i-1', true]])
  assert.is(broadcast.departureRevision('i-1'), 1)
})

test('the digest changes with what matters to requests, and not with repeated announcements', () => {
  const before = digestOf([announcement({ instance: 'a' })])
  assert.is(digestOf([announcement({ instance: 'a', sequence: 9 })]), before)
  assert.is.not(digestOf([announcement({ instance: 'a', draining: true })]), before)
  assert.is.not(digestOf([announcement({ instance: 'a', born: 2_000 })]), before)
})

// Guards against requests for an upstream whose departure was acknowledged, brought back by a control VM that reports what it heard before (DRAIN).
test('a report of an upstream that has left does not bring it back', () => {
  const { registry, broadcast, attach } = createLeader([announcement({ instance: 'i-1', sequence: 5 })])
  const { session } = attach('')
  registry.leave('i-1', undefined)
  const heardBefore = encodeAnnounced([announcement({ instance: 'i-1', sequence: 41 })])
  broadcast.receiveKnown(session, { whole: false, upstreams: heardBefore, revision: 0 })
  assert.ok(registry.isLeaving('i-1'))
})

// Guards against upstreams that are taken out as silent though other control VMs hear them.
test('a report renews an upstream', () => {
  const { clock, registry, broadcast, attach } = createLeader([announcement({ instance: 'i-1', sequence: 5 })])
  const { session } = attach('')
  clock.advance(3_000)
  broadcast.receiveKnown(session, { whole: false, upstreams: encodeAnnounced([announcement({ instance: 'i-1', sequence: 6 })]), revision: 0 })
  assert.equal(registry.expire(2_000, () => true), [])
  assert.is(registry.find('i-1')?.announced.sequence, 6)
})

test.run()

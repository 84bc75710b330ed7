import type { DispatchMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClientSession } from '../client-session.ts'
import { NewsDelivery } from '../news-delivery.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { ZoneBroadcast } from '../zone-broadcast.ts'
import { ZoneEvacuations } from '../zone-evacuations.ts'
import { announcement } from './fixture.ts'

const NEWS_LIMIT_MILLISECONDS = 2_000

function createLeader (limitMilliseconds: number) {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  registry.announce(announcement({ instance: 'a', zone: 'north' }))
  const zones = ZoneEvacuations.create(clock, registry)
  const news = NewsDelivery.create(clock, NEWS_LIMIT_MILLISECONDS, false)
  news.add()
  const sessions: ClientSession[] = []
  const broadcast = ZoneBroadcast.create({ clock, zones, news, sessions: () => sessions, limitMilliseconds })
  zones.onChange(() => broadcast.send())
  const attach = (name: string, mirror = false) => {
    const sent: DispatchMessage[] = []
    const session = { call: { write: (message: DispatchMessage) => { sent.push(message) } }, mirror } as unknown as ClientSession
    sessions.push(session)
    if (!mirror) news.attach(name)
    broadcast.welcome(session)
    return { lists: () => sent.flatMap(({ body }) => body?.$case === 'zones' ? [body.value] : []) }
  }
  const decide = (zone: string, isEvacuated: boolean): boolean => zones.apply({ zone, isEvacuated, decidedAt: clock.wallMilliseconds() })
  const isKnown = async (): Promise<boolean | undefined> => {
    let result: boolean | undefined
    void broadcast.whenKnown().then((known) => { result = known })
    await flushPromises()
    return result
  }
  return { clock, registry, news, broadcast, attach, decide, isKnown }
}

test('where no zone was ever evacuated, nothing is sent', () => {
  const { broadcast, attach } = createLeader(0)
  const { lists } = attach('one')
  broadcast.check()
  assert.equal(lists(), [])
})

test('a change is sent to all entries, and the list to those that attach later, also after the end', () => {
  const { attach, decide } = createLeader(0)
  const first = attach('one')
  decide('north', true)
  assert.equal(first.lists(), [{ evacuated: ['north'], presumedCold: [], revision: 2 }])
  assert.equal(attach('two').lists(), [{ evacuated: ['north'], presumedCold: [], revision: 0 }])
  decide('north', false)
  assert.equal(attach('three').lists(), [{ evacuated: [], presumedCold: ['a'], revision: 0 }])
})

test('control VMs, which know the zones from the log, are sent nothing', () => {
  const { attach, decide } = createLeader(0)
  const { lists } = attach('mirror', true)
  decide('north', true)
  assert.equal(lists(), [])
})

test('entries hear of upstreams that announced themselves after the end', () => {
  const { clock, registry, broadcast, attach, decide } = createLeader(0)
  const { lists } = attach('one')
  decide('north', true)
  decide('north', false)
  registry.announce(announcement({ instance: 'a', zone: 'north', sequence: 2 }))
  clock.advance(1_000)
  broadcast.check()
  broadcast.check()
  assert.equal(lists().map(({ presumedCold }) => presumedCold), [[], ['a'], []])
})

test('an acknowledgement waits for nobody where older views expire in time', async () => {
  const { attach, decide, isKnown } = createLeader(0)
  attach('one')
  decide('north', true)
  assert.is(await isKnown(), true)
})

// Guards against an acknowledgement that promises a shorter time than entries may act on older views for.
test('where views expire later than promised, an acknowledgement waits for confirmations', async () => {
  const { news, attach, decide, isKnown } = createLeader(500)
  attach('one')
  decide('north', true)
  assert.is(await isKnown(), undefined)
  news.confirmNews('one', 2)
  assert.is(await isKnown(), true)
})

test('an acknowledgement waits for an entry that does not confirm only until its view expires', async () => {
  const { clock, attach, decide, isKnown } = createLeader(500)
  attach('one')
  decide('north', true)
  clock.advance(499)
  assert.is(await isKnown(), undefined)
  clock.advance(1)
  assert.is(await isKnown(), true)
})

// Guards against a resent call that is acknowledged at once because the time of the change is no longer kept with other news.
test('a limit that is longer than that of other news holds for a resent call too', async () => {
  const { clock, news, attach, decide, isKnown } = createLeader(3_000)
  attach('one')
  decide('north', true)
  clock.advance(NEWS_LIMIT_MILLISECONDS + 500)
  news.check()
  assert.is(await isKnown(), undefined)
})

test.run()

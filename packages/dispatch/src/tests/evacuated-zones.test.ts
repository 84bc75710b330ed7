import { DenialReason, PlacementOutcome, type PlacementEnd, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CustomerRateLimiter } from '../customer-rate-limiter.ts'
import { Dispatcher } from '../dispatcher.ts'
import { LocalPlacer } from '../local-placer.ts'
import { PlacementClient } from '../placement-client.ts'
import { ReceivedZones } from '../received-zones.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { ZoneEvacuations } from '../zone-evacuations.ts'
import { announcement, question, recordingEntry } from './fixture.ts'

const UPSTREAMS = [announcement({ instance: 'a', zone: 'north', slots: 2 }), announcement({ instance: 'bb', zone: 'south', slots: 1 })]
/** Just after it was started, a dispatcher lets requests wait for upstreams that are not announced yet. */
const STARTUP_MILLISECONDS = 3_000
/** After this time without a dispatcher, an entry places requests by itself. */
const LOCAL_FALLBACK_MILLISECONDS = 120
const NEVER_ABORTED = new AbortController().signal

/** A dispatcher that began to lead some time ago. */
function createDispatcher (upstreams = UPSTREAMS, leadingMilliseconds = STARTUP_MILLISECONDS) {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  const zones = ZoneEvacuations.create(clock, registry)
  const rates = CustomerRateLimiter.createWithFullBursts()
  rates.setLimits(() => ({ rate: 1_000, burst: 1_000 }))
  registry.merge(upstreams)
  const budget = { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 }
  const dispatcher = Dispatcher.create({ clock, logger: silentLogger(), registry, rates, budget, floorShare: 0, zones })
  registry.onChange((changed) => dispatcher.updateUpstreams(changed))
  zones.onChange(() => dispatcher.updateZones())
  clock.advance(leadingMilliseconds)
  const decide = (zone: string, isEvacuated: boolean): boolean => zones.apply({ zone, isEvacuated, decidedAt: clock.wallMilliseconds() })
  const entry = recordingEntry('one', 'north')
  const end = (ticket: number): void => dispatcher.end(entry, {
    ticket, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds: 10, load: undefined, statedLimit: undefined, instance: '', notice: undefined
  })
  return { clock, registry, dispatcher, decide, entry, end }
}

function createEntry () {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  registry.merge(UPSTREAMS)
  const zones = ReceivedZones.create(registry)
  const placer = LocalPlacer.create({ clock, random: SeededRandom.create(1), registry, entry: 'one', zone: 'north', windowMilliseconds: 5_000, zones })
  const asked: PlacementQuestion[] = []
  const ended: PlacementEnd[] = []
  const state = { isReachable: true }
  const client = PlacementClient.create({
    clock,
    placer,
    isLeaving: (instance) => registry.isLeaving(instance),
    ask: (value) => {
      asked.push(value)
      return state.isReachable
    },
    sendEnd: (value) => {
      ended.push(value)
      return state.isReachable
    }
  })
  client.connected()
  const lose = (): void => {
    state.isReachable = false
    client.lost()
    clock.advance(LOCAL_FALLBACK_MILLISECONDS)
  }
  return { registry, zones, placer, client, asked, ended, lose }
}

const list = (evacuated: string[], presumedCold: string[] = []) => ({ evacuated, presumedCold, revision: 1 })

test('no request is placed in an evacuated zone, and the requests that run there finish', () => {
  const { dispatcher, decide, entry, end } = createDispatcher()
  dispatcher.ask(entry, question(1, { excluded: ['bb'] }))
  decide('north', true)
  dispatcher.ask(entry, question(2))
  dispatcher.ask(entry, question(3))
  assert.equal([1, 2, 3].map((ticket) => entry.answerTo(ticket)), ['a', 'bb', undefined])
  // The slot that becomes free in the evacuated zone is not offered to the request that waits.
  end(1)
  assert.is(entry.answerTo(3), undefined)
  end(2)
  assert.is(entry.answerTo(3), 'bb')
})

// Guards against the shorter path of large pools, in which only the upstream with the free slot is offered.
test('in a large pool, a slot that becomes free in an evacuated zone is not offered to requests that wait', () => {
  const south = Array.from({ length: 40 }, (_, index) => announcement({ instance: `s-${index}`, zone: 'south', slots: 1, address: `10.0.1.${index}:80` }))
  const { dispatcher, decide, entry, end } = createDispatcher([...south, announcement({ instance: 'n', zone: 'north', slots: 1 })])
  const tickets = Array.from({ length: 42 }, (_, index) => index + 1)
  for (const ticket of tickets) dispatcher.ask(entry, question(ticket))
  assert.is(entry.answerTo(42), undefined)
  decide('north', true)
  end(tickets.find((ticket) => entry.answerTo(ticket) === 'n') as number)
  assert.is(entry.answerTo(42), undefined)
  end(tickets.find((ticket) => entry.answerTo(ticket) === 's-3') as number)
  assert.is(entry.answerTo(42), 's-3')
})

test('requests that wait for a slot stay queued for the remaining zones', () => {
  const { dispatcher, decide, entry, end } = createDispatcher()
  for (const ticket of [1, 2, 3, 4]) dispatcher.ask(entry, question(ticket))
  assert.is(entry.answerTo(4), undefined)
  decide('north', true)
  assert.is(entry.answerTo(4), undefined)
  for (const ticket of [1, 2, 3]) end(ticket)
  assert.is(entry.answerTo(4), 'bb')
})

// Guards against callers that wait until their deadline for upstreams that get no requests.
test('requests of a pool without remaining upstream are refused at once, also those that wait', () => {
  const { dispatcher, decide, entry } = createDispatcher([announcement({ instance: 'a', zone: 'north', slots: 1 })])
  for (const ticket of [1, 2]) dispatcher.ask(entry, question(ticket))
  decide('north', true)
  dispatcher.ask(entry, question(3))
  const refused = DenialReason.DENIAL_REASON_NO_UPSTREAM
  assert.equal([1, 2, 3].map((ticket) => entry.answerTo(ticket)), ['a', refused, refused])
})

// Guards against requests that wait from the start of a leadership until their deadline.
test('a new dispatcher refuses requests once upstreams of other zones had time to announce themselves', () => {
  const { clock, dispatcher, decide, entry } = createDispatcher([announcement({ instance: 'a', zone: 'north' })], 0)
  decide('north', true)
  dispatcher.ask(entry, question(1, { targetMilliseconds: 6_000, patienceMilliseconds: 8_000 }))
  dispatcher.tick()
  assert.is(entry.answerTo(1), undefined)
  clock.advance(STARTUP_MILLISECONDS)
  dispatcher.tick()
  assert.is(entry.answerTo(1), DenialReason.DENIAL_REASON_NO_UPSTREAM)
})

test('after the end, waiting requests go to the zone again, one to each upstream at first', () => {
  const { clock, dispatcher, decide, entry } = createDispatcher()
  decide('north', true)
  for (const ticket of [1, 2, 3]) dispatcher.ask(entry, question(ticket))
  assert.equal([1, 2, 3].map((ticket) => entry.answerTo(ticket)), ['bb', undefined, undefined])
  decide('north', false)
  assert.equal([2, 3].map((ticket) => entry.answerTo(ticket)), ['a', undefined])
  clock.advance(STARTUP_MILLISECONDS)
  dispatcher.tick()
  assert.is(entry.answerTo(3), 'a')
})

// Guards against an entry that sends a request which was placed before it received the list (evacuate).
test('an upstream of an evacuated zone may not be used in the last check before sending', () => {
  const { zones, client } = createEntry()
  assert.ok(client.mayUse('a'))
  assert.ok(zones.receive(list(['north'])))
  assert.not.ok(client.mayUse('a'))
  assert.ok(client.mayUse('bb'))
  zones.receive(list([]))
  assert.ok(client.mayUse('a'))
})

test('a placement in a zone that the entry knows to be evacuated is given back and asked again', async () => {
  const { zones, client, asked, ended } = createEntry()
  const placing = client.place(question(1), NEVER_ABORTED)
  zones.receive(list(['north']))
  client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  await flushPromises()
  assert.equal(ended.map(({ instance, outcome }) => ({ instance, outcome })), [{ instance: 'a', outcome: PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED }])
  assert.equal(asked[1]?.excluded, ['a'])
  client.receivePlacement({ ticket: 1, instance: 'bb', address: '10.0.0.2:80' })
  assert.is((await placing).unwrap().instance, 'bb')
})

test('an entry without leader obeys the list that it received last', async () => {
  const { zones, client, lose } = createEntry()
  zones.receive(list(['north']))
  lose()
  for (const ticket of [1, 2, 3, 4]) assert.is((await client.place(question(ticket), NEVER_ABORTED)).unwrap().instance, 'bb')
})

test('an entry without leader refuses a request at once when all upstreams of its pool are in evacuated zones', async () => {
  const { zones, client, lose } = createEntry()
  zones.receive(list(['north', 'south']))
  lose()
  assert.is((await client.place(question(1), NEVER_ABORTED)).unwrapErr().reason, DenialReason.DENIAL_REASON_NO_UPSTREAM)
})

test('an entry presumes those upstreams cold that the leader names, and those of evacuated zones', () => {
  const { zones } = createEntry()
  zones.receive(list(['south'], ['a']))
  assert.equal(['a', 'bb', 'unknown'].map((instance) => zones.isPresumedCold(instance)), [true, true, false])
  zones.receive(list([]))
  assert.equal(['a', 'bb'].map((instance) => zones.isPresumedCold(instance)), [false, false])
})

test.run()

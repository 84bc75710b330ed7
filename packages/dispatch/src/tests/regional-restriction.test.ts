import { DenialReason, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
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

const REGIONS = new Map([['north-1', 'north'], ['north-2', 'north'], ['south-1', 'south']])
/** The last one is in a zone whose region is not known. */
const UPSTREAMS = [['a', 'north-1'], ['bb', 'south-1'], ['ccc', 'unknown']].map(([instance = '', zone = '']) => announcement({ instance, zone, slots: 1 }))
/** Just after it was started, a dispatcher lets requests wait for upstreams that are not announced yet. */
const STARTUP_MILLISECONDS = 3_000
/** After this time without a dispatcher, an entry places requests by itself. */
const LOCAL_FALLBACK_MILLISECONDS = 120
const NEVER_ABORTED = new AbortController().signal
const restricted = (ticket: number, ...allowedRegions: string[]): PlacementQuestion => question(ticket, { allowedRegions })

function createDispatcher () {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  const rates = CustomerRateLimiter.createWithFullBursts()
  rates.setLimits(() => ({ rate: 1_000, burst: 1_000 }))
  registry.merge(UPSTREAMS)
  const budget = { ratio: 0.2, slack: 10, windowMilliseconds: 10_000 }
  const zones = ZoneEvacuations.create(clock, registry, REGIONS)
  const dispatcher = Dispatcher.create({ clock, logger: silentLogger(), registry, rates, budget, floorShare: 0, zones })
  clock.advance(STARTUP_MILLISECONDS)
  const entry = recordingEntry('one', 'south-1')
  const end = (ticket: number): void => dispatcher.end(entry, {
    ticket, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds: 10, load: undefined, statedLimit: undefined, instance: '', notice: undefined
  })
  return { dispatcher, entry, end }
}

function createEntry () {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  registry.merge(UPSTREAMS)
  const zones = ReceivedZones.create(registry, REGIONS)
  const placer = LocalPlacer.create({ clock, random: SeededRandom.create(1), registry, entry: 'one', zone: 'south-1', windowMilliseconds: 5_000, zones })
  const asked: PlacementQuestion[] = []
  const state = { isReachable: true }
  const client = PlacementClient.create({
    clock,
    placer,
    isLeaving: () => false,
    ask: (value) => {
      asked.push(value)
      return state.isReachable
    },
    sendEnd: () => state.isReachable
  })
  client.connected()
  const lose = (): void => {
    state.isReachable = false
    client.lost()
    clock.advance(LOCAL_FALLBACK_MILLISECONDS)
  }
  return { client, asked, lose }
}

test('a request is placed only in its allowed regions, and waits for their upstreams', () => {
  const { dispatcher, entry, end } = createDispatcher()
  dispatcher.ask(entry, restricted(1, 'north'))
  dispatcher.ask(entry, restricted(2, 'north'))
  assert.equal([1, 2].map((ticket) => entry.answerTo(ticket)), ['a', undefined])
  end(1)
  assert.is(entry.answerTo(2), 'a')
})

test('a request that may go to several regions is placed in any of them, and not where the region is unknown', () => {
  const { dispatcher, entry } = createDispatcher()
  for (const ticket of [1, 2, 3]) dispatcher.ask(entry, restricted(ticket, 'north', 'south'))
  assert.equal([1, 2, 3].map((ticket) => entry.answerTo(ticket)).sort(), ['a', 'bb', undefined])
})

// Guards against callers that wait until their deadline for upstreams that there are not.
test('a request without upstream in its regions is refused at once', () => {
  const { dispatcher, entry } = createDispatcher()
  dispatcher.ask(entry, restricted(1, 'east'))
  assert.is(entry.answerTo(1), DenialReason.DENIAL_REASON_NO_UPSTREAM)
})

// Guards against idle upstreams while the first of the waiting requests may only go to other regions.
test('requests that wait for one region do not hold up those that may go to another', () => {
  const { dispatcher, entry, end } = createDispatcher()
  for (const ticket of [1, 2, 3]) dispatcher.ask(entry, question(ticket))
  for (const ticket of [4, 5, 6, 7, 8]) dispatcher.ask(entry, restricted(ticket, 'north'))
  dispatcher.ask(entry, question(9))
  end([1, 2, 3].find((ticket) => entry.answerTo(ticket) === 'bb') as number)
  assert.is(entry.answerTo(9), 'bb')
  assert.equal([4, 5, 6, 7, 8].map((ticket) => entry.answerTo(ticket)).filter((answer) => answer !== undefined), [])
})

test('an entry without leader places a request only in its allowed regions, or refuses it at once', async () => {
  const { client, lose } = createEntry()
  lose()
  for (const ticket of [1, 2, 3, 4]) assert.is((await client.place(restricted(ticket, 'north'), NEVER_ABORTED)).unwrap().instance, 'a')
  assert.is((await client.place(restricted(5, 'east'), NEVER_ABORTED)).unwrapErr().reason, DenialReason.DENIAL_REASON_NO_UPSTREAM)
})

// Guards against a leader of an earlier version, which does not read the restriction.
test('a placement outside of the allowed regions is given back and asked again', async () => {
  const { client, asked } = createEntry()
  const placing = client.place(restricted(1, 'north'), NEVER_ABORTED)
  client.receivePlacement({ ticket: 1, instance: 'bb', address: '10.0.0.2:80' })
  await flushPromises()
  assert.equal(asked[1]?.excluded, ['bb'])
  client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  assert.is((await placing).unwrap().instance, 'a')
})

test('an upstream of unknown region, or that is not known at all, may get no restricted request', () => {
  const { client } = createEntry()
  assert.equal(['a', 'bb', 'ccc', 'dddd'].map((instance) => client.mayUse(instance, ['north'])), [true, false, false, false])
  assert.equal(['a', 'bb', 'ccc', 'dddd'].map((instance) => client.mayUse(instance)), [true, true, true, true])
})

test.run()

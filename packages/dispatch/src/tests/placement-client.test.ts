import { DenialReason, PlacementOutcome, type PlacementEnd, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom, type RandomSource } from '@hickoryspoke/runtime/random'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LocalPlacer } from '../local-placer.ts'
import { PlacementClient } from '../placement-client.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { announcement, question } from './fixture.ts'

function createClient (spread?: RandomSource) {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  registry.announce(announcement({ instance: 'a' }))
  const placer = LocalPlacer.create({ clock, random: SeededRandom.create(1), registry, entry: 'one', zone: 'zone-a', windowMilliseconds: 5_000 })
  const asked: PlacementQuestion[] = []
  const ended: PlacementEnd[] = []
  const state = { reachable: true }
  const client = PlacementClient.create({
    clock,
    placer,
    isLeaving: (instance) => registry.isLeaving(instance),
    ask: (value) => {
      if (state.reachable) asked.push(value)
      return state.reachable
    },
    sendEnd: (value) => {
      if (state.reachable) ended.push(value)
      return state.reachable
    },
    spread
  })
  client.connected()
  return { clock, client, asked, ended, state, placer, registry }
}

const neverAborted = new AbortController().signal

test('a placement by the dispatcher is reported as running until it ends', async () => {
  const { client, ended } = createClient()
  const placing = client.place(question(1), neverAborted)
  client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  assert.is((await placing).unwrap().local, false)
  assert.equal(client.running(), [{ ticket: 1, instance: 'a' }])
  client.end({ ticket: 1, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds: 5, load: undefined, statedLimit: undefined, instance: '' })
  assert.equal(client.running(), [])
  assert.is(ended[0]?.instance, 'a')
})

// Guards against requests that a dispatcher, just elected, places on an upstream whose departure its predecessor acknowledged (DRAIN).
test('a placement on an upstream that the entry knows to be leaving is given back and asked again', async () => {
  const { client, asked, ended, registry } = createClient()
  registry.announce(announcement({ instance: 'a', draining: true, sequence: 2 }))
  const placing = client.place(question(1), neverAborted)
  client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  await flushPromises()
  assert.equal(ended.map(({ instance, outcome }) => ({ instance, outcome })), [{ instance: 'a', outcome: PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED }])
  assert.equal(asked[1]?.excluded, ['a'])
  assert.is(asked[1]?.charged, true, 'the customer\'s rate was charged with the first question')
  client.receivePlacement({ ticket: 1, instance: 'bb', address: '10.0.0.2:80' })
  assert.is((await placing).unwrap().instance, 'bb')
})

const LEAVING = { leaving: true, unavailableMilliseconds: 0, born: undefined }
const UNAVAILABLE = { leaving: false, unavailableMilliseconds: 2_000, born: undefined }
const BORN = 1_000

// Guards against requests that a dispatcher, which does not know it yet, places on an upstream that told this entry that it wants none (DRAIN, BUDGET).
for (const [name, notice] of [['leaves', LEAVING], ['is unavailable', UNAVAILABLE]] as const) {
  test(`a placement on an upstream that told the entry that it ${name} is given back with that notice and asked again`, async () => {
    const { clock, client, asked, ended } = createClient()
    client.recordNotice('a', notice)
    clock.advance(100)
    const placing = client.place(question(1), neverAborted)
    client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
    await flushPromises()
    const unavailableMilliseconds = Math.max(0, notice.unavailableMilliseconds - 100)
    assert.is(ended[0]?.outcome, PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED)
    assert.equal(ended[0]?.notice, { ...notice, unavailableMilliseconds, born: BORN })
    assert.equal(asked[1]?.excluded, ['a'])
    client.receivePlacement({ ticket: 1, instance: 'bb', address: '10.0.0.2:80' })
    assert.is((await placing).unwrap().instance, 'bb')
  })
}

test('an upstream that asked for a pause is used when it is over', async () => {
  const { clock, client } = createClient()
  client.recordNotice('a', UNAVAILABLE)
  clock.advance(2_000)
  const placing = client.place(question(1), neverAborted)
  client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  assert.is((await placing).unwrap().instance, 'a')
})

// Guards against requests that an entry without a dispatcher places on an upstream that told it that it wants none (DRAIN, BUDGET).
test('without a dispatcher an entry places nothing on an upstream that told it that it leaves, until it has started anew', async () => {
  const { clock, client, state, placer, registry } = createClient()
  state.reachable = false
  client.recordNotice('a', LEAVING)
  client.lost()
  clock.advance(300)
  assert.is((await client.place(question(1), neverAborted)).unwrapErr().reason, DenialReason.DENIAL_REASON_NO_UPSTREAM)
  registry.announce(announcement({ instance: 'a', sequence: 2 }))
  assert.is(placer.choose(question(2)), undefined, 'a further announcement of the same start changes nothing')
  registry.announce(announcement({ instance: 'a', born: BORN + 1 }))
  assert.is(placer.choose(question(3))?.announced.instance, 'a')
})

test('without a dispatcher an entry places nothing on an upstream that asked it for a pause, until it is over', () => {
  const { clock, client, placer } = createClient()
  client.recordNotice('a', UNAVAILABLE)
  client.recordNotice('a', { ...UNAVAILABLE, unavailableMilliseconds: 500 })
  clock.advance(1_999)
  assert.is(placer.choose(question(1)), undefined, 'a shorter pause does not end a longer one')
  clock.advance(1)
  assert.is(placer.choose(question(2))?.announced.instance, 'a')
})

// Guards against a departure that is forgotten because the upstream's announcement arrives after its response (DRAIN).
test('an upstream that told the entry that it leaves before its announcement arrived is not used', () => {
  const { client, placer, registry } = createClient()
  client.recordNotice('bb', LEAVING)
  registry.announce(announcement({ instance: 'bb' }))
  const chosen = new Set(Array.from({ length: 20 }, (_, ticket) => placer.choose(question(ticket))?.announced.instance))
  assert.equal([...chosen], ['a'])
})

test('the next dispatcher learns with a kept end what the upstream said, and how long it still wants no requests', async () => {
  const { clock, client, ended, state } = createClient()
  const placing = client.place(question(1), neverAborted)
  client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  await placing
  state.reachable = false
  client.lost()
  client.recordNotice('a', UNAVAILABLE)
  client.end({ ticket: 1, outcome: PlacementOutcome.PLACEMENT_OUTCOME_REFUSED, milliseconds: 5, load: undefined, statedLimit: undefined, instance: '' })
  clock.advance(1_500)
  state.reachable = true
  client.connected()
  assert.equal(ended[0]?.notice, { leaving: false, unavailableMilliseconds: 500, born: BORN })
})

test('without a dispatcher the entry places requests by itself after a short wait', async () => {
  const { clock, client, state } = createClient()
  state.reachable = false
  client.lost()
  const placing = client.place(question(1), neverAborted)
  await clock.advanceAsync(400)
  const placed = await placing
  assert.is(placed.unwrap().local, true)
  assert.is(placed.unwrap().instance, 'a')
})

test('a question that was lost with its dispatcher is sent to the next one', async () => {
  const { clock, client, asked } = createClient()
  const placing = client.place(question(1), neverAborted)
  client.lost()
  client.connected()
  await clock.advanceAsync(50)
  assert.is(asked.length, 2)
  client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  assert.is((await placing).isOk(), true)
})

test('without a dispatcher an entry has its share of a customer\'s rate limit and no retries', async () => {
  const { clock, client, state, placer } = createClient()
  state.reachable = false
  placer.startStandalone(4, () => ({ rate: 4, burst: 4 }))
  client.lost()
  clock.advance(300)
  assert.is((await client.place(question(1), neverAborted)).isOk(), true)
  assert.is((await client.place(question(2), neverAborted)).unwrapErr().reason, DenialReason.DENIAL_REASON_RATE)
  assert.is((await client.place(question(3, { attempt: 1, charged: true }), neverAborted)).unwrapErr().reason, DenialReason.DENIAL_REASON_BUDGET)
})

test('a placement that arrives after the caller has left is cancelled', async () => {
  const { client, ended } = createClient()
  const caller = new AbortController()
  const placing = client.place(question(1), caller.signal)
  caller.abort()
  await flushPromises()
  assert.is((await placing).isErr(), true)
  client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  assert.is(ended.at(-1)?.outcome, PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED)
})

test('the end of a request without a dispatcher is reported to the next one', async () => {
  const { client, ended, state } = createClient()
  const placing = client.place(question(1), neverAborted)
  client.receivePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  await placing
  state.reachable = false
  client.lost()
  client.end({ ticket: 1, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds: 5, load: undefined, statedLimit: undefined, instance: '' })
  assert.equal(ended, [])
  state.reachable = true
  client.connected()
  assert.equal(ended.map(({ ticket, instance }) => ({ ticket, instance })), [{ ticket: 1, instance: 'a' }])
})

/** Times to return of requests that an entry without a dispatcher refuses at one moment. */
async function localReturnTimes (spread: RandomSource | undefined): Promise<number[]> {
  const { clock, client, state, registry } = createClient(spread)
  registry.announce(announcement({ instance: 'a', gone: true, sequence: 2 }))
  state.reachable = false
  client.lost()
  clock.advance(1_000)
  const refused = await Promise.all(Array.from({ length: 50 }, async (_, index) => await client.place(question(index + 1), neverAborted)))
  return refused.map((placed) => placed.isErr() ? placed.error.retryAfterMilliseconds : -1)
}

// Guards against a burst of callers that return together to a fleet without a leader.
test('without a dispatcher, callers are told times spread over what they honour where the deployment asks for it', async () => {
  const times = await localReturnTimes(SeededRandom.create(5))
  assert.ok(Math.min(...times) >= 200 && Math.max(...times) <= 5_000 / 3)
  for (let from = 200; from < 1_400; from += 400) {
    assert.ok(times.filter((time) => time >= from && time < from + 400).length >= 5, `few return from ${from} ms on`)
  }
})

test('otherwise all are told the same time, as before', async () => {
  assert.equal(new Set(await localReturnTimes(undefined)), new Set([500]))
})

test.run()

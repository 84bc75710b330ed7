import { DenialReason, PlacementOutcome, type PlacementEnd, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LocalPlacer } from '../local-placer.ts'
import { PlacementDesk } from '../placement-desk.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { announcement, question } from './fixture.ts'

function createDesk () {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  registry.announce(announcement({ instance: 'a' }))
  const placer = LocalPlacer.create({ clock, random: SeededRandom.create(1), registry, entry: 'one', zone: 'zone-a', windowMilliseconds: 5_000 })
  const asked: PlacementQuestion[] = []
  const ended: PlacementEnd[] = []
  const state = { reachable: true }
  const desk = PlacementDesk.create({
    clock,
    placer,
    ask: (value) => {
      if (state.reachable) asked.push(value)
      return state.reachable
    },
    tellEnd: (value) => {
      if (state.reachable) ended.push(value)
      return state.reachable
    }
  })
  desk.attended()
  return { clock, desk, asked, ended, state, placer }
}

const never = new AbortController().signal

test('a placement of the dispatcher is used and told to the next one until it ends', async () => {
  const { desk, ended } = createDesk()
  const placing = desk.place(question(1), never)
  desk.takePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  assert.is((await placing).unwrap().local, false)
  assert.equal(desk.running(), [{ ticket: 1, instance: 'a' }])
  desk.end({ ticket: 1, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds: 5, load: undefined, instance: '' })
  assert.equal(desk.running(), [])
  assert.is(ended[0]?.instance, 'a')
})

test('without a dispatcher the entry places by itself after a moment', async () => {
  const { clock, desk, state } = createDesk()
  state.reachable = false
  desk.lost()
  const placing = desk.place(question(1), never)
  await clock.advanceAsync(400)
  const placed = await placing
  assert.is(placed.unwrap().local, true)
  assert.is(placed.unwrap().instance, 'a')
})

test('a question that was lost with its dispatcher is asked again of the next', async () => {
  const { clock, desk, asked } = createDesk()
  const placing = desk.place(question(1), never)
  desk.lost()
  desk.attended()
  await clock.advanceAsync(50)
  assert.is(asked.length, 2)
  desk.takePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  assert.is((await placing).isOk(), true)
})

test('alone, an entry has its part of a customer\'s rate and no repeats', async () => {
  const { clock, desk, state, placer } = createDesk()
  state.reachable = false
  placer.begin(4, () => ({ rate: 4, burst: 4 }))
  desk.lost()
  clock.advance(300)
  assert.is((await desk.place(question(1), never)).isOk(), true)
  assert.is((await desk.place(question(2), never)).unwrapErr().reason, DenialReason.DENIAL_REASON_RATE)
  assert.is((await desk.place(question(3, { attempt: 1, charged: true }), never)).unwrapErr().reason, DenialReason.DENIAL_REASON_BUDGET)
})

test('a placement that comes after the caller has left is given back', async () => {
  const { desk, ended } = createDesk()
  const caller = new AbortController()
  const placing = desk.place(question(1), caller.signal)
  caller.abort()
  await flushPromises()
  assert.is((await placing).isErr(), true)
  desk.takePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  assert.is(ended.at(-1)?.outcome, PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED)
})

test('what ends while no dispatcher can be reached is told to the next one', async () => {
  const { desk, ended, state } = createDesk()
  const placing = desk.place(question(1), never)
  desk.takePlacement({ ticket: 1, instance: 'a', address: '10.0.0.1:80' })
  await placing
  state.reachable = false
  desk.lost()
  desk.end({ ticket: 1, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds: 5, load: undefined, instance: '' })
  assert.equal(ended, [])
  state.reachable = true
  desk.attended()
  assert.equal(ended.map(({ ticket, instance }) => ({ ticket, instance })), [{ ticket: 1, instance: 'a' }])
})

test.run()

import { PlacementOutcome, type PlacementEnd } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Dispatcher } from '../dispatcher.ts'
import { LocalPlacer } from '../local-placer.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { announcement, createDispatcher, createWarmupRegistry, question, recordingEntry, warmupPool } from './fixture.ts'

const RATE = 5.8
const ALLOWANCE = { overage: 1.5, slack: 8 }
const ENTRIES = 82
const ANSWER_MILLISECONDS = 20
const STEP_MILLISECONDS = 5
const RUN_MILLISECONDS = 30_000
const SECOND = 1_000
/** The bound without the half of the slack that is kept for requests whose time to arrive differs. */
const MAXIMUM_IN_SECOND = RATE * ALLOWANCE.overage + ALLOWANCE.slack / 2
/** Clocks of two machines differ by this much at most. */
const CLOCK_DIFFERENCE_MILLISECONDS = 100

const COLD = announcement({ instance: 'cold', address: '10.0.0.1:80', slots: 6, warmupMilliseconds: 10 * RUN_MILLISECONDS })
/** Too small for all requests, so that some are left for the cold upstream. */
const WARM = announcement({ instance: 'warm', address: '10.0.0.2:80', slots: 1 })

/** Largest number of times within one sliding second. */
function mostInSecond (times: readonly number[]): number {
  let most = 0
  let first = 0
  for (let last = 0; last < times.length; last += 1) {
    while ((times[last] as number) - (times[first] as number) >= SECOND) first += 1
    most = Math.max(most, last - first + 1)
  }
  return most
}

function answered (ticket: number, instance: string): PlacementEnd {
  const ended = { ticket, instance, outcome: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, milliseconds: ANSWER_MILLISECONDS }
  return { ...ended, load: undefined, statedLimit: undefined, notice: undefined }
}

/** One clock of a fleet, whose wall time differs from that of the others. */
function clockWithOffset (clock: FakeClock, offset: number): Clock {
  return {
    monotonicMilliseconds: () => clock.monotonicMilliseconds(),
    wallMilliseconds: () => clock.wallMilliseconds() + offset,
    schedule: (milliseconds, task) => clock.schedule(milliseconds, task)
  }
}

/** A fleet with more requests than the upstreams take: entries at a leader, or without one. */
function createFleet (seed: number) {
  const clock = FakeClock.create()
  const random = SeededRandom.create(seed)
  const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
  registry.merge([COLD, WARM])
  const sentAt: number[] = []
  const record = (instance: string): void => { if (instance === 'cold') sentAt.push(clock.monotonicMilliseconds()) }
  let dispatcher: Dispatcher | undefined
  const entry = recordingEntry('attached')
  entry.send = ({ body }) => {
    if (body?.$case !== 'placement') return
    const { ticket, instance } = body.value
    record(instance)
    const placedBy = dispatcher
    clock.schedule(ANSWER_MILLISECONDS, () => placedBy?.end(entry, answered(ticket, instance)))
  }
  const placers = Array.from({ length: ENTRIES }, (_, position) => {
    const own = clockWithOffset(clock, random.next() * CLOCK_DIFFERENCE_MILLISECONDS)
    const placer = LocalPlacer.create({ clock: own, random, registry, entry: `entry-${position}`, zone: 'zone-a', windowMilliseconds: 5_000 })
    placer.takeSeat(ENTRIES, position)
    placer.startStandalone(ENTRIES, () => undefined)
    return placer
  })
  let ticket = 0
  return {
    clock,
    registry,
    sentAt,
    /** Begins another leadership, which the requests that wait at the earlier one do not reach. */
    changeLeader: (): void => {
      dispatcher?.close()
      dispatcher = createDispatcher([], 1e9, 0, { clock, registry }).dispatcher
    },
    askLeader: (): void => {
      ticket += 1
      dispatcher?.ask(entry, question(ticket))
    },
    tick: (): void => dispatcher?.tick(),
    /** One entry without leader places a request. */
    placeAlone: (): void => {
      ticket += 1
      const placer = placers[Math.floor(random.next() * ENTRIES)] as LocalPlacer
      const { instance } = placer.choose(question(ticket))?.announced ?? {}
      if (instance === undefined) return
      record(instance)
      clock.schedule(ANSWER_MILLISECONDS, () => placer.recordEnd(instance, answered(ticket, instance), true))
    }
  }
}

interface Situation {
  readonly hasLeader: boolean
  readonly changeMilliseconds: number
  readonly hasEntriesAlone: boolean
  /** Least number of requests a second that the cold upstream gets in the mean. */
  readonly leastPerSecond: number
}

const SITUATIONS: Record<string, Situation> = {
  'a leader': { hasLeader: true, changeMilliseconds: Infinity, hasEntriesAlone: false, leastPerSecond: 0.95 * RATE },
  'a leader that changes every 700 ms': { hasLeader: true, changeMilliseconds: 700, hasEntriesAlone: false, leastPerSecond: 0.7 * RATE },
  'entries without leader': { hasLeader: false, changeMilliseconds: Infinity, hasEntriesAlone: true, leastPerSecond: 0.6 * 0.5 * RATE },
  'a leader that changes, and entries without leader': { hasLeader: true, changeMilliseconds: 700, hasEntriesAlone: true, leastPerSecond: RATE },
  'a leader that changes every 100 ms, and entries without leader': { hasLeader: true, changeMilliseconds: 100, hasEntriesAlone: true, leastPerSecond: 0.3 * RATE }
}

// Guards against a cold upstream that crashes, as it gets more requests in a second than it tolerates from all processes that place requests.
for (const [name, { hasLeader, changeMilliseconds, hasEntriesAlone, leastPerSecond }] of Object.entries(SITUATIONS)) {
  for (const seed of [1, 2, 3]) {
    test(`${name}, seed ${seed}: no second has more requests than allowed, and the upstream is used`, () => {
      const fleet = createFleet(seed)
      const placedAlone = hasEntriesAlone ? 4 : 0
      if (hasLeader) fleet.changeLeader()
      for (let step = 1; fleet.clock.monotonicMilliseconds() < RUN_MILLISECONDS; step += 1) {
        const elapsed = step * STEP_MILLISECONDS
        if (hasLeader) fleet.askLeader()
        for (let request = 0; request < placedAlone; request += 1) fleet.placeAlone()
        fleet.clock.advance(STEP_MILLISECONDS)
        if (elapsed % 50 === 0) fleet.tick()
        if (elapsed % changeMilliseconds === 0) fleet.changeLeader()
      }
      const most = mostInSecond(fleet.sentAt)
      assert.ok(most <= MAXIMUM_IN_SECOND, `${most} in one second, allowed ${MAXIMUM_IN_SECOND}`)
      const mean = fleet.sentAt.length * SECOND / RUN_MILLISECONDS
      assert.ok(mean >= leastPerSecond, `${mean} a second`)
    })
  }
}

// Guards against a returning upstream that gets the requests of a second at once.
test('the leader spreads the requests to a cold upstream over the second', () => {
  const fleet = createFleet(1)
  fleet.changeLeader()
  while (fleet.clock.monotonicMilliseconds() < RUN_MILLISECONDS) {
    fleet.askLeader()
    fleet.clock.advance(STEP_MILLISECONDS)
    fleet.tick()
  }
  const gaps = fleet.sentAt.slice(1).map((time, index) => time - (fleet.sentAt[index] as number))
  assert.ok(Math.min(...gaps) >= 120, `${Math.min(...gaps)} ms between two requests`)
})

// Guards against requests that wait until an event although the token of the only upstream has returned.
test('waiting requests are offered to a cold upstream as its tokens return, by the tick alone', () => {
  const clock = FakeClock.create()
  const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
  const { dispatcher } = createDispatcher([COLD], 1_000, 0, { clock, registry })
  const entry = recordingEntry('one')
  for (let ticket = 1; ticket <= 6; ticket += 1) dispatcher.ask(entry, question(ticket, { targetMilliseconds: 4_000 }))
  const placedAt: number[] = []
  for (let placed = 0; clock.monotonicMilliseconds() < 1_500;) {
    clock.advance(50)
    dispatcher.tick()
    while (placed < entry.sent.filter(({ body }) => body?.$case === 'placement').length) placed = placedAt.push(clock.monotonicMilliseconds())
  }
  assert.equal(placedAt, [200, 350, 550, 700, 900, 1_050])
})

// Guards against a returning upstream that is avoided in a quiet pool until it is warm, as cold upstreams cost more.
test('a returning upstream gets requests within four seconds also while few arrive', () => {
  const clock = FakeClock.create()
  const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
  const { dispatcher } = createDispatcher([WARM, { ...COLD, warmupMilliseconds: 0 }], 1_000, 0, { clock, registry })
  const entry = recordingEntry('one')
  const placedAt: number[] = []
  for (let ticket = 1; ticket <= 40; ticket += 1) {
    if (ticket === 10) registry.announce({ ...COLD, sequence: 2, warmupMilliseconds: 8_000 })
    dispatcher.ask(entry, question(ticket))
    clock.advance(ANSWER_MILLISECONDS)
    const instance = String(entry.answerTo(ticket))
    if (instance === 'cold' && ticket > 10) placedAt.push(clock.monotonicMilliseconds())
    dispatcher.end(entry, answered(ticket, instance))
    clock.advance(500 - ANSWER_MILLISECONDS)
  }
  const gaps = [5_000, ...placedAt].slice(0, -1).map((time, index) => (placedAt[index] as number) - time)
  assert.ok(placedAt.length >= 3, `${placedAt.length} requests`)
  assert.ok(Math.max(...gaps.slice(0, 3)) < 4_000, `${gaps.join(' ')} ms between requests`)
})

// Guards against earlier deployments that are limited or spread differently.
test('without a warm-up limit a cold upstream is used like the others', () => {
  const { dispatcher } = createDispatcher([COLD])
  const entry = recordingEntry('one')
  for (let ticket = 1; ticket <= 6; ticket += 1) dispatcher.ask(entry, question(ticket))
  assert.equal([1, 2, 3, 4, 5, 6].map((ticket) => entry.answerTo(ticket)), Array(6).fill('cold'))
})

// Guards against an upstream whose own limit is forgotten while it is cold, or the other way round.
for (const [stated, most] of [[2, 2], [100, RATE]] as const) {
  test(`the lower rate applies to a cold upstream that states a limit of ${stated}`, () => {
    const clock = FakeClock.create()
    const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
    const { dispatcher } = createDispatcher([COLD], 1_000, 0, { clock, registry })
    dispatcher.adoptLimits([{ instance: 'cold', requestsPerSecond: stated }])
    const entry = recordingEntry('one')
    let placed = 0
    entry.send = ({ body }) => {
      if (body?.$case !== 'placement') return
      const { ticket } = body.value
      placed += 1
      clock.schedule(ANSWER_MILLISECONDS, () => dispatcher.end(entry, answered(ticket, 'cold')))
    }
    for (let ticket = 1; ticket <= 2_000; ticket += 1) {
      dispatcher.ask(entry, question(ticket))
      clock.advance(5)
    }
    assert.ok(placed <= most * 10 + 2 && placed >= most * 9, `${placed} in 10 s`)
  })
}

// Guards against entries that use cold upstreams beyond an allowance that leaves nothing for them.
for (const allowance of [{ overage: 1, slack: 8 }, { overage: 1.5, slack: 2 }]) {
  test(`entries without a leader do not use cold upstreams where the allowance is ${allowance.overage} and ${allowance.slack}`, () => {
    const clock = FakeClock.create()
    const registry = createWarmupRegistry(clock, RATE, allowance)
    registry.announce(COLD)
    const placer = LocalPlacer.create({ clock, random: SeededRandom.create(1), registry, entry: 'one', zone: 'zone-a', windowMilliseconds: 5_000 })
    placer.takeSeat(1, 0)
    placer.startStandalone(1, () => undefined)
    for (let ticket = 1; ticket < 100; ticket += 1) {
      assert.is(placer.choose(question(ticket)), undefined)
      clock.advance(50)
    }
  })
}

const BECOMES_COLD: Record<string, (registry: UpstreamRegistry) => void> = {
  'an announcement says so': (registry) => {
    registry.usePools([warmupPool(RATE)])
    registry.announce({ ...COLD, sequence: 2 })
  },
  'a configuration limits its pool': (registry) => {
    registry.announce({ ...COLD, sequence: 2 })
    registry.usePools([warmupPool(RATE)])
  }
}

// Guards against an upstream that was found to be warm and is not looked at again.
for (const [name, becomeCold] of Object.entries(BECOMES_COLD)) {
  test(`an upstream in use is limited from the moment at which ${name}`, () => {
    const clock = FakeClock.create()
    const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
    registry.usePools([])
    const { dispatcher } = createDispatcher([{ ...COLD, slots: 100, warmupMilliseconds: 0 }], 1_000, 0, { clock, registry })
    const entry = recordingEntry('one')
    let placed = 0
    entry.send = ({ body }) => {
      if (body?.$case !== 'placement') return
      const { ticket } = body.value
      placed += 1
      clock.schedule(ANSWER_MILLISECONDS, () => dispatcher.end(entry, answered(ticket, 'cold')))
    }
    for (let ticket = 1; ticket <= 20; ticket += 1) dispatcher.ask(entry, question(ticket))
    assert.is(placed, 20)
    becomeCold(registry)
    for (let ticket = 21; ticket <= 60; ticket += 1) {
      dispatcher.ask(entry, question(ticket))
      clock.advance(25)
      dispatcher.tick()
    }
    assert.ok(placed - 20 <= RATE + 1.3 && placed - 20 >= RATE - 2, `${placed - 20} in one second`)
  })
}

test('an upstream counts as cold until the end that it last named, when its announcements are lost', () => {
  const clock = FakeClock.create()
  const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
  const coldRate = (): number | undefined => registry.coldRate('cold', clock.monotonicMilliseconds())
  registry.announce({ ...COLD, warmupMilliseconds: 8_000 })
  clock.advance(7_999)
  assert.is(coldRate(), RATE)
  clock.advance(1_000)
  assert.is(coldRate(), undefined)
})

test('a later announcement decides: a warm upstream is not limited, and one that became cold again is', () => {
  const clock = FakeClock.create()
  const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
  const coldRate = (): number | undefined => registry.coldRate('cold', clock.monotonicMilliseconds())
  registry.announce({ ...COLD, warmupMilliseconds: 8_000 })
  registry.announce({ ...COLD, sequence: 2, warmupMilliseconds: 0 })
  assert.is(coldRate(), undefined)
  registry.announce({ ...COLD, sequence: 3, warmupMilliseconds: 8_000 })
  assert.is(coldRate(), RATE)
})

test('an entry that starts in a smaller fleet keeps its seat in the larger one for some time', () => {
  const clock = FakeClock.create()
  const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
  registry.announce(COLD)
  const placer = LocalPlacer.create({ clock, random: SeededRandom.create(1), registry, entry: 'one', zone: 'zone-a', windowMilliseconds: 5_000 })
  placer.takeSeat(ENTRIES, 3)
  placer.takeSeat(1, 0)
  placer.startStandalone(1, () => undefined)
  let placed = 0
  for (let ticket = 1; clock.monotonicMilliseconds() < 10_000; ticket += 1) {
    if (placer.choose(question(ticket)) !== undefined) placed += 1
    clock.advance(50)
  }
  assert.ok(placed <= 1, `${placed} requests in 10 s, of one in ${ENTRIES * 2 / RATE} s`)
})

test('an entry that no leader gave a seat does not use cold upstreams', () => {
  const clock = FakeClock.create()
  const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
  registry.announce(COLD)
  const placer = LocalPlacer.create({ clock, random: SeededRandom.create(1), registry, entry: 'one', zone: 'zone-a', windowMilliseconds: 5_000 })
  placer.startStandalone(ENTRIES, () => undefined)
  assert.is(placer.choose(question(1)), undefined)
})

test('an unknown pool or upstream has no warm-up limit', () => {
  assert.is(UpstreamRegistry.create(FakeClock.create()).coldRate('cold', 0), undefined)
})

test.run()

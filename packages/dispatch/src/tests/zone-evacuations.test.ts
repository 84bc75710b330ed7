import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { ZoneEvacuations } from '../zone-evacuations.ts'
import { announcement } from './fixture.ts'

/** From the specification: time of a zone's slow start, and after which an earlier return no longer counts. */
const SLOW_START_MILLISECONDS = 3_000
const RETURN_MILLISECONDS = 60_000

function createZones () {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  const zones = ZoneEvacuations.create(clock, registry)
  for (const [instance, zone] of [['a', 'north'], ['bb', 'south']] as const) registry.announce(announcement({ instance, zone, sequence: 5 }))
  const decide = (zone: string, isEvacuated: boolean): boolean => zones.apply({ zone, isEvacuated, decidedAt: clock.wallMilliseconds() })
  return { clock, registry, zones, decide }
}

// Guards against load that overwhelms upstreams which became cold while their zone was evacuated.
test('an upstream is presumed cold from the evacuation of its zone until it announces itself after the end', () => {
  const { registry, zones, decide } = createZones()
  decide('north', true)
  assert.ok(zones.isPresumedCold('a'))
  registry.announce(announcement({ instance: 'a', zone: 'north', sequence: 6 }))
  decide('north', false)
  assert.ok(zones.isPresumedCold('a'), 'the announcement was made before the end')
  assert.not.ok(zones.isPresumedCold('bb'), 'its zone was not evacuated')
  assert.equal(zones.presumedCold(), ['a'])
  registry.announce(announcement({ instance: 'a', zone: 'north', sequence: 7 }))
  assert.not.ok(zones.isPresumedCold('a'))
  assert.equal(zones.presumedCold(), [])
})

test('an upstream that starts again after the end is not presumed cold, as its announcement decides', () => {
  const { registry, zones, decide } = createZones()
  decide('north', true)
  decide('north', false)
  registry.announce(announcement({ instance: 'a', zone: 'north', born: 2_000, sequence: 1 }))
  assert.not.ok(zones.isPresumedCold('a'))
})

// Guards against a new leader that takes an announcement of before the end, received late from another process, for a later one.
test('an upstream that becomes known after the end is presumed cold until its next announcement', () => {
  const { registry, zones, decide } = createZones()
  decide('north', true)
  decide('north', false)
  registry.announce(announcement({ instance: 'ccc', zone: 'north', sequence: 8 }))
  assert.ok(zones.isPresumedCold('ccc'))
  registry.announce(announcement({ instance: 'ccc', zone: 'north', sequence: 9 }))
  assert.not.ok(zones.isPresumedCold('ccc'))
})

// Guards against a start of the whole fleet that is slowed down by an evacuation of long ago, which the log still holds.
test('a return of long ago does not count', () => {
  const { clock, registry, zones } = createZones()
  zones.apply({ zone: 'north', isEvacuated: true, decidedAt: clock.wallMilliseconds() - 2 * RETURN_MILLISECONDS })
  zones.apply({ zone: 'north', isEvacuated: false, decidedAt: clock.wallMilliseconds() - RETURN_MILLISECONDS })
  registry.announce(announcement({ instance: 'ccc', zone: 'north' }))
  assert.equal(['a', 'ccc'].filter((instance) => zones.isPresumedCold(instance)), [])
  assert.is(zones.usableSlots('north', 6, clock.monotonicMilliseconds()), 6)
})

test('a second evacuation starts anew', () => {
  const { registry, zones, decide } = createZones()
  decide('north', true)
  decide('north', false)
  registry.announce(announcement({ instance: 'a', zone: 'north', sequence: 6 }))
  decide('north', true)
  decide('north', false)
  assert.ok(zones.isPresumedCold('a'))
})

test('after the end, the usable slots rise from one to all', () => {
  const { clock, zones, decide } = createZones()
  assert.is(zones.usableSlots('north', 6, clock.monotonicMilliseconds()), 6)
  decide('north', true)
  decide('north', false)
  const slots = Array.from({ length: 4 }, () => {
    const usable = zones.usableSlots('north', 6, clock.monotonicMilliseconds())
    clock.advance(SLOW_START_MILLISECONDS / 3)
    return usable
  })
  assert.equal(slots, [1, 2, 4, 6])
  assert.is(zones.usableSlots('south', 6, clock.monotonicMilliseconds()), 6)
})

test('a decision that changes nothing notifies nobody', () => {
  const { zones, decide } = createZones()
  let changes = 0
  zones.onChange(() => { changes += 1 })
  decide('north', true)
  decide('north', true)
  assert.is(changes, 1)
  assert.equal(zones.evacuated(), ['north'])
})

test.run()

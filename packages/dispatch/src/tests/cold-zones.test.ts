import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ColdLimit, GrantedShare } from '../cold-limit.ts'
import { ZoneEvacuations } from '../zone-evacuations.ts'
import { announcement, createWarmupRegistry } from './fixture.ts'

const RATE = 5.8
const ALLOWANCE = { overage: 1.5, slack: 8 }
const WARM = announcement({ instance: 'warm', address: '10.0.0.2:80', slots: 1 })

// Guards against a burst to the upstreams of a zone that is taken back: they may have become cold while nobody used them.
test('an upstream of a returning zone is limited until it announces itself, although it last said that it is warm', () => {
  const clock = FakeClock.create()
  const registry = createWarmupRegistry(clock, RATE, ALLOWANCE)
  const zones = ZoneEvacuations.create(clock, registry)
  registry.cold.presume((instance) => zones.isPresumedCold(instance))
  registry.merge([WARM])
  zones.onChange(() => registry.cold.recordChange())
  const limit = ColdLimit.create(registry, 'warm', GrantedShare.create(ALLOWANCE))
  const coldRate = (): number | undefined => limit.requestsPerSecond(clock.monotonicMilliseconds())
  assert.is(coldRate(), undefined)
  zones.apply({ zone: WARM.zone, isEvacuated: true, decidedAt: clock.wallMilliseconds() })
  zones.apply({ zone: WARM.zone, isEvacuated: false, decidedAt: clock.wallMilliseconds() })
  assert.is(coldRate(), RATE)
  registry.announce({ ...WARM, sequence: WARM.sequence + 1 })
  assert.is(coldRate(), undefined)
})

test.run()

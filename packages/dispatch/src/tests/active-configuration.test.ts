import { encodeServingDifference, encodeServingConfiguration } from '@hickoryspoke/configuration/serving-codec'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ActiveConfiguration } from '../active-configuration.ts'

const bounds = { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 }

function configuration (number: number, pools: string[]): ServingConfiguration {
  return { number, keyed: false, bounds, pools: pools.map((name) => ({ name, healthPath: '/', maximumConnections: 1 })), customers: [], routes: [] }
}

function createActiveConfiguration () {
  const clock = FakeClock.create()
  return { clock, active: ActiveConfiguration.create(clock, 3_000) }
}

test('an update with an older number is ignored', () => {
  const { active } = createActiveConfiguration()
  active.applyUpdate({ number: 5, baseNumber: undefined, content: encodeServingConfiguration(configuration(5, ['a'])) })
  assert.is(active.applyUpdate({ number: 4, baseNumber: undefined, content: encodeServingConfiguration(configuration(4, ['b'])) }).unwrap(), false)
  assert.is(active.number, 5)
})

test('a difference applied to its base gives the new configuration', () => {
  const { active } = createActiveConfiguration()
  const first = configuration(1, ['a', 'b'])
  const second = configuration(2, ['b', 'c'])
  active.applyUpdate({ number: 1, baseNumber: undefined, content: encodeServingConfiguration(first) })
  active.applyUpdate({ number: 2, baseNumber: 1, content: encodeServingDifference(first, second) })
  assert.equal(active.configuration, second)
})

test('a difference based on another configuration than the one held is rejected', () => {
  const { active } = createActiveConfiguration()
  const held = configuration(1, ['a', 'b'])
  active.applyUpdate({ number: 1, baseNumber: undefined, content: encodeServingConfiguration(held) })
  const content = encodeServingDifference(configuration(2, ['b']), configuration(3, ['c']))
  assert.is(active.applyUpdate({ number: 3, baseNumber: 2, content }).isErr(), true)
  assert.equal(active.configuration, held)
})

test('content that cannot be decoded is rejected', () => {
  const { active } = createActiveConfiguration()
  assert.is(active.applyUpdate({ number: 2, baseNumber: undefined, content: Buffer.from('nonsense') }).isErr(), true)
  assert.is(active.number, undefined)
})

test('a confirmation is valid from the time of the question, not of the answer', () => {
  const { clock, active } = createActiveConfiguration()
  active.recordQuestion(1)
  clock.advance(2_000)
  active.confirm(1, undefined)
  assert.is(active.isFresh(), true)
  clock.advance(1_500)
  assert.is(active.isFresh(), false)
})

test('stale time counts from the start, or from the expiry of the last confirmation', () => {
  const { clock, active } = createActiveConfiguration()
  clock.advance(700)
  assert.is(active.staleMilliseconds(), 700)
  active.recordQuestion(1)
  active.confirm(1, undefined)
  assert.is(active.staleMilliseconds(), 0)
  clock.advance(3_400)
  assert.is(active.staleMilliseconds(), 400)
})

test('a newer number makes the held configuration stale until the newer one arrives', () => {
  const { active } = createActiveConfiguration()
  active.recordQuestion(1)
  active.confirm(1, undefined)
  active.recordQuestion(2)
  active.confirm(2, 7)
  assert.is(active.isFresh(), false)
})

test('a suspended machine is stale although its monotonic clock stood still', () => {
  const { clock, active } = createActiveConfiguration()
  active.recordQuestion(1)
  active.confirm(1, undefined)
  clock.stepWall(10_000)
  assert.is(active.isFresh(), false)
})

test.run()

import { encodeServingDifference, encodeServingConfiguration } from '@hickoryspoke/configuration/serving-codec'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ConfigurationInForce } from '../configuration-in-force.ts'

const bounds = { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 }

function configuration (number: number, pools: string[]): ServingConfiguration {
  return { number, keyed: false, bounds, pools: pools.map((name) => ({ name, healthPath: '/', maximumConnections: 1 })), customers: [], routes: [] }
}

function createInForce () {
  const clock = FakeClock.create()
  return { clock, inForce: ConfigurationInForce.create(clock, 3_000) }
}

test('numbers never go back', () => {
  const { inForce } = createInForce()
  inForce.take({ number: 5, baseNumber: 0, content: encodeServingConfiguration(configuration(5, ['a'])) })
  assert.is(inForce.take({ number: 4, baseNumber: 0, content: encodeServingConfiguration(configuration(4, ['b'])) }).unwrap(), false)
  assert.is(inForce.number, 5)
})

test('a difference leads to the whole', () => {
  const { inForce } = createInForce()
  const first = configuration(1, ['a', 'b'])
  const second = configuration(2, ['b', 'c'])
  inForce.take({ number: 1, baseNumber: 0, content: encodeServingConfiguration(first) })
  inForce.take({ number: 2, baseNumber: 1, content: encodeServingDifference(first, second) })
  assert.equal(inForce.configuration, second)
})

test('a difference to another configuration than the one held changes nothing', () => {
  const { inForce } = createInForce()
  const held = configuration(1, ['a', 'b'])
  inForce.take({ number: 1, baseNumber: 0, content: encodeServingConfiguration(held) })
  const content = encodeServingDifference(configuration(2, ['b']), configuration(3, ['c']))
  assert.is(inForce.take({ number: 3, baseNumber: 2, content }).isErr(), true)
  assert.equal(inForce.configuration, held)
})

test('bytes that cannot be read change nothing', () => {
  const { inForce } = createInForce()
  assert.is(inForce.take({ number: 2, baseNumber: 0, content: Buffer.from('nonsense') }).isErr(), true)
  assert.is(inForce.number, 0)
})

test('a confirmation counts from the question, not from the answer', () => {
  const { clock, inForce } = createInForce()
  inForce.noteQuestion(1)
  clock.advance(2_000)
  inForce.confirm(1, 0)
  assert.is(inForce.isFresh(), true)
  clock.advance(1_500)
  assert.is(inForce.isFresh(), false)
})

test('the time without freshness counts from the start, or from the end of the last confirmation', () => {
  const { clock, inForce } = createInForce()
  clock.advance(700)
  assert.is(inForce.staleMilliseconds(), 700)
  inForce.noteQuestion(1)
  inForce.confirm(1, 0)
  assert.is(inForce.staleMilliseconds(), 0)
  clock.advance(3_400)
  assert.is(inForce.staleMilliseconds(), 400)
})

test('a higher number in force makes what is held stale until it arrives', () => {
  const { inForce } = createInForce()
  inForce.noteQuestion(1)
  inForce.confirm(1, 0)
  inForce.noteQuestion(2)
  inForce.confirm(2, 7)
  assert.is(inForce.isFresh(), false)
})

test('a suspended machine is stale although its monotonic clock stood still', () => {
  const { clock, inForce } = createInForce()
  inForce.noteQuestion(1)
  inForce.confirm(1, 0)
  clock.stepWall(10_000)
  assert.is(inForce.isFresh(), false)
})

test.run()

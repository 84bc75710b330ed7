/** Configurations of number 0, beside entries and leaders of versions that take that number for none. */
import { encodeServingConfiguration } from '@hickoryspoke/configuration/serving-codec'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { DispatchHello, NumberAnswer, ServingUpdate } from '@hickoryspoke/protocol/generated/dispatch'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ActiveConfiguration } from '../active-configuration.ts'
import { ConfigurationHistory } from '../configuration-history.ts'

const bounds = { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 }
const HELLO = {
  name: 'entry', zone: 'zone-a', configurationNumber: undefined, mirror: false, running: [], upstreamDigest: '', admitted: [], fleetShare: 0, limits: [], relay: ''
}
const ANSWER = { question: 1, number: undefined, entries: 1, relays: [], position: undefined, relayZones: [] }

const configuration = (number: number): ServingConfiguration => ({ number, keyed: false, bounds, pools: [], customers: [], routes: [] })

function historyOf (...numbers: number[]): ConfigurationHistory {
  const history = ConfigurationHistory.create()
  for (const number of numbers) history.add(configuration(number))
  return history
}

// Guards against a first configuration of number 0 that no entry ever gets (CONFIG).
test('an entry without a configuration is sent one of number 0, and uses it once the leader confirms it', () => {
  const active = ActiveConfiguration.create(FakeClock.create(), 3_000)
  const update = historyOf(0).updateFrom(undefined)
  assert.ok(update)
  assert.is(active.applyUpdate(update).unwrap(), true)
  assert.is(active.applyUpdate(update).unwrap(), false)
  active.recordQuestion(1)
  active.confirm(1, 0)
  assert.ok(active.isFresh())
  assert.is(historyOf(0).updateFrom(0), undefined)
})

test('an entry without a configuration does not take itself for current while the leader holds number 0', () => {
  const active = ActiveConfiguration.create(FakeClock.create(), 3_000)
  active.recordQuestion(1)
  active.confirm(1, 0)
  assert.not.ok(active.isFresh())
})

test('from number 0 a whole configuration is sent, as entries of earlier versions take a difference from it for one', () => {
  const update = historyOf(0, 4).updateFrom(0)
  assert.is(update?.baseNumber, undefined)
  assert.equal(update?.content, encodeServingConfiguration(configuration(4)))
  assert.is(historyOf(1, 4).updateFrom(1)?.baseNumber, 1)
})

test('none and number 0 differ in messages, and what earlier versions write for none is read as none', () => {
  for (const number of [undefined, 0, 7]) {
    assert.is(DispatchHello.decode(DispatchHello.encode({ ...HELLO, configurationNumber: number }).finish()).configurationNumber, number)
    assert.is(NumberAnswer.decode(NumberAnswer.encode({ ...ANSWER, number }).finish()).number, number)
    const update = { number: 9, baseNumber: number, content: Buffer.from('x'), revision: 0 }
    assert.is(ServingUpdate.decode(ServingUpdate.encode(update).finish()).baseNumber, number)
  }
  // Earlier versions leave out the field of a number that is 0.
  assert.is(DispatchHello.decode(Buffer.alloc(0)).configurationNumber, undefined)
  assert.is(NumberAnswer.decode(Buffer.alloc(0)).number, undefined)
  assert.is(ServingUpdate.decode(Buffer.alloc(0)).baseNumber, undefined)
})

test.run()

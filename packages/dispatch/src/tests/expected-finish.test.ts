import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DEFAULT_DISPATCH_POLICY } from '../dispatch-policy.ts'
import { ExpectedFinish } from '../expected-finish.ts'
import { PoolCosts } from '../pool-costs.ts'
import { PoolOutlook } from '../pool-outlook.ts'
import { UpstreamLimits } from '../upstream-limits.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { InstanceStanding } from '../instance-standing.ts'
import { SoundShares } from '../sound-shares.ts'
import type { Candidate } from '../upstream-choice.ts'
import { announcement, question } from './fixture.ts'

const COST = 100
const SLOTS = 4

/** What is asked; the defaults are a request with much time. */
interface Asked {
  readonly target?: number
  readonly waiting?: number
  readonly excluded?: string[]
  readonly mayProbe?: boolean
}

/** A pool in which requests cost 100 ms, with one upstream that answers in the usual time, and has answered just now. */
function createPool () {
  const clock = FakeClock.create()
  const limits = UpstreamLimits.create(clock)
  const registry = UpstreamRegistry.create(clock)
  const costs = PoolCosts.create(() => ({ ...DEFAULT_DISPATCH_POLICY, expectedCost: true }))
  const create = (instance: string, zone: string, factor: number): Candidate => {
    registry.announce(announcement({ instance, zone, slots: SLOTS, address: `10.0.0.${registry.all().length + 1}:80` }))
    const upstream = registry.find(instance)
    assert.ok(upstream)
    const work = costs.upstream(instance)
    for (let response = 0; response < 200; response += 1) work.speed.record(Math.log(factor), 0, 0)
    return { upstream, standing: InstanceStanding.create(0, SoundShares.create(), limits.of(instance)), work }
  }
  for (let ticket = 0; ticket < 100; ticket += 1) {
    const started = costs.start(question(ticket), 'usual', 1, SLOTS, 0)
    assert.ok(started)
    costs.learn(started, COST * (0.8 + 0.004 * ticket), 0)
    costs.end(started)
  }
  const expect = (candidates: readonly Candidate[], asking: Asked = {}, now = 300): ExpectedFinish => {
    const { target = 1_000, waiting = 0, excluded = [], mayProbe = false } = asking
    const outlook = PoolOutlook.create(costs, now)
    const asked = question(1, { targetMilliseconds: target, excluded })
    const estimate = costs.estimate(asked, now)
    assert.ok(outlook && estimate)
    for (const candidate of candidates) outlook.add(candidate, SLOTS, 1, now)
    const slack = { slackMilliseconds: 0, lateSlackMilliseconds: 0 }
    const terms = { ...slack, mayProbe, targetLeftMilliseconds: target, patienceLeftMilliseconds: 5_000 }
    return ExpectedFinish.create({ estimate, outlook, question: asked, terms, zone: 'zone-a', waiting, now })
  }
  return { costs, create, expect }
}

function costOf (finish: ExpectedFinish, candidate: Candidate): number {
  return finish.costOf(candidate, Infinity) ?? Infinity
}

test('a faster upstream is preferred', () => {
  const { create, expect } = createPool()
  const fast = create('fast', 'zone-a', 0.8)
  const slow = create('slow', 'zone-a', 1.2)
  const finish = expect([fast, slow])
  assert.ok(costOf(finish, fast) < costOf(finish, slow))
})

// Bytes between zones are charged.
test('a request stays in its zone while an upstream there answers in time, and leaves it otherwise', () => {
  const { create, expect } = createPool()
  const near = create('near', 'zone-a', 1.3)
  const far = create('far', 'zone-b', 0.9)
  const enough = expect([near, far], { target: 1_000 })
  assert.ok(costOf(enough, near) < costOf(enough, far))
  const tight = expect([near, far], { target: 115 })
  assert.ok(costOf(tight, near) > costOf(tight, far))
})

test('an upstream that would be nearly full costs more while its requests have long to run', () => {
  const { costs, create, expect } = createPool()
  const one = create('one', 'zone-a', 1)
  const other = create('other', 'zone-a', 1)
  for (const [candidate, placedAt] of [[one, 295], [other, 215]] as const) {
    for (let ticket = 1; ticket < SLOTS; ticket += 1) {
      candidate.standing.place(placedAt)
      costs.start(question(ticket), candidate.upstream.announced.instance, ticket, SLOTS, placedAt)
    }
  }
  const finish = expect([one, other])
  assert.ok(costOf(finish, other) < costOf(finish, one), 'its requests are about to end')
})

// Guards against requests that take the last free slot, of an upstream that answers too late, a moment before a better one is free.
test('a request waits where an upstream would answer too late and others are free soon', () => {
  const { create, expect } = createPool()
  const slow = create('slow', 'zone-a', 3)
  const others = Array.from({ length: 10 }, (_, index) => create(`other-${index}`, 'zone-a', 1))
  assert.is(expect([slow, ...others], { target: 250 }).costOf(slow, Infinity), undefined)
  assert.type(expect([slow, ...others], { target: 1_000 }).costOf(slow, Infinity), 'number', 'it would be in time')
  assert.type(expect([slow, ...others], { target: 250, waiting: 200 }).costOf(slow, Infinity), 'number', 'the wait would be longer')
  assert.type(expect([slow, ...others], { target: 250, excluded: ['other-1'] }).costOf(slow, Infinity), 'number', 'it may have no other')
})

// Guards against a non-repeatable request that is lost at an upstream of which nothing is known.
test('an upstream without recent responses is tried with a request that may be repeated only', () => {
  const { create, expect } = createPool()
  const known = create('known', 'zone-a', 1)
  const unknown = create('unknown', 'zone-a', 1)
  const later = 10_000
  known.work.speed.record(0, 0, later)
  const cost = (candidate: Candidate, mayProbe: boolean): number => costOf(expect([known, unknown], { mayProbe }, later), candidate)
  assert.ok(cost(unknown, true) < cost(known, true) - 0.02)
  assert.ok(Math.abs(cost(unknown, false) - cost(known, false)) < 0.01)
})

test('a cost that is not below the limit may be a lower bound, and one below it is exact', () => {
  const { create, expect } = createPool()
  const candidate = create('slow', 'zone-b', 1.5)
  const finish = expect([candidate])
  const exact = costOf(finish, candidate)
  assert.is(finish.costOf(candidate, exact + 0.001), exact)
  assert.ok((finish.costOf(candidate, 0) as number) >= 0)
})

test.run()

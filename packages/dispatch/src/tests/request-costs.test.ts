import { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { RequestCosts } from '../request-costs.ts'
import { question } from './fixture.ts'

type Group = Partial<PlacementQuestion>

/** Records this many requests of each group in turn, 20 ms apart, with costs of 20 % spread around that of their group. */
function learn (groups: readonly [Group, number][], count = 200) {
  const costs = RequestCosts.create()
  const random = SeededRandom.create(1)
  let now = 0
  for (let turn = 0; turn < count; turn += 1) {
    for (const [group, cost] of groups) {
      now += 20
      costs.record(question(now, group), cost * (0.8 + 0.4 * random.next()), now)
    }
  }
  const mean = (group: Group, at = now): number | undefined => costs.estimate(question(0, group), at)?.mean
  return { costs, now, mean }
}

function isNear (actual: number | undefined, expected: number): void {
  assert.ok(actual !== undefined && Math.abs(actual - expected) <= 0.1 * expected, `${actual}, expected ${expected}`)
}

test('nothing is estimated before enough requests were answered', () => {
  assert.is(learn([[{ route: 'a' }, 100]], 19).mean({ route: 'a' }), undefined)
  isNear(learn([[{ route: 'a' }, 100]], 20).mean({ route: 'a' }), 100)
})

test('an unknown route is expected to cost the mean over all requests', () => {
  const { mean } = learn([[{ route: 'a' }, 100], [{ route: 'b' }, 300]])
  isNear(mean({ route: 'a' }), 100)
  isNear(mean({ route: 'b' }), 300)
  isNear(mean({ route: 'c' }), 200)
})

// Guards against uploads of a few bytes and of many that count as alike.
test('a size of the body that tells more than the route is used', () => {
  const { mean } = learn([[{ bodyBytes: 1_000 }, 50], [{ bodyBytes: 300_000 }, 450]])
  isNear(mean({ bodyBytes: 900 }), 50)
  isNear(mean({ bodyBytes: 310_000 }), 450)
  isNear(mean({ bodyBytes: 20_000 }), 250)
})

// Old and new entries ask the same dispatcher during an upgrade.
test('a question without the size of the body is expected to cost the mean of its route', () => {
  const old = question(1)
  const read = PlacementQuestion.decode(PlacementQuestion.encode(old).finish())
  assert.is(read.bodyBytes, undefined)
  const sent = PlacementQuestion.decode(PlacementQuestion.encode({ ...old, bodyBytes: 0 }).finish())
  assert.is(sent.bodyBytes, 0, 'an empty body is a known size')
  isNear(learn([[{ bodyBytes: 1_000 }, 50], [{ bodyBytes: 300_000 }, 450]]).mean(read), 250)
})

test('a size that tells nothing more does not narrow the estimate', () => {
  const { costs, now } = learn([[{ bodyBytes: 1_000 }, 200], [{ bodyBytes: 300_000 }, 200]])
  const small = costs.estimate(question(0, { bodyBytes: 1_000 }), now)
  const wide = costs.estimate(question(0), now)
  assert.is(small?.mean, wide?.mean)
})

test('a customer whose requests cost more is known by it, whatever the size of their bodies', () => {
  const { mean } = learn([
    [{ customer: 'a', bodyBytes: 1_000 }, 50], [{ customer: 'a', bodyBytes: 300_000 }, 450],
    [{ customer: 'b', bodyBytes: 1_000 }, 100], [{ customer: 'b', bodyBytes: 300_000 }, 900]
  ], 400)
  const ratio = (mean({ customer: 'b', bodyBytes: 300_000 }) as number) / (mean({ customer: 'a', bodyBytes: 300_000 }) as number)
  assert.ok(ratio > 1.7 && ratio < 2.2, `${ratio}`)
})

test('a customer with few requests is expected to cost what others do', () => {
  const { costs, now } = learn([[{ customer: 'a' }, 100]])
  for (let ticket = 0; ticket < 10; ticket += 1) costs.record(question(ticket, { customer: 'new' }), 800, now)
  assert.is(costs.estimate(question(0, { customer: 'new' }), now)?.scale, 1)
})

test('a group that has had no answers for long is forgotten', () => {
  const { mean, now } = learn([[{ route: 'a' }, 100]])
  assert.type(mean({ route: 'a' }, now + 30_000), 'number')
  assert.is(mean({ route: 'a' }, now + 300_000), undefined)
})

test('the mean of urgent requests is known apart from that of all', () => {
  const { costs, now } = learn([[{ priority: 0, route: 'a' }, 80], [{ priority: 1, route: 'b' }, 260]])
  isNear(costs.meanUpTo(0, now), 80)
  isNear(costs.meanUpTo(Infinity, now), 170)
})

test.run()

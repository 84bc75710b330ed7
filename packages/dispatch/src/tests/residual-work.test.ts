import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CostDistribution } from '../cost-distribution.ts'
import { CostEstimate } from '../request-costs.ts'
import { nearlyFullShare, ResidualWork } from '../residual-work.ts'

const MEAN = 130

/** 95 requests of 100 ms for 5 of 700 ms. */
function bimodal (): CostEstimate {
  const distribution = CostDistribution.create()
  for (let index = 0; index < 1_000; index += 1) distribution.record(index % 20 === 0 ? 700 : 100, index)
  return CostEstimate.create(distribution, 1)
}

function running (placedAt: readonly number[]): ResidualWork {
  const work = ResidualWork.create()
  for (const at of placedAt) work.start({ estimate: bimodal(), placedAt: at, fullShare: 0 })
  return work
}

test('a request that has run for longer than the usual ones blocks its slot', () => {
  const usual = running([950])
  const long = running([700])
  assert.ok(long.milliseconds(1, 1_000) > 3 * usual.milliseconds(1, 1_000))
  assert.ok(long.endsWithin(MEAN, 1, 1_000) < 0.5 * usual.endsWithin(MEAN, 1, 1_000))
})

test('a request that has run for as long as usual on a slow upstream is not taken for a long one', () => {
  const work = running([800])
  assert.ok(work.milliseconds(3, 1_000) < work.milliseconds(1, 1_000))
})

test('a request that has ended leaves no work', () => {
  const work = ResidualWork.create()
  const one = { estimate: bimodal(), placedAt: 0, fullShare: 0 }
  work.start(one)
  work.end(one)
  assert.is(work.milliseconds(1, 50), 0)
  assert.is(work.length, 0)
})

test('an upstream is nearly full only until enough of its requests have ended', () => {
  assert.is(nearlyFullShare(running([0]), 2, 3, MEAN, 1, 50), 0)
  const soon = nearlyFullShare(running([910, 915]), 3, 3, MEAN, 1, 1_000)
  const late = nearlyFullShare(running([600, 650]), 3, 3, MEAN, 1, 1_000)
  assert.ok(soon < 0.5 && late > 0.9, `${soon} and ${late}`)
})

// Requests placed by an earlier leader or by entries are running as well.
test('requests that are not tracked count with the mean', () => {
  const share = nearlyFullShare(ResidualWork.create(), 3, 3, MEAN, 1, 0)
  assert.is(share, 0.5)
})

test.run()

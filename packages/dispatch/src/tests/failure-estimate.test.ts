import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EVIDENCE, FailureEstimate, PRIOR_PROBABILITY } from '../failure-estimate.ts'
import { SoundShares } from '../sound-shares.ts'

const SHARES = SoundShares.create().shares

test('one broken connection makes a failure probable, and two answers make it improbable again', () => {
  const estimate = FailureEstimate.create(0)
  estimate.observe(EVIDENCE.broken, SHARES, 0)
  assert.ok(estimate.probability(0) > 0.85)
  estimate.observe(EVIDENCE.answered, SHARES, 2_000)
  estimate.observe(EVIDENCE.answered, SHARES, 2_100)
  assert.ok(estimate.probability(2_100) < 0.35)
})

test('one server error is weaker evidence than a broken connection', () => {
  const errors = FailureEstimate.create(0)
  const breaks = FailureEstimate.create(0)
  errors.observe(EVIDENCE.answered, SHARES, 0)
  breaks.observe(EVIDENCE.answered, SHARES, 0)
  errors.observe(EVIDENCE.serverError, SHARES, 10)
  breaks.observe(EVIDENCE.broken, SHARES, 10)
  assert.ok(errors.probability(10) < breaks.probability(10))
})

test('without evidence the probability returns to the prior from both sides', () => {
  const failed = FailureEstimate.create(0)
  const answered = FailureEstimate.create(0)
  failed.observe(EVIDENCE.broken, SHARES, 0)
  answered.observe(EVIDENCE.answered, SHARES, 0)
  for (const estimate of [failed, answered]) assert.ok(Math.abs(estimate.probability(60_000) - PRIOR_PROBABILITY) < 0.01)
})

test('an outcome that is common at sound upstreams of the pool is weak evidence against one of them', () => {
  const shares = SoundShares.create()
  for (let index = 0; index < 400; index += 1) shares.count(index % 4 === 0 ? EVIDENCE.serverError : EVIDENCE.answered, 1)
  const estimate = FailureEstimate.create(0)
  estimate.observe(EVIDENCE.serverError, shares.shares, 0)
  assert.ok(estimate.probability(0) < 0.25)
})

test.run()

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CustomerRateLimiter } from '../customer-rate-limiter.ts'

const TERMS = { rate: 20, burst: 40 }
/** Allows 14 requests beyond the 140 of a window. */
const OVERAGE = { windowMilliseconds: 5_000, share: 0.05, requests: 7 }

/** Requests that are admitted at one moment. */
function admitted (rates: CustomerRateLimiter, now: number): number {
  let count = 0
  while (rates.tryTake('ministry', now)) count += 1
  return count
}

function afterPredecessor (): CustomerRateLimiter {
  const rates = CustomerRateLimiter.createAfterPredecessor(OVERAGE)
  rates.setLimits(() => TERMS)
  return rates
}

test('a dispatcher without a predecessor admits the whole burst', () => {
  const rates = CustomerRateLimiter.createWithFullBursts()
  rates.setLimits(() => TERMS)
  assert.is(admitted(rates, 0), 40)
})

test('a dispatcher without reports about the previous window admits half of the allowed overage', () => {
  assert.is(admitted(afterPredecessor(), 0), 7)
})

test('reported admissions are subtracted from the window, and the rest is admitted', () => {
  const rates = afterPredecessor()
  for (let entry = 0; entry < 4; entry += 1) rates.addReport({ admitted: [{ customer: 'ministry', requests: 30 }], fleetShare: 0.25 })
  assert.is(admitted(rates, 0), 27, '20 that were left of the window, and 7 of the overage')
})

test('a customer that spent its window before gets no more than its rate', () => {
  const rates = afterPredecessor()
  for (let entry = 0; entry < 4; entry += 1) rates.addReport({ admitted: [{ customer: 'ministry', requests: 40 }], fleetShare: 0.25 })
  assert.is(admitted(rates, 0), 0)
  assert.is(admitted(rates, 1_000), 7, '20 of one second, less the 20 beyond the window, plus 7 of the overage')
})

test('an entry that has run for less than a window adds nothing', () => {
  const rates = afterPredecessor()
  rates.addReport({ admitted: [{ customer: 'ministry', requests: 1 }], fleetShare: 0 })
  assert.is(admitted(rates, 0), 7)
})

// Guards against limits that are lifted by one malformed report (QUOTA).
test('a report whose share is not a positive number adds nothing', () => {
  for (const fleetShare of [NaN, -1]) {
    const rates = afterPredecessor()
    rates.addReport({ admitted: [{ customer: 'ministry', requests: 1 }], fleetShare })
    assert.is(admitted(rates, 0), 7)
  }
})

test('reports that come after the first requests still count', () => {
  const rates = afterPredecessor()
  assert.is(admitted(rates, 0), 7)
  for (let entry = 0; entry < 4; entry += 1) rates.addReport({ admitted: [], fleetShare: 0.25 })
  assert.is(admitted(rates, 0), 40)
})

test.run()

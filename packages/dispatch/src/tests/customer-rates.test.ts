import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CustomerRates } from '../customer-rates.ts'

const TERMS = { rate: 20, burst: 40 }
/** Allows 14 requests beyond the 140 of a window. */
const OVERAGE = { windowMilliseconds: 5_000, share: 0.05, requests: 7 }

/** Requests that are admitted at one moment. */
function admitted (rates: CustomerRates, now: number): number {
  let count = 0
  while (rates.take('ministry', now)) count += 1
  return count
}

function afterOther (): CustomerRates {
  const rates = CustomerRates.createAfterOther(OVERAGE)
  rates.setTerms(() => TERMS)
  return rates
}

test('a dispatcher that nobody preceded gives out the whole burst', () => {
  const rates = CustomerRates.createUnspent()
  rates.setTerms(() => TERMS)
  assert.is(admitted(rates, 0), 40)
})

test('a dispatcher that knows nothing of the window before it gives out half of what may be exceeded', () => {
  assert.is(admitted(afterOther(), 0), 7)
})

test('what the entries admitted before is taken from the window, and the rest is given out', () => {
  const rates = afterOther()
  for (let entry = 0; entry < 4; entry += 1) rates.inherit({ admitted: [{ customer: 'ministry', requests: 30 }], fleetShare: 0.25 })
  assert.is(admitted(rates, 0), 27, 'twenty were left of the window, and seven more')
})

test('a customer that spent its window before gets no more than its rate', () => {
  const rates = afterOther()
  for (let entry = 0; entry < 4; entry += 1) rates.inherit({ admitted: [{ customer: 'ministry', requests: 40 }], fleetShare: 0.25 })
  assert.is(admitted(rates, 0), 0)
  assert.is(admitted(rates, 1_000), 7, 'a second of the rate, less what was spent beyond the window')
})

test('an entry that has run for less than a window adds nothing', () => {
  const rates = afterOther()
  rates.inherit({ admitted: [{ customer: 'ministry', requests: 1 }], fleetShare: 0 })
  assert.is(admitted(rates, 0), 7)
})

test('reports that come after the first requests still count', () => {
  const rates = afterOther()
  assert.is(admitted(rates, 0), 7)
  for (let entry = 0; entry < 4; entry += 1) rates.inherit({ admitted: [], fleetShare: 0.25 })
  assert.is(admitted(rates, 0), 40)
})

test.run()

/** Tokens of customers whose callers were refused and return. */
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CustomerRateLimiter } from '../customer-rate-limiter.ts'
import { QuotaAdmission } from '../quota-admission.ts'
import { question } from './fixture.ts'

const RATE = 10
const BURST = 20

function create () {
  const clock = FakeClock.create()
  const rates = CustomerRateLimiter.createWithFullBursts()
  rates.setLimits((customer) => customer === 'unlimited' ? undefined : { rate: RATE, burst: BURST })
  return { clock, rates, quota: QuotaAdmission.create(clock, rates) }
}

/** Uses up the customer's burst. */
function exhaust ({ rates, clock }: ReturnType<typeof create>): void {
  while (rates.tryTake('ministry', clock.monotonicMilliseconds()));
}

// Load pattern: a customer far above its rate, whose other requests take every token as it comes.
test('a caller that returns as told finds a token although its customer goes on sending', () => {
  const state = create()
  exhaust(state)
  for (const fingerprint of [1, 2]) state.quota.reserve(question(fingerprint, { fingerprint }), 0)
  let admitted = 0
  for (let now = 0; now <= 640; now += 10) {
    state.clock.advance(10)
    if (now === 220) assert.ok(state.quota.tryTake(question(1, { fingerprint: 1 }), now))
    if (now === 620) assert.ok(state.quota.tryTake(question(2, { fingerprint: 2 }), now))
    if (state.quota.tryTake(question(3, { fingerprint: 3 }), now)) admitted += 1
  }
  assert.ok(admitted >= 3, `of 6 tokens 2 are held, ${admitted} went to other requests`)
})

test('callers refused together return at times at which the customer has tokens, and keep a part for first attempts', () => {
  const state = create()
  exhaust(state)
  const times = Array.from({ length: 5 }, (_, index) => state.quota.reserve(question(index, { fingerprint: index }), 0))
  assert.equal(times, [200, 600, 1_000, 1_400, undefined])
})

test('the tokens of other customers are not held, nor those of a customer without a limit', () => {
  const state = create()
  exhaust(state)
  state.quota.reserve(question(1), 0)
  assert.ok(state.quota.tryTake(question(2, { customer: 'bank' }), 150))
  state.quota.hold(question(3, { customer: 'unlimited' }), 200)
  assert.is(state.quota.returns.lengthOf('unlimited'), 0)
})

// Guards against a quota that is exceeded over the fleet by reservations or refunds (QUOTA).
test('whatever is refused, promised and refunded, a customer gets no more than its rate and burst', () => {
  const state = create()
  const admittedAt: number[] = []
  const waiting: { at: number, ticket: number }[] = []
  for (let now = 0; now < 20_000; now += 20) {
    state.clock.advance(20)
    const asked = question(now, { fingerprint: now % 700 })
    if (state.quota.tryTake(asked, now)) {
      if (now % 60 === 0) waiting.push({ at: now, ticket: now })
      else admittedAt.push(now)
    } else state.quota.reserve(asked, now)
    while (waiting[0] !== undefined && waiting[0].at < now - 1_500) state.rates.refund('ministry', waiting.shift()?.at)
  }
  for (let from = 0; from < 15_000; from += 100) {
    const count = admittedAt.filter((at) => at >= from && at < from + 5_000).length
    assert.ok(count <= 5 * RATE + BURST, `${count} requests from ${from} ms on`)
  }
})

// Guards against a customer that gets its burst twice: it fills again while charged requests wait, and then their tokens come back.
test('a token is not returned when the bucket has been full since it was taken', () => {
  const { rates } = create()
  for (let count = 0; count < BURST; count += 1) rates.tryTake('ministry', 0)
  let admitted = 0
  while (rates.tryTake('ministry', 3_000)) admitted += 1
  for (let count = 0; count < BURST; count += 1) rates.refund('ministry', 0)
  assert.equal([admitted, rates.tryTake('ministry', 3_000)], [BURST, false])
  rates.refund('ministry', 3_000)
  assert.ok(rates.tryTake('ministry', 3_000), 'the token of a later request is returned')
})

test.run()

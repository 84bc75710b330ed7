/** Reservations of callers that were told to return. */
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ReturnSchedule, type ReturnRequest } from '../return-schedule.ts'
import { SpreadReturns } from '../return-time.ts'

function request (changes: Partial<ReturnRequest> = {}): ReturnRequest {
  return { customer: 'ministry', fingerprint: 1, earliest: 200, latest: 2_000, customerInterval: 100, overallInterval: 0, ...changes }
}

function create () {
  const clock = FakeClock.create()
  return { clock, schedule: ReturnSchedule.create(clock) }
}

// Guards against callers that are refused at one moment, told the same time, and refused again.
test('each refused caller of a customer gets its own time, until it would be too late', () => {
  const { schedule } = create()
  const times = Array.from({ length: 20 }, () => schedule.reserve(request(), 0))
  assert.equal(times.slice(0, 3), [200, 300, 400])
  assert.equal(times.slice(-2), [2_000, undefined])
})

test('customers do not push back each other, unless all of them together have too many reservations', () => {
  const { schedule } = create()
  for (let count = 0; count < 5; count += 1) schedule.reserve(request(), 0)
  assert.is(schedule.reserve(request({ customer: 'bank' }), 0), 200)
  assert.is(schedule.reserve(request({ customer: 'shop', overallInterval: 100 }), 0), 700)
})

test('a reservation is used once, by the request that returns, when its time has come', () => {
  const { schedule } = create()
  schedule.reserve(request({ fingerprint: 7 }), 0)
  assert.not.ok(schedule.take('ministry', 7, 100), 'it comes back at once, not as told')
  assert.not.ok(schedule.take('ministry', 8, 210), 'another request of the customer')
  assert.not.ok(schedule.take('bank', 7, 210), 'another customer')
  assert.ok(schedule.take('ministry', 7, 210))
  assert.not.ok(schedule.take('ministry', 7, 211))
  assert.is(schedule.length, 0)
})

// Guards against room that is lost where a repetition does not look like the first request.
test('a reservation that its caller leaves unused serves another request of the customer', () => {
  const { schedule } = create()
  schedule.reserve(request({ fingerprint: 7 }), 0)
  assert.ok(schedule.take('ministry', 8, 360))
})

test('a reservation that nobody uses expires', () => {
  const { clock, schedule } = create()
  schedule.reserve(request(), 0)
  assert.is(schedule.due('ministry', 0, 100), 0)
  clock.advance(150)
  assert.is(schedule.due('ministry', 150, 100), 1)
  clock.advance(500)
  assert.equal([schedule.length, schedule.lengthOf('ministry'), schedule.due('ministry', 650, 100)], [0, 0, 0])
  assert.not.ok(schedule.take('ministry', 1, 650))
  assert.is(schedule.reserve(request({ earliest: 700 }), 650), 700, 'the customer starts again')
})

test('equal requests of one customer have a reservation each', () => {
  const { schedule } = create()
  schedule.reserve(request(), 0)
  schedule.reserve(request(), 0)
  assert.equal([schedule.take('ministry', 1, 200), schedule.take('ministry', 1, 200), schedule.take('ministry', 1, 300)], [true, false, true])
})

// Guards against callers without a reservation that return together.
test('times without a reservation are spread over what callers honour', () => {
  const spread = SpreadReturns.create()
  const times = Array.from({ length: 100 }, () => spread.any(6_000))
  for (let from = 200; from < 2_000; from += 180) {
    const count = times.filter((time) => time >= from && time < from + 180).length
    assert.ok(count >= 8 && count <= 12, `${count} from ${from} ms on`)
  }
})

test.run()

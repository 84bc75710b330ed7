/** Load: a customer begins to send several times its limit while the leader is lost, entries limit it by themselves, and a new leader follows. */
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CustomerRateLimiter } from '../customer-rate-limiter.ts'
import { LocalPlacer } from '../local-placer.ts'
import { UpstreamRegistry } from '../upstream-registry.ts'

const ENTRIES = 40
const WINDOW_MILLISECONDS = 5_000
const TERMS = { rate: 48, burst: 48 }
const OVERAGE = { windowMilliseconds: WINDOW_MILLISECONDS, share: 0.1, requests: 20 }
/** Before, the customer is below its limit. */
const USUAL_PER_SECOND = 30
const EXCESSIVE_PER_SECOND = 300
/** What the limit allows in a window, and what it may be exceeded by. */
const ALLOWED = (TERMS.rate * WINDOW_MILLISECONDS / 1_000 + TERMS.burst) * (1 + OVERAGE.share) + OVERAGE.requests

/** Largest number of admissions within a window. */
function mostInWindow (times: readonly number[]): number {
  return Math.max(...times.map((from) => times.filter((time) => time >= from && time < from + WINDOW_MILLISECONDS).length))
}

// Guards against a customer that gets its limit from the entries, and again from the next leader (QUOTA).
for (const aloneMilliseconds of [300, 1_000, 2_500]) {
  test(`a customer stays within its limit around a time of ${aloneMilliseconds} ms without a leader`, () => {
    const clock = FakeClock.create()
    const random = SeededRandom.create(aloneMilliseconds)
    const placers = Array.from({ length: ENTRIES }, (_, index) => {
      const registry = UpstreamRegistry.create(clock)
      return LocalPlacer.create({ clock, random, registry, entry: `entry-${index}`, zone: 'zone-a', windowMilliseconds: WINDOW_MILLISECONDS })
    })
    const admitted: number[] = []
    /** Requests arrive at random entries for some time; `tryAdmit` decides on each. */
    const arrive = (milliseconds: number, perSecond: number, tryAdmit: (placer: LocalPlacer) => boolean): void => {
      for (let elapsed = 0; elapsed < milliseconds; elapsed += 1_000 / perSecond) {
        clock.advance(1_000 / perSecond)
        const placer = placers[Math.floor(random.next() * ENTRIES)] as LocalPlacer
        if (tryAdmit(placer)) admitted.push(clock.monotonicMilliseconds())
      }
    }
    const byLeader = (rates: CustomerRateLimiter) => (placer: LocalPlacer): boolean => {
      const isAdmitted = rates.tryTake('ministry', clock.monotonicMilliseconds())
      if (isAdmitted) placer.countAdmission('ministry')
      return isAdmitted
    }
    const first = CustomerRateLimiter.createWithFullBursts()
    first.setLimits(() => TERMS)
    arrive(2 * WINDOW_MILLISECONDS, USUAL_PER_SECOND, byLeader(first))
    for (const placer of placers) placer.startStandalone(ENTRIES, () => TERMS)
    arrive(aloneMilliseconds, EXCESSIVE_PER_SECOND, (placer) => placer.admit('ministry'))
    const next = CustomerRateLimiter.createAfterPredecessor(OVERAGE)
    next.setLimits(() => TERMS)
    for (const placer of placers) {
      arrive(10, EXCESSIVE_PER_SECOND, byLeader(next))
      next.addReport(placer.report(ENTRIES))
    }
    arrive(2 * WINDOW_MILLISECONDS, EXCESSIVE_PER_SECOND, byLeader(next))
    const most = mostInWindow(admitted)
    assert.ok(most <= ALLOWED, `${most} requests in a window, ${ALLOWED} allowed`)
  })
}

test.run()

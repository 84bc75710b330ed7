/** Load patterns in which callers compete, with fair admission and without it on the same arrivals. Each runs with two seeds. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runLoad, total, type Flow, type FlowResult, type Load } from './load-driver.ts'

/** 120 slots serve 300 requests a second of 400 ms. */
const POOL = { upstreams: 20, slots: 6, milliseconds: 12_000 }
const SEEDS = [1, 2]
const BURST = { from: 3_000, until: 8_000 }

type Group = 'big' | 'urgent' | 'patient' | 'other'

/** A rate that is multiplied during the burst. */
function burst (rate: number, factor: number): (at: number) => number {
  return (at) => at >= BURST.from && at < BURST.until ? rate * factor : rate
}

function groupOf ({ customer, priority = 1 }: Flow): Group {
  if (customer === 'big') return 'big'
  if (priority === 1) return 'other'
  return priority === 0 ? 'urgent' : 'patient'
}

function customers (count: number, rate: (at: number) => number, more: Partial<Flow> = {}): Flow[] {
  return Array.from({ length: count }, (_, index) => ({ customer: `customer-${index}`, rate, ...more }))
}

/** Results by group, without fair admission and with it. */
function compare (load: Omit<Load, 'seed'>, seed: number): Record<'off' | 'on', Record<Group, FlowResult>> {
  const run = (isFair: boolean): Record<Group, FlowResult> => {
    const results = runLoad({ ...load, seed }, isFair)
    const of = (group: Group): FlowResult => total(results.filter((_, index) => groupOf(load.flows[index] as Flow) === group))
    return { big: of('big'), urgent: of('urgent'), patient: of('patient'), other: of('other') }
  }
  return { off: run(false), on: run(true) }
}

const inTime = (result: FlowResult): number => result.inTime / result.asked
const served = (result: FlowResult): number => result.served / result.asked

/** Most returns within 100 ms. */
function peakOf ({ returns }: FlowResult): number {
  const counts = new Map<number, number>()
  for (const at of returns) counts.set(Math.floor(at / 100), (counts.get(Math.floor(at / 100)) ?? 0) + 1)
  return Math.max(0, ...counts.values())
}

for (const seed of SEEDS) {
  test(`load pattern: one customer sends 6 times its usual requests (seed ${seed})`, () => {
    const flows = [...customers(11, () => 15), { customer: 'big', rate: burst(45, 6) }]
    const { off, on } = compare({ ...POOL, flows }, seed)
    assert.ok(inTime(off.other) < 0.97, `without the policy the others suffer: ${inTime(off.other)}`)
    assert.ok(inTime(on.other) > 0.99, `others in time: ${inTime(on.other)}`)
    assert.ok(served(on.big) > 0.8, `unused shares go to it: ${served(on.big)}`)
    assert.ok(on.big.refusedAgain <= 0.1 * on.big.returned + 2, `${on.big.refusedAgain} of ${on.big.returned} refused again`)
  })

  test(`load pattern: a burst of one route with 2.4 times its usual requests (seed ${seed})`, () => {
    const urgent = { priority: 0, target: 1_000, patience: 4_000 }
    const { off, on } = compare({ ...POOL, flows: [...customers(12, () => 10, urgent), ...customers(12, burst(10, 2.4), { priority: 2 })] }, seed)
    assert.ok(inTime(on.urgent) > inTime(off.urgent) - 0.01, 'the other route is not affected')
    assert.ok(served(on.patient) > served(off.patient) - 0.02, `${served(on.patient)} and ${served(off.patient)} served`)
    assert.ok(peakOf(on.patient) < peakOf(off.patient), `${peakOf(on.patient)} and ${peakOf(off.patient)} return within 100 ms`)
    assert.ok(on.patient.refusedAgain <= 0.1 * on.patient.returned + 2, `${on.patient.refusedAgain} of ${on.patient.returned} refused again`)
  })

  test(`load pattern: urgent requests alone exceed the pool (seed ${seed})`, () => {
    const flows = [...customers(12, () => 30, { priority: 0, target: 1_000, patience: 4_000 }), ...customers(12, () => 5, { priority: 2, patience: 8_000 })]
    const { off, on } = compare({ ...POOL, flows }, seed)
    assert.ok(served(on.urgent) > served(on.patient), 'the more urgent ones are not served less often')
    assert.ok(inTime(on.urgent) > inTime(off.urgent), `${inTime(on.urgent)} and ${inTime(off.urgent)} in time`)
  })

  test(`load pattern: the callers of one customer return at once (seed ${seed})`, () => {
    const flows = [...customers(11, () => 20), { customer: 'big', rate: burst(30, 10), returnsAfter: 0, patience: 2_500 }]
    const { off, on } = compare({ ...POOL, flows }, seed)
    assert.ok(inTime(off.other) < 0.95, `without the policy the others suffer: ${inTime(off.other)}`)
    assert.ok(inTime(on.other) > 0.99, `others in time: ${inTime(on.other)}`)
  })

  test(`load pattern: a customer sends twice its quota (seed ${seed})`, () => {
    const flows = [...customers(8, () => 15), { customer: 'big', rate: () => 60 }]
    const { off, on } = compare({ ...POOL, flows, quota: 30 }, seed)
    assert.ok(off.big.refusedAgain > 0.5 * off.big.returned, `without the policy, ${off.big.refusedAgain} of ${off.big.returned} are refused again`)
    assert.ok(on.big.returned > 20 && on.big.refusedAgain <= 0.1 * on.big.returned, `${on.big.refusedAgain} of ${on.big.returned} refused again`)
    assert.ok(peakOf(on.big) < peakOf(off.big), `${peakOf(on.big)} and ${peakOf(off.big)} return within 100 ms`)
    assert.is(on.other.refusals, 0)
    // The bound holds for all requests that were admitted, those after the load included.
    assert.ok(on.big.served <= 30 * (POOL.milliseconds + 10_000) / 1_000 + 30, `${on.big.served} served`)
  })

  // Guards against reservations that are of use only where a repetition looks like the request.
  test(`load pattern: a customer at twice its quota whose repetitions look different (seed ${seed})`, () => {
    const flows = [{ customer: 'big', rate: () => 60, changes: true }]
    const { off, on } = compare({ ...POOL, flows, quota: 30 }, seed)
    assert.ok(on.big.served >= off.big.served, `${on.big.served} and ${off.big.served} served`)
  })
}

test.run()

import { AttemptKind } from '@hickoryspoke/health/attempt-outcome'
import type { HealthFleet } from './health-fleet.ts'
import type { Fault, SimulatedAttempt, SimulatedUpstream } from './simulated-upstream.ts'

/** Expected reaction of the fleet to a fault. */
export const FaultClass = {
  /** The upstream is down or fails all requests: ejected within one second. */
  Dead: 'dead',
  /** The upstream is degraded: ejected within three seconds. */
  Gray: 'gray',
  /** The fault is visible from one zone only: that zone avoids the upstream and the fleet does not eject it. */
  OneZone: 'one_side',
  /** The upstream is not at fault: nothing is ejected. */
  Harmless: 'harmless'
} as const
export type FaultClass = typeof FaultClass[keyof typeof FaultClass]

/** A fault to inject into upstreams of a pool. */
export interface FaultCase {
  readonly name: string
  readonly faultClass: FaultClass
  readonly inject: (fleet: HealthFleet, faulty: readonly SimulatedUpstream[]) => void
  /** Number of upstreams that the fault makes faulty. */
  readonly faultyCount: number
}

const isWork = (attempt: SimulatedAttempt): boolean => attempt.sequence >= 0

const failsWork: Fault = (attempt) => isWork(attempt) ? { kind: AttemptKind.ServerError } : {}
const slowTenfold: Fault = () => ({ slowdown: 10 })
const someErrors: Fault = (attempt, _now, random) => isWork(attempt) && random.next() < 0.3 ? { kind: AttemptKind.ServerError } : {}
const halfAnswers: Fault = (attempt, _now, random) => isWork(attempt) && random.next() < 0.5 ? { kind: AttemptKind.Truncated } : {}
const neverAnswers: Fault = (attempt) => isWork(attempt) ? { slowdown: Infinity } : {}
const resets: Fault = (attempt) => isWork(attempt) ? { kind: AttemptKind.Reset, immediate: true } : {}
const refusesConnections: Fault = () => ({ kind: AttemptKind.ConnectFailed, immediate: true })
const unhealthyProbe: Fault = (attempt) => isWork(attempt) ? {} : { kind: AttemptKind.ServerError }

function partitionedFromZone (zone: string): Fault {
  return (attempt) => attempt.fromZone === zone ? { kind: AttemptKind.Timeout } : {}
}

function flapping (periodMilliseconds: number, start: number): Fault {
  return (attempt, now, random) => Math.floor((now - start) / periodMilliseconds) % 2 === 0 ? failsWork(attempt, now, random) : {}
}

function failIf (condition: (attempt: SimulatedAttempt) => boolean, kind: AttemptKind): Fault {
  return (attempt) => condition(attempt) ? { kind } : {}
}

function onFirst (fault: Fault): FaultCase['inject'] {
  return (_fleet, faulty) => { faulty[0]?.faults.push(fault) }
}

function onFirstTwo (first: Fault, second: Fault): FaultCase['inject'] {
  return (_fleet, faulty) => {
    faulty[0]?.faults.push(first)
    faulty[1]?.faults.push(second)
  }
}

function onAll (fault: Fault): FaultCase['inject'] {
  return (fleet) => { for (const upstream of fleet.upstreams.values()) upstream.faults.push(fault) }
}

function flappingCase (seconds: number): FaultCase {
  return {
    name: `flapping every ${seconds} s`,
    faultClass: FaultClass.Dead,
    faultyCount: 1,
    inject: (fleet, faulty) => { faulty[0]?.faults.push(flapping(seconds * 1_000, fleet.now())) }
  }
}

/** Every kind of fault on its own, and some of them in pairs. */
export const FAULT_CASES: readonly FaultCase[] = [
  { name: 'refuses connections', faultClass: FaultClass.Dead, faultyCount: 1, inject: onFirst(refusesConnections) },
  { name: 'answers health checks but fails work', faultClass: FaultClass.Dead, faultyCount: 1, inject: onFirst(failsWork) },
  { name: 'resets', faultClass: FaultClass.Dead, faultyCount: 1, inject: onFirst(resets) },
  { name: 'accepts and never answers', faultClass: FaultClass.Dead, faultyCount: 1, inject: onFirst(neverAnswers) },
  { name: '10 times slower', faultClass: FaultClass.Gray, faultyCount: 1, inject: onFirst(slowTenfold) },
  { name: '30 % errors', faultClass: FaultClass.Gray, faultyCount: 1, inject: onFirst(someErrors) },
  { name: 'truncated responses', faultClass: FaultClass.Gray, faultyCount: 1, inject: onFirst(halfAnswers) },
  flappingCase(1),
  flappingCase(5),
  flappingCase(30),
  { name: 'one-way partition seen from one zone', faultClass: FaultClass.OneZone, faultyCount: 1, inject: onFirst(partitionedFromZone('zone-a')) },
  { name: 'health endpoint says sick, work is fine', faultClass: FaultClass.Harmless, faultyCount: 1, inject: onFirst(unhealthyProbe) },
  { name: 'whole pool 10 times slower', faultClass: FaultClass.Harmless, faultyCount: 0, inject: onAll(slowTenfold) },
  {
    name: "one customer's requests fail everywhere",
    faultClass: FaultClass.Harmless,
    faultyCount: 0,
    inject: onAll(failIf((attempt) => attempt.customer === 'customer-2', AttemptKind.ServerError))
  },
  {
    name: "one route's requests fail everywhere",
    faultClass: FaultClass.Harmless,
    faultyCount: 0,
    inject: onAll(failIf((attempt) => attempt.route === '/write', AttemptKind.ServerError))
  },
  {
    name: "one customer's requests are reset by every upstream",
    faultClass: FaultClass.Harmless,
    faultyCount: 0,
    inject: onAll(failIf((attempt) => attempt.customer === 'customer-5', AttemptKind.Reset))
  },
  { name: 'pair: slower on one, 30 % errors on another', faultClass: FaultClass.Gray, faultyCount: 2, inject: onFirstTwo(slowTenfold, someErrors) },
  { name: 'pair: never answers on one, resets on another', faultClass: FaultClass.Dead, faultyCount: 2, inject: onFirstTwo(neverAnswers, resets) },
  {
    name: 'pair: fails work while one customer fails everywhere',
    faultClass: FaultClass.Dead,
    faultyCount: 1,
    inject: (fleet, faulty) => {
      onAll(failIf((attempt) => attempt.customer === 'customer-2', AttemptKind.ServerError))(fleet, faulty)
      onFirst(failsWork)(fleet, faulty)
    }
  },
  {
    name: 'pair: fails work while the whole pool is 10 times slower',
    faultClass: FaultClass.Gray,
    faultyCount: 1,
    inject: (fleet, faulty) => {
      onAll(slowTenfold)(fleet, faulty)
      onFirst(failsWork)(fleet, faulty)
    }
  }
]

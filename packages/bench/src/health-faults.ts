import { AttemptKind } from '@hickoryspoke/health/attempt-outcome'
import type { HealthFleet } from './health-fleet.ts'
import type { Fault, SimulatedAttempt, SimulatedUpstream } from './simulated-upstream.ts'

/** What the fleet should make of a fault. */
export const FaultClass = {
  /** Dead or failing all work: noticed within a second. */
  Dead: 'dead',
  /** Noticed within three seconds. */
  Gray: 'gray',
  /** Seen from one zone only: that zone steers away and nobody ejects. */
  OneSide: 'one_side',
  /** Not the upstream's fault: nobody is ejected. */
  Harmless: 'harmless'
} as const
export type FaultClass = typeof FaultClass[keyof typeof FaultClass]

/** A fault to bring about on victims of a pool. */
export interface FaultRow {
  readonly name: string
  readonly faultClass: FaultClass
  readonly strike: (fleet: HealthFleet, victims: readonly SimulatedUpstream[]) => void
  /** Number of upstreams that are at fault. */
  readonly victims: number
}

const isWork = (attempt: SimulatedAttempt): boolean => attempt.sequence >= 0

const failsWork: Fault = (attempt) => isWork(attempt) ? { kind: AttemptKind.ServerError } : {}
const slowTenfold: Fault = () => ({ slowdown: 10 })
const someErrors: Fault = (attempt, _now, random) => isWork(attempt) && random.next() < 0.3 ? { kind: AttemptKind.ServerError } : {}
const halfAnswers: Fault = (attempt, _now, random) => isWork(attempt) && random.next() < 0.5 ? { kind: AttemptKind.Truncated } : {}
const neverAnswers: Fault = (attempt) => isWork(attempt) ? { slowdown: Infinity } : {}
const resets: Fault = (attempt) => isWork(attempt) ? { kind: AttemptKind.Reset, atOnce: true } : {}
const refusesConnections: Fault = () => ({ kind: AttemptKind.ConnectFailed, atOnce: true })
const unhealthyProbe: Fault = (attempt) => isWork(attempt) ? {} : { kind: AttemptKind.ServerError }

function cutFromZone (zone: string): Fault {
  return (attempt) => attempt.fromZone === zone ? { kind: AttemptKind.Timeout } : {}
}

function flapping (periodMilliseconds: number, start: number): Fault {
  return (attempt, now, random) => Math.floor((now - start) / periodMilliseconds) % 2 === 0 ? failsWork(attempt, now, random) : {}
}

function only (condition: (attempt: SimulatedAttempt) => boolean, kind: AttemptKind): Fault {
  return (attempt) => condition(attempt) ? { kind } : {}
}

function onFirst (fault: Fault): FaultRow['strike'] {
  return (_fleet, victims) => { victims[0]?.faults.push(fault) }
}

function onFirstTwo (first: Fault, second: Fault): FaultRow['strike'] {
  return (_fleet, victims) => {
    victims[0]?.faults.push(first)
    victims[1]?.faults.push(second)
  }
}

function onAll (fault: Fault): FaultRow['strike'] {
  return (fleet) => { for (const upstream of fleet.upstreams.values()) upstream.faults.push(fault) }
}

function flappingRow (seconds: number): FaultRow {
  return {
    name: `flapping every ${seconds} s`,
    faultClass: FaultClass.Dead,
    victims: 1,
    strike: (fleet, victims) => { victims[0]?.faults.push(flapping(seconds * 1_000, fleet.now())) }
  }
}

/** Each kind of fault alone, and some in pairs. */
export const FAULT_ROWS: readonly FaultRow[] = [
  { name: 'refuses connections', faultClass: FaultClass.Dead, victims: 1, strike: onFirst(refusesConnections) },
  { name: 'answers health checks but fails work', faultClass: FaultClass.Dead, victims: 1, strike: onFirst(failsWork) },
  { name: 'resets', faultClass: FaultClass.Dead, victims: 1, strike: onFirst(resets) },
  { name: 'accepts and never answers', faultClass: FaultClass.Dead, victims: 1, strike: onFirst(neverAnswers) },
  { name: '10 times slower', faultClass: FaultClass.Gray, victims: 1, strike: onFirst(slowTenfold) },
  { name: '30 % errors', faultClass: FaultClass.Gray, victims: 1, strike: onFirst(someErrors) },
  { name: 'half-answers', faultClass: FaultClass.Gray, victims: 1, strike: onFirst(halfAnswers) },
  flappingRow(1),
  flappingRow(5),
  flappingRow(30),
  { name: 'one-way partition seen from one zone', faultClass: FaultClass.OneSide, victims: 1, strike: onFirst(cutFromZone('zone-a')) },
  { name: 'health endpoint says sick, work is fine', faultClass: FaultClass.Harmless, victims: 1, strike: onFirst(unhealthyProbe) },
  { name: 'whole pool 10 times slower', faultClass: FaultClass.Harmless, victims: 0, strike: onAll(slowTenfold) },
  {
    name: "one customer's requests fail everywhere",
    faultClass: FaultClass.Harmless,
    victims: 0,
    strike: onAll(only((attempt) => attempt.customer === 'customer-2', AttemptKind.ServerError))
  },
  {
    name: "one route's requests fail everywhere",
    faultClass: FaultClass.Harmless,
    victims: 0,
    strike: onAll(only((attempt) => attempt.route === '/write', AttemptKind.ServerError))
  },
  {
    name: "one customer's requests break off every upstream",
    faultClass: FaultClass.Harmless,
    victims: 0,
    strike: onAll(only((attempt) => attempt.customer === 'customer-5', AttemptKind.Reset))
  },
  { name: 'pair: slower on one, 30 % errors on another', faultClass: FaultClass.Gray, victims: 2, strike: onFirstTwo(slowTenfold, someErrors) },
  { name: 'pair: never answers on one, resets on another', faultClass: FaultClass.Dead, victims: 2, strike: onFirstTwo(neverAnswers, resets) },
  {
    name: 'pair: fails work while one customer fails everywhere',
    faultClass: FaultClass.Dead,
    victims: 1,
    strike: (fleet, victims) => {
      onAll(only((attempt) => attempt.customer === 'customer-2', AttemptKind.ServerError))(fleet, victims)
      onFirst(failsWork)(fleet, victims)
    }
  },
  {
    name: 'pair: fails work while the whole pool is 10 times slower',
    faultClass: FaultClass.Gray,
    victims: 1,
    strike: (fleet, victims) => {
      onAll(slowTenfold)(fleet, victims)
      onFirst(failsWork)(fleet, victims)
    }
  }
]

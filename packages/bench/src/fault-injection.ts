import { HealthEventKind } from '@hickoryspoke/health/health-event'
import type { FaultClass, FaultCase } from './health-faults.ts'
import { HealthFleet, type SimulationConfig, type TimedEvent } from './health-fleet.ts'
import type { SimulatedUpstream } from './simulated-upstream.ts'

const WARM_UP_MILLISECONDS = 11_000
const SAMPLE_MILLISECONDS = 250

/** What one fault led to. */
export interface FaultInjectionResult {
  readonly name: string
  readonly faultClass: FaultClass
  /** Milliseconds from the fault until it was acted upon for each victim; Infinity when it never was. */
  readonly detectionMilliseconds: readonly number[]
  /** Victims that were ejected for the whole fleet. */
  readonly ejectedFaultyCount: number
  /** Ejections of upstreams without a fault. */
  readonly falseEjections: number
  readonly failedRequests: number
  readonly requests: number
  /** Lowest share of the announced slots in service over all entries together. */
  readonly lowestHealthyShare: number
  readonly events: readonly TimedEvent[]
}

const REACTION_KINDS: ReadonlySet<string> = new Set([HealthEventKind.Ejected, HealthEventKind.Avoided])

/** Brings a fault about on upstreams of a pool and watches for a time. */
export async function injectFault (config: SimulationConfig, faultCase: FaultCase, pool: string, milliseconds: number): Promise<FaultInjectionResult> {
  const fleet = await HealthFleet.create(config)
  await fleet.run(WARM_UP_MILLISECONDS)
  const faulty = pickFaultyUpstreams(fleet, pool, faultCase.faultyCount)
  const before = { requests: fleet.requests, failed: fleet.failedRequests, events: fleet.events.length, now: fleet.now() }
  faultCase.inject(fleet, faulty)
  const lowestHealthyShare = await runForLowestHealthyShare(fleet, config, milliseconds)
  fleet.close()
  const events = fleet.events.slice(before.events)
  const ejected = events.filter((event) => event.kind === HealthEventKind.Ejected)
  const isFaulty = (address: string): boolean => faulty.some((victim) => victim.address === address)
  return {
    name: faultCase.name,
    faultClass: faultCase.faultClass,
    detectionMilliseconds: faulty.map((victim) => firstReactionAt(events, victim.address) - before.now),
    ejectedFaultyCount: faulty.filter((victim) => ejected.some((event) => event.address === victim.address)).length,
    falseEjections: ejected.filter((event) => !isFaulty(event.address)).length,
    failedRequests: fleet.failedRequests - before.failed,
    requests: fleet.requests - before.requests,
    lowestHealthyShare,
    events
  }
}

/** Lets a fleet run and gives the lowest share of slots in service over all pools. */
export async function runForLowestHealthyShare (fleet: HealthFleet, config: SimulationConfig, milliseconds: number): Promise<number> {
  let lowest = 1
  for (let passed = 0; passed < milliseconds; passed += SAMPLE_MILLISECONDS) {
    await fleet.run(SAMPLE_MILLISECONDS)
    for (const pool of config.pools) {
      const { ejected, announced } = fleet.capacity(pool.name)
      lowest = Math.min(lowest, 1 - ejected / announced)
    }
  }
  return lowest
}

function pickFaultyUpstreams (fleet: HealthFleet, pool: string, count: number): SimulatedUpstream[] {
  return [...fleet.upstreams.values()].filter((upstream) => fleet.poolByAddress.get(upstream.address) === pool).slice(0, count)
}

function firstReactionAt (events: readonly TimedEvent[], address: string): number {
  return events.find((event) => event.address === address && REACTION_KINDS.has(event.kind))?.atMilliseconds ?? Infinity
}

import { HealthEventKind } from '@hickoryspoke/health/health-event'
import type { FaultClass, FaultCase } from './health-faults.ts'
import { HealthFleet, type SimulationConfig, type TimedEvent } from './health-fleet.ts'
import type { SimulatedUpstream } from './simulated-upstream.ts'

const WARM_UP_MILLISECONDS = 11_000
const SAMPLE_MILLISECONDS = 250

/** Reaction of the fleet to one injected fault. */
export interface FaultInjectionResult {
  readonly name: string
  readonly faultClass: FaultClass
  /** For each faulty upstream, the time until it was first ejected or avoided; Infinity if it never was. */
  readonly detectionMilliseconds: readonly number[]
  /** Number of faulty upstreams that the whole fleet ejected. */
  readonly ejectedFaultyCount: number
  /** Ejections of upstreams that had no fault. */
  readonly falseEjections: number
  readonly failedRequests: number
  readonly requests: number
  /** Lowest share of the announced slots that no entry held out of service. */
  readonly lowestHealthyShare: number
  readonly events: readonly TimedEvent[]
}

const REACTION_KINDS: ReadonlySet<string> = new Set([HealthEventKind.Ejected, HealthEventKind.Avoided])

/** Injects a fault into upstreams of a pool after a warm-up and records the reaction for the given time. */
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
  const isFaulty = (address: string): boolean => faulty.some((upstream) => upstream.address === address)
  return {
    name: faultCase.name,
    faultClass: faultCase.faultClass,
    detectionMilliseconds: faulty.map((upstream) => firstReactionAt(events, upstream.address) - before.now),
    ejectedFaultyCount: faulty.filter((upstream) => ejected.some((event) => event.address === upstream.address)).length,
    falseEjections: ejected.filter((event) => !isFaulty(event.address)).length,
    failedRequests: fleet.failedRequests - before.failed,
    requests: fleet.requests - before.requests,
    lowestHealthyShare,
    events
  }
}

/** Runs the fleet for the given time and returns the lowest share of slots in service in any pool. */
export async function runForLowestHealthyShare (fleet: HealthFleet, config: SimulationConfig, milliseconds: number): Promise<number> {
  let lowest = 1
  for (let elapsed = 0; elapsed < milliseconds; elapsed += SAMPLE_MILLISECONDS) {
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

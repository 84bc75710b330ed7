import { AttemptKind } from '@hickoryspoke/health/attempt-outcome'
import type { FaultCase } from './health-faults.ts'
import { HealthFleet, type FleetAttempt, type SimulationConfig } from './health-fleet.ts'

const WARM_UP_MILLISECONDS = 4_000
const CONSECUTIVE_ERRORS = 5
const CONSECUTIVE_PROBES = 3
const PROBE_INTERVAL_MILLISECONDS = 1_000

/** Detection of a fault by two simple methods, for comparison. */
export interface BaselineResult {
  /** Milliseconds until half of the entries saw five consecutive errors; Infinity if they never did. */
  readonly consecutiveErrorsMilliseconds: number
  /** Milliseconds until three consecutive probes failed, at one probe per second. */
  readonly probesMilliseconds: number
  /** Number of upstreams without a fault on which some entry saw five consecutive errors. */
  readonly falseEjectionsByErrors: number
  readonly failedRequests: number
  readonly requests: number
}

/** Injects a fault into a fleet without health checks and evaluates when each simple method would have detected it. */
export async function runBaselines (config: SimulationConfig, faultCase: FaultCase, pool: string, milliseconds: number): Promise<BaselineResult> {
  const fleet = await HealthFleet.create({ ...config, withoutHealth: true })
  await fleet.run(WARM_UP_MILLISECONDS)
  const all = [...fleet.upstreams.values()].filter((upstream) => fleet.poolByAddress.get(upstream.address) === pool)
  const faulty = all.slice(0, faultCase.faultyCount)
  const before = { now: fleet.now(), failed: fleet.failedRequests, requests: fleet.requests }
  fleet.recordAttempts = true
  faultCase.inject(fleet, faulty)
  const firstFaulty = faulty[0]?.address
  const probes = firstFaulty === undefined ? Infinity : await runWithProbes(fleet, firstFaulty, milliseconds)
  if (firstFaulty === undefined) await fleet.run(milliseconds)
  fleet.close()
  const ejectionTimes = ejectionTimesByErrors(fleet.attempts)
  const isFaulty = (address: string): boolean => faulty.some((candidate) => candidate.address === address)
  return {
    consecutiveErrorsMilliseconds: timeHalfDetected(ejectionTimes.get(firstFaulty ?? '') ?? [], config.entries) - before.now,
    probesMilliseconds: probes - before.now,
    falseEjectionsByErrors: [...ejectionTimes.keys()].filter((address) => !isFaulty(address)).length,
    failedRequests: fleet.failedRequests - before.failed,
    requests: fleet.requests - before.requests
  }
}

async function runWithProbes (fleet: HealthFleet, address: string, milliseconds: number): Promise<number> {
  let failures = 0
  let detectedAt = Infinity
  for (let elapsed = 0; elapsed < milliseconds; elapsed += PROBE_INTERVAL_MILLISECONDS) {
    const zone = fleet.entries[Math.floor(elapsed / PROBE_INTERVAL_MILLISECONDS) % fleet.entries.length]?.zone ?? ''
    const probe = fleet.probe(zone, address)
    await fleet.run(PROBE_INTERVAL_MILLISECONDS)
    failures = (await probe).reachable ? 0 : failures + 1
    if (failures === CONSECUTIVE_PROBES) detectedAt = Math.min(detectedAt, fleet.now())
  }
  return detectedAt
}

/** For each upstream, the times at which an entry reached the limit of consecutive errors. */
function ejectionTimesByErrors (attempts: readonly FleetAttempt[]): Map<string, number[]> {
  const streaks = new Map<string, number>()
  const times = new Map<string, number[]>()
  for (const { entry, address, outcome, atMilliseconds } of attempts) {
    const identity = `${entry} ${address}`
    const streak = outcome.kind === AttemptKind.Answered ? 0 : (streaks.get(identity) ?? 0) + 1
    streaks.set(identity, streak)
    if (streak === CONSECUTIVE_ERRORS) times.set(address, [...times.get(address) ?? [], atMilliseconds])
  }
  return times
}

function timeHalfDetected (times: readonly number[], entries: number): number {
  return times[Math.ceil(entries / 2) - 1] ?? Infinity
}

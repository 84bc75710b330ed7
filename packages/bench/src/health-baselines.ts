import { AttemptKind } from '@hickoryspoke/health/attempt-outcome'
import type { FaultCase } from './health-faults.ts'
import { HealthFleet, type FleetAttempt, type SimulationConfig } from './health-fleet.ts'

const WARM_UP_MILLISECONDS = 4_000
const CONSECUTIVE_ERRORS = 5
const CONSECUTIVE_PROBES = 3
const PROBE_INTERVAL_MILLISECONDS = 1_000

/** What two plain ways make of a fault. */
export interface BaselineResult {
  /** Milliseconds until half of the entries counted five errors in a row; Infinity for never. */
  readonly consecutiveErrorsMilliseconds: number
  /** Milliseconds until three probes in a row failed, at one a second. */
  readonly probesMilliseconds: number
  /** Upstreams without a fault that some entry would have ejected after five errors in a row. */
  readonly falseEjectionsByErrors: number
  readonly failedRequests: number
  readonly requests: number
}

/** Brings a fault about without any health of upstreams and sees what plain ways would have noticed. */
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
    consecutiveErrorsMilliseconds: timeOfHalf(ejectionTimes.get(firstFaulty ?? '') ?? [], config.entries) - before.now,
    probesMilliseconds: probes - before.now,
    falseEjectionsByErrors: [...ejectionTimes.keys()].filter((address) => !isFaulty(address)).length,
    failedRequests: fleet.failedRequests - before.failed,
    requests: fleet.requests - before.requests
  }
}

async function runWithProbes (fleet: HealthFleet, address: string, milliseconds: number): Promise<number> {
  let failures = 0
  let detectedAt = Infinity
  for (let passed = 0; passed < milliseconds; passed += PROBE_INTERVAL_MILLISECONDS) {
    const zone = fleet.entries[Math.floor(passed / PROBE_INTERVAL_MILLISECONDS) % fleet.entries.length]?.zone ?? ''
    const probe = fleet.probe(zone, address)
    await fleet.run(PROBE_INTERVAL_MILLISECONDS)
    failures = (await probe).reachable ? 0 : failures + 1
    if (failures === CONSECUTIVE_PROBES) detectedAt = Math.min(detectedAt, fleet.now())
  }
  return detectedAt
}

/** For each upstream the moments at which entries had counted enough errors in a row. */
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

function timeOfHalf (times: readonly number[], entries: number): number {
  return times[Math.ceil(entries / 2) - 1] ?? Infinity
}

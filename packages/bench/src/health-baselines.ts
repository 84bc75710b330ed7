import { AttemptKind } from '@hickoryspoke/health/attempt-outcome'
import type { FaultRow } from './health-faults.ts'
import { HealthFleet, type FleetAttempt, type FleetPlan } from './health-fleet.ts'

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
  readonly falseByErrors: number
  readonly failedRequests: number
  readonly requests: number
}

/** Brings a fault about without any health of upstreams and sees what plain ways would have noticed. */
export async function runBaselines (plan: FleetPlan, row: FaultRow, pool: string, milliseconds: number): Promise<BaselineResult> {
  const fleet = await HealthFleet.create({ ...plan, withoutHealth: true })
  await fleet.run(WARM_UP_MILLISECONDS)
  const all = [...fleet.upstreams.values()].filter((upstream) => fleet.poolOf.get(upstream.address) === pool)
  const victims = all.slice(0, row.victims)
  const before = { now: fleet.now(), failed: fleet.failedRequests, requests: fleet.requests }
  fleet.recordAttempts = true
  row.strike(fleet, victims)
  const victim = victims[0]?.address
  const probes = victim === undefined ? Infinity : await probeAlong(fleet, victim, milliseconds)
  if (victim === undefined) await fleet.run(milliseconds)
  fleet.close()
  const ejectors = ejectorsByErrors(fleet.attempts)
  const isVictim = (address: string): boolean => victims.some((candidate) => candidate.address === address)
  return {
    consecutiveErrorsMilliseconds: halfOf(ejectors.get(victim ?? '') ?? [], plan.entries) - before.now,
    probesMilliseconds: probes - before.now,
    falseByErrors: [...ejectors.keys()].filter((address) => !isVictim(address)).length,
    failedRequests: fleet.failedRequests - before.failed,
    requests: fleet.requests - before.requests
  }
}

async function probeAlong (fleet: HealthFleet, address: string, milliseconds: number): Promise<number> {
  let failures = 0
  let noticed = Infinity
  for (let passed = 0; passed < milliseconds; passed += PROBE_INTERVAL_MILLISECONDS) {
    const zone = fleet.entries[Math.floor(passed / PROBE_INTERVAL_MILLISECONDS) % fleet.entries.length]?.zone ?? ''
    const probe = fleet.probe(zone, address)
    await fleet.run(PROBE_INTERVAL_MILLISECONDS)
    failures = (await probe).reachable ? 0 : failures + 1
    if (failures === CONSECUTIVE_PROBES) noticed = Math.min(noticed, fleet.now())
  }
  return noticed
}

/** For each upstream the moments at which entries had counted enough errors in a row. */
function ejectorsByErrors (attempts: readonly FleetAttempt[]): Map<string, number[]> {
  const streaks = new Map<string, number>()
  const moments = new Map<string, number[]>()
  for (const { entry, address, outcome, atMilliseconds } of attempts) {
    const identity = `${entry} ${address}`
    const streak = outcome.kind === AttemptKind.Answered ? 0 : (streaks.get(identity) ?? 0) + 1
    streaks.set(identity, streak)
    if (streak === CONSECUTIVE_ERRORS) moments.set(address, [...moments.get(address) ?? [], atMilliseconds])
  }
  return moments
}

function halfOf (moments: readonly number[], entries: number): number {
  return moments[Math.ceil(entries / 2) - 1] ?? Infinity
}

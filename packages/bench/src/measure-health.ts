import { HealthEventKind } from '@hickoryspoke/health/health-event'
import { runBaselines, type BaselineResult } from './health-baselines.ts'
import { FAULT_CASES, FaultClass, type FaultCase } from './health-faults.ts'
import { HealthFleet, type SimulationConfig } from './health-fleet.ts'
import { onlyPool, quitumbeConfig, yushanConfig } from './health-configs.ts'
import { injectFault, runForLowestHealthyShare, type FaultInjectionResult } from './fault-injection.ts'
import { atLeast, atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'
import { TRAFFIC_CASES, type TrafficCase } from './health-traffic.ts'

const SEEDS = [1, 2]
const RUN_MILLISECONDS = 6_000
const BASELINE_MILLISECONDS = 8_000
const TRAFFIC_MINUTES = 1
const MINUTES_PER_HOUR = 60
const WARM_UP_MILLISECONDS = 11_000
const TARGET_MILLISECONDS: Partial<Record<FaultClass, number>> = { dead: 1_000, gray: 3_000 }

interface Deployment {
  readonly name: string
  readonly configFor: (seed: number) => SimulationConfig
  readonly pool: string
}

const DEPLOYMENTS: readonly Deployment[] = [
  { name: 'quitumbe', configFor: quitumbeConfig, pool: 'withdrawal-ledger' },
  { name: 'yushan', configFor: yushanConfig, pool: 'mule-bookings' }
]

/** Measures time to detect, false ejections, failed requests and lowest capacity in simulated time with 44 entries. */
export async function measureHealth (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  for (const deployment of DEPLOYMENTS) {
    for (const row of FAULT_CASES) rows.push(...await measureFault(deployment, row))
    for (const traffic of TRAFFIC_CASES) rows.push(...await measureTraffic(deployment, traffic))
  }
  const notes = [
    `Simulated time, 44 entries, one pool of 20 upstreams at 10 requests per second each; ${SEEDS.length} seeds per fault, ${TRAFFIC_MINUTES} minutes per traffic pattern.`,
    'Baselines: five consecutive errors at half of the entries, and three consecutive failed probes at one per second; upstreams are picked at random.'
  ]
  return { name: 'health', rows, notes }
}

async function measureFault (deployment: Deployment, faultCase: FaultCase): Promise<MeasureRow[]> {
  const results: FaultInjectionResult[] = []
  for (const seed of SEEDS) results.push(await injectFault(onlyPool(deployment.configFor(seed), deployment.pool), faultCase, deployment.pool, RUN_MILLISECONDS))
  const baseline = await runBaselines(
    onlyPool(deployment.configFor(SEEDS[0] as number), deployment.pool), faultCase, deployment.pool, BASELINE_MILLISECONDS
  )
  const label = `${deployment.name}, ${faultCase.name}`
  const detections = results.flatMap((result) => result.detectionMilliseconds).sort((left, right) => left - right)
  const failed = results.reduce((sum, result) => sum + result.failedRequests, 0) / results.length
  const baselineFailed = baseline.failedRequests * RUN_MILLISECONDS / BASELINE_MILLISECONDS
  const floor = deployment.configFor(0).healthyFloor
  return [
    ...(faultCase.faultyCount > 0 && faultCase.faultClass !== FaultClass.Harmless ? describeDetection(label, faultCase, detections, baseline) : []),
    atMost(`${label}: false ejections`, results.reduce((sum, result) => sum + result.falseEjections, 0), 'in all runs', 0, `${baseline.falseEjectionsByErrors} by consecutive errors`),
    withoutTarget(`${label}: failed requests seen by callers`, failed, `in ${RUN_MILLISECONDS / 1_000} s`, `${baselineFailed.toFixed(1)} without health`),
    atLeast(`${label}: lowest healthy capacity`, Math.min(...results.map((result) => result.lowestHealthyShare)), 'of slots', floor)
  ]
}

function describeDetection (label: string, faultCase: FaultCase, detections: readonly number[], baseline: BaselineResult): MeasureRow[] {
  const median = detections[detections.length >> 1] ?? Infinity
  const worst = detections.at(-1) ?? Infinity
  const baselineText = `consecutive errors ${formatSeconds(baseline.consecutiveErrorsMilliseconds)}, probes ${formatSeconds(baseline.probesMilliseconds)}`
  const target = TARGET_MILLISECONDS[faultCase.faultClass]
  const medianLabel = `${label}: time to detect, median`
  const worstLabel = `${label}: time to detect, latest of ${detections.length}`
  return [
    target === undefined ? withoutTarget(medianLabel, median, 'ms', baselineText) : atMost(medianLabel, median, 'ms', target, baselineText),
    target === undefined ? withoutTarget(worstLabel, worst, 'ms') : atMost(worstLabel, worst, 'ms', target)
  ]
}

async function measureTraffic (deployment: Deployment, trafficCase: TrafficCase): Promise<MeasureRow[]> {
  const config = trafficCase.adjustConfig(onlyPool(deployment.configFor(SEEDS[0] as number), deployment.pool))
  const fleet = await HealthFleet.create(config)
  await fleet.run(WARM_UP_MILLISECONDS)
  trafficCase.inject(fleet)
  const before = { events: fleet.events.length, failed: fleet.failedRequests, requests: fleet.requests }
  const lowest = await runForLowestHealthyShare(fleet, config, TRAFFIC_MINUTES * 60_000)
  fleet.close()
  const ejections = fleet.events.slice(before.events).filter((event) => event.kind === HealthEventKind.Ejected).length
  const avoided = fleet.events.slice(before.events).filter((event) => event.kind === HealthEventKind.Avoided).length
  const perHour = MINUTES_PER_HOUR / TRAFFIC_MINUTES
  const label = `${deployment.name}, ${trafficCase.name} traffic`
  const share = (fleet.failedRequests - before.failed) / (fleet.requests - before.requests)
  return [
    trafficCase.hasTarget ? atMost(`${label}: false ejections`, ejections * perHour, 'per hour', 0) : withoutTarget(`${label}: false ejections`, ejections * perHour, 'per hour'),
    withoutTarget(`${label}: upstreams wrongly avoided`, avoided * perHour, 'per hour'),
    withoutTarget(`${label}: failed requests seen by callers`, share * 100, '%'),
    atLeast(`${label}: lowest healthy capacity`, lowest, 'of slots', config.healthyFloor)
  ]
}

function formatSeconds (milliseconds: number): string {
  return Number.isFinite(milliseconds) ? `${(milliseconds / 1_000).toFixed(1)} s` : 'never'
}

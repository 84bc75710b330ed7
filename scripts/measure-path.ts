/** Measures the latency that the whole request path adds to a direct call, with real processes on loopback and open-loop load. */
import type { CustomerResult } from '../packages/bench/src/load-report.ts'
import { type MeasureReport, type MeasureRow, atMost, withoutTarget } from '../packages/bench/src/measure-report.ts'
import { type CustomerLoad, runOpenLoopLoad } from '../packages/bench/src/open-loop-load.ts'
import { SystemClock } from '../packages/runtime/src/clock.ts'
import { SeededRandom } from '../packages/runtime/src/random.ts'
import { exampleState, customerKey } from './example-state.ts'
import { type FleetEntry, ProcessFleet } from './process-fleet.ts'

const MAX_ADDED_MILLISECONDS = 7.7
const WARM_UP_SECONDS = 3
const RUN_SECONDS = 8
const RATES_PER_SECOND = [100, 300, 600, 1_000, 1_500] as const
const SEED = 11

/** Request rate per entry at the design size, per second. */
const DESIGN_RATE_PER_SECOND = 100

export async function measurePath (): Promise<MeasureReport> {
  const fleet = await ProcessFleet.start({
    control: 1, entries: 2, upstreams: 6, zones: 2, slots: 64, workMilliseconds: 0, pool: 'ledger', desiredState: exampleState({ rate: 100_000, burst: 100_000 })
  })
  try {
    const rows: MeasureRow[] = []
    await run([firstEntry(fleet).publicUrl], DESIGN_RATE_PER_SECOND, WARM_UP_SECONDS)
    for (const rate of RATES_PER_SECOND) rows.push(...await measureRate(fleet, rate))
    rows.push(withoutTarget('resident memory of the entry after the run', await residentMegabytes(firstEntry(fleet)), 'MB'))
    return { name: 'path', rows, notes: ['One entry, fake upstreams without work, GET, persistent connections, latency from the scheduled start.'] }
  } finally {
    await fleet.stop()
  }
}

async function measureRate (fleet: ProcessFleet, rate: number): Promise<MeasureRow[]> {
  const direct = await run(fleet.upstreams.map((upstream) => `http://${upstream.address}`), rate, RUN_SECONDS)
  const through = await run([firstEntry(fleet).publicUrl], rate, RUN_SECONDS)
  const added = (quantile: string): number => (through.milliseconds[quantile] ?? NaN) - (direct.milliseconds[quantile] ?? NaN)
  const refused = through.requests - (through.statuses['200'] ?? 0)
  const baseline = (quantile: string): string => `direct ${direct.milliseconds[quantile]} ms`
  const label = `added at ${rate}/s`
  const addedP99 = added('99')
  return [
    withoutTarget(`${label}, median`, added('50'), 'ms', baseline('50')),
    rate === DESIGN_RATE_PER_SECOND
      ? atMost(`${label}, 99th percentile`, addedP99, 'ms', MAX_ADDED_MILLISECONDS, baseline('99'))
      : withoutTarget(`${label}, 99th percentile`, addedP99, 'ms', baseline('99')),
    withoutTarget(`answers other than 200 at ${rate}/s`, refused, `of ${through.requests}`)
  ]
}

async function run (targets: readonly string[], ratePerSecond: number, seconds: number): Promise<CustomerResult> {
  const customer: CustomerLoad = { name: 'curators', key: customerKey('curators'), ratePerSecond, method: 'GET', path: '/ledger/1' }
  const recorder = await runOpenLoopLoad({
    targets, customers: [customer], durationMilliseconds: seconds * 1000, clock: SystemClock.create(), random: SeededRandom.create(SEED)
  })
  return recorder.results()[0] as CustomerResult
}

function firstEntry (fleet: ProcessFleet): FleetEntry {
  return fleet.entries[0] as FleetEntry
}

async function residentMegabytes (entry: FleetEntry): Promise<number> {
  const { readFile } = await import('node:fs/promises')
  const status = await readFile(`/proc/${entry.child.pid}/status`, 'utf8')
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / 1024
}

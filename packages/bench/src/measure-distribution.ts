import { desiredStateSchema, type DesiredState } from '@hickoryspoke/configuration/desired-state'
import { differenceBetween } from '@hickoryspoke/configuration/difference'
import { IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import { applyDifference, decodeDifference, encodeDifference, encodeState } from '@hickoryspoke/configuration/state-codec'
import { DistributionLoopback } from './distribution-loopback.ts'
import { atMost, figure, type MeasureReport, type MeasureRow } from './measure-report.ts'

const ENTRIES = 44
const CHANGES = 20
const REPETITIONS = 50
const IN_FORCE_LIMIT_MILLISECONDS = 1_000
const CHANGES_A_DAY = 3_000
const SECONDS_A_DAY = 86_400

/** Sizes of a file. */
interface FileSize {
  readonly customers: number
  readonly routes: number
}

const SIZES: readonly FileSize[] = [
  { customers: 8, routes: 12 },
  { customers: 5_000, routes: 510 },
  { customers: 50_000, routes: 5_100 }
]

/** Time from `apply` to the file in force on 44 entries over loopback gRPC, with one control replica that syncs its journal. */
export async function measureDistribution (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  for (const size of SIZES) rows.push(...await measureFleet(size), ...measureOneEntry(size))
  const notes = ['Control and all entries run in one process: the processor time of a change is that of all of them. Each change takes one key away and adds one.']
  return { name: 'distribution', rows, notes }
}

async function measureFleet (size: FileSize): Promise<MeasureRow[]> {
  const loopback = await DistributionLoopback.start(ENTRIES)
  const whole = await timeOf(() => loopback.apply(stateOf(1, size), 1))
  const times: number[] = []
  let processorMilliseconds = 0
  for (let number = 2; number <= CHANGES + 1; number += 1) {
    const file = stateOf(number, size)
    const before = process.cpuUsage()
    times.push(await timeOf(() => loopback.apply(file, number)))
    processorMilliseconds += sinceMilliseconds(before) / CHANGES
  }
  await loopback.stop()
  times.sort((left, right) => left - right)
  return [
    figure(labelOf(size, `first file, whole, in force on ${ENTRIES} entries`), whole, 'ms'),
    atMost(labelOf(size, `change in force on ${ENTRIES} entries, median of ${CHANGES}`), times[CHANGES / 2] ?? 0, 'ms', IN_FORCE_LIMIT_MILLISECONDS),
    atMost(labelOf(size, `change in force on ${ENTRIES} entries, slowest of ${CHANGES}`), times.at(-1) ?? 0, 'ms', IN_FORCE_LIMIT_MILLISECONDS),
    figure(labelOf(size, `processor time a change, control and ${ENTRIES} entries`), processorMilliseconds, 'ms')
  ]
}

function measureOneEntry (size: FileSize): MeasureRow[] {
  const [before, after] = [IdentifiedState.create(fileOf(1, size)), IdentifiedState.create(fileOf(2, size))]
  const content = encodeDifference(differenceBetween(before, after))
  const start = process.cpuUsage()
  for (let turn = 0; turn < REPETITIONS; turn += 1) {
    decodeDifference(content).andThen((difference) => applyDifference(before, difference, after.identity)).unwrap().toDesiredState()
  }
  const each = sinceMilliseconds(start) / REPETITIONS
  return [
    figure(labelOf(size, 'processor time of one entry to verify and apply a change'), each, 'ms'),
    figure(labelOf(size, `the same at ${CHANGES_A_DAY} changes a day`), each * CHANGES_A_DAY / SECONDS_A_DAY, 'ms/s'),
    figure(labelOf(size, 'bytes of a change'), content.length, 'B', `${encodeState(after).length} B whole`)
  ]
}

/** A file whose one key changes with its number. */
function fileOf (number: number, { customers, routes }: FileSize): DesiredState {
  const names = Array.from({ length: customers }, (_, index) => `customer-${index}`)
  const keys = names.map((customer, index) => ({ customer, digest: digestOf(index === 0 ? customers + number : index) }))
  return desiredStateSchema.parse({
    number,
    customers: names.map((name) => ({ name, rate: 10, burst: 20 })),
    keys,
    pools: [{ name: 'ledger' }],
    routes: Array.from({ length: routes }, (_, index) => ({ path: `/route-${index}`, pool: 'ledger' }))
  })
}

/** The file as the operators' command sends it. */
function stateOf (number: number, size: FileSize): Uint8Array {
  return Buffer.from(JSON.stringify(fileOf(number, size)))
}

function digestOf (index: number): string {
  return `sha256:${index.toString(16).padStart(64, '0')}`
}

function labelOf (size: FileSize, text: string): string {
  return `${size.customers} customers, ${size.routes} routes: ${text}`
}

async function timeOf (task: () => Promise<void>): Promise<number> {
  const start = performance.now()
  await task()
  return performance.now() - start
}

function sinceMilliseconds (before: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(before)
  return (user + system) / 1_000
}

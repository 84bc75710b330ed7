import { desiredStateSchema, type DesiredState } from '@hickoryspoke/configuration/desired-state'
import { differenceBetween } from '@hickoryspoke/configuration/difference'
import { IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import { applyDifference, decodeDifference, encodeDifference, encodeState } from '@hickoryspoke/configuration/state-codec'
import { DistributionLoopback } from './distribution-loopback.ts'
import { atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'

const ENTRIES = 44
const CHANGES = 20
const REPETITIONS = 50
const IN_FORCE_LIMIT_MILLISECONDS = 1_000
const CHANGES_PER_DAY = 3_000
const SECONDS_PER_DAY = 86_400

/** Size of a desired state. */
interface StateSize {
  readonly customers: number
  readonly routes: number
}

const SIZES: readonly StateSize[] = [
  { customers: 8, routes: 12 },
  { customers: 5_000, routes: 510 },
  { customers: 50_000, routes: 5_100 }
]

/** Measures the time from `apply` until the state is in force on 44 entries over gRPC on loopback, with one control replica that syncs its journal. */
export async function measureDistribution (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  for (const size of SIZES) rows.push(...await measureFleet(size), ...measureOneEntry(size))
  const notes = ['Control and all entries run in one process: the processor time of a change is that of all of them. Each change removes one key and adds one.']
  return { name: 'distribution', rows, notes }
}

async function measureFleet (size: StateSize): Promise<MeasureRow[]> {
  const loopback = await DistributionLoopback.start(ENTRIES)
  const whole = await timeMilliseconds(() => loopback.apply(encodeStateFile(1, size), 1))
  const times: number[] = []
  let processorMilliseconds = 0
  for (let number = 2; number <= CHANGES + 1; number += 1) {
    const file = encodeStateFile(number, size)
    const before = process.cpuUsage()
    times.push(await timeMilliseconds(() => loopback.apply(file, number)))
    processorMilliseconds += processorMillisecondsSince(before) / CHANGES
  }
  await loopback.stop()
  times.sort((left, right) => left - right)
  return [
    withoutTarget(labelOf(size, `first state, sent in full, in force on ${ENTRIES} entries`), whole, 'ms'),
    atMost(labelOf(size, `change in force on ${ENTRIES} entries, median of ${CHANGES}`), times[CHANGES / 2] ?? 0, 'ms', IN_FORCE_LIMIT_MILLISECONDS),
    atMost(labelOf(size, `change in force on ${ENTRIES} entries, slowest of ${CHANGES}`), times.at(-1) ?? 0, 'ms', IN_FORCE_LIMIT_MILLISECONDS),
    withoutTarget(labelOf(size, `processor time per change, control and ${ENTRIES} entries`), processorMilliseconds, 'ms')
  ]
}

function measureOneEntry (size: StateSize): MeasureRow[] {
  const [before, after] = [IdentifiedState.create(createState(1, size)), IdentifiedState.create(createState(2, size))]
  const content = encodeDifference(differenceBetween(before, after))
  const start = process.cpuUsage()
  for (let turn = 0; turn < REPETITIONS; turn += 1) {
    decodeDifference(content).andThen((difference) => applyDifference(before, difference, after.identity)).unwrap().toDesiredState()
  }
  const each = processorMillisecondsSince(start) / REPETITIONS
  return [
    withoutTarget(labelOf(size, 'processor time of one entry to verify and apply a change'), each, 'ms'),
    withoutTarget(labelOf(size, `the same at ${CHANGES_PER_DAY} changes per day`), each * CHANGES_PER_DAY / SECONDS_PER_DAY, 'ms/s'),
    withoutTarget(labelOf(size, 'bytes of a change'), content.length, 'B', `${encodeState(after).length} B in full`)
  ]
}

/** Creates a state in which one key depends on the number of the state. */
function createState (number: number, { customers, routes }: StateSize): DesiredState {
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

/** Encodes a state as the `apply` command sends it. */
function encodeStateFile (number: number, size: StateSize): Uint8Array {
  return Buffer.from(JSON.stringify(createState(number, size)))
}

function digestOf (index: number): string {
  return `sha256:${index.toString(16).padStart(64, '0')}`
}

function labelOf (size: StateSize, text: string): string {
  return `${size.customers} customers, ${size.routes} routes: ${text}`
}

async function timeMilliseconds (task: () => Promise<void>): Promise<number> {
  const start = performance.now()
  await task()
  return performance.now() - start
}

function processorMillisecondsSince (before: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(before)
  return (user + system) / 1_000
}

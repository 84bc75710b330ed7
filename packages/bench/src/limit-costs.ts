import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { SLOTS_PER_REGION } from '@hickoryspoke/limits/share-split'
import { LimiterFleet } from '@hickoryspoke/limits/tests/limiter-fleet'
import { ShareMessage } from '@hickoryspoke/protocol/generated/share'
import { randomBelow, SeededRandom } from '@hickoryspoke/runtime/random'
import { measureProcessorTime } from './limit-processor-time.ts'
import { zoneDelay } from './limit-refusals.ts'
import { atMost, withoutTarget, type MeasureRow } from './measure-report.ts'

const ENTRIES = 44
const ACTIVE_CUSTOMERS = 400
const TIMED_DECISIONS = 20_000
const ZONES = 3
const SEED = 5
const WARM_UP_MILLISECONDS = 8000
const RUN_MILLISECONDS = 10_000
const REQUESTS_PER_SECOND = [1000, 2000, 4000]
const FLEET_SIZES = [22, 44, 88]
const CUSTOMER_COUNTS = [1000, 10_000, 50_000]
const REQUESTS_PER_STEP = 1000
const AMPLE_LIMIT = { rate: 20, burst: 200 }
const DECISIONS_PER_NODE_SECOND = 84
/** Length of the gRPC prefix and the HTTP/2 frame header of a message on a long-lived stream. */
const FRAMING_BYTES = 14
const STREAM_MESSAGE_MICROSECONDS = 17.5
const MAX_PROCESSOR_MILLISECONDS_PER_SECOND = 11
const MAX_KILOBYTES_PER_SECOND = 18
const MAX_STATE_MEGABYTES = 256

interface Traffic {
  messages: number
  bytes: number
}

interface RunTotals extends Traffic {
  readonly decisions: number
}

/** Measures messages, bytes, processor time and memory of rate limit decisions against the numbers of requests, entries and customers. */
export async function measureDecisionCosts (): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = []
  const runs: RunTotals[] = []
  for (const perSecond of REQUESTS_PER_SECOND) runs.push(await simulateRequests(ENTRIES, perSecond))
  const [first, , last] = runs as [RunTotals, RunTotals, RunTotals]
  const slope = (pick: (run: RunTotals) => number): number => (pick(last) - pick(first)) / (last.decisions - first.decisions)
  const messages = slope((run) => run.messages)
  const bytes = slope((run) => run.bytes)
  const microseconds = await measureProcessorTime(ENTRIES, ACTIVE_CUSTOMERS, TIMED_DECISIONS)
  rows.push(withoutTarget('messages per decision (slope over 1,000 to 4,000 requests/s)', messages, ''))
  rows.push(withoutTarget('bytes per decision, including 14 bytes of framing per message', bytes, 'B'))
  rows.push(...await measureProcessorRows())
  rows.push(...await measureIdleRows())
  const perNode = DECISIONS_PER_NODE_SECOND * (microseconds + messages * STREAM_MESSAGE_MICROSECONDS) / 1000
  rows.push(atMost('processor time at 84 requests/s per node, 17.5 µs per message on a stream', perNode, 'ms/s', MAX_PROCESSOR_MILLISECONDS_PER_SECOND))
  rows.push(atMost('bytes sent at 84 requests/s per node', DECISIONS_PER_NODE_SECOND * bytes / 1000, 'KB/s', MAX_KILOBYTES_PER_SECOND))
  rows.push(...await measureMemoryRows())
  return rows
}

/** Processor time of a decision by the number of entries and by the number of customers. */
async function measureProcessorRows (): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = []
  for (const entries of FLEET_SIZES) {
    rows.push(withoutTarget(`processor time per decision, ${entries} entries, 400 customers`, await measureProcessorTime(entries, ACTIVE_CUSTOMERS, TIMED_DECISIONS), 'µs'))
  }
  for (const customers of CUSTOMER_COUNTS) {
    rows.push(withoutTarget(`processor time per decision, 44 entries, ${customers} customers`, await measureProcessorTime(ENTRIES, customers, TIMED_DECISIONS), 'µs'))
  }
  return rows
}

/** Messages and bytes of the leases without any requests, by the number of entries. */
async function measureIdleRows (): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = []
  for (const entries of FLEET_SIZES) {
    const run = await simulateRequests(entries, 0)
    const seconds = RUN_MILLISECONDS / 1000
    rows.push(withoutTarget(`leases of ${SLOTS_PER_REGION} slots, ${entries} entries: messages sent per node`, run.messages / entries / seconds, '/s'))
    rows.push(withoutTarget(`leases of ${SLOTS_PER_REGION} slots, ${entries} entries: bytes sent per node`, run.bytes / entries / seconds / 1000, 'KB/s'))
  }
  return rows
}

async function simulateRequests (entries: number, perSecond: number): Promise<RunTotals> {
  const random = SeededRandom.create(SEED)
  const fleet = LimiterFleet.create({ entries, zones: ZONES, seed: SEED, network: { delayMilliseconds: zoneDelay, jitterMilliseconds: 0.2 } })
  fleet.apply(Array.from({ length: ACTIVE_CUSTOMERS }, (_, index) => ({ name: `customer-${index}`, ...AMPLE_LIMIT })))
  await fleet.run(WARM_UP_MILLISECONDS + AMPLE_LIMIT.burst / AMPLE_LIMIT.rate * 1000)
  const traffic = countTraffic(fleet)
  const names = fleet.names
  const total = perSecond * RUN_MILLISECONDS / 1000
  for (let request = 0; request < total; request += 1) {
    fleet.clock.schedule(random.next() * RUN_MILLISECONDS, () => {
      fleet.request(names[randomBelow(random, entries)] as string, `customer-${randomBelow(random, ACTIVE_CUSTOMERS)}`)
    })
  }
  await fleet.run(RUN_MILLISECONDS)
  return { messages: traffic.messages, bytes: traffic.bytes, decisions: total }
}

/** Starts counting messages and their encoded size. */
function countTraffic (fleet: LimiterFleet): Traffic {
  const traffic = { messages: 0, bytes: 0 }
  fleet.observe((message) => {
    traffic.messages += 1
    traffic.bytes += ShareMessage.encode(message).finish().length + FRAMING_BYTES
  })
  return traffic
}

/** Memory of idle and of active customers in a fleet of one entry. */
async function measureMemoryRows (): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = []
  for (const count of CUSTOMER_COUNTS) {
    const fleet = LimiterFleet.create({ entries: 1, zones: 1, seed: SEED })
    await fleet.run(WARM_UP_MILLISECONDS)
    const customers = Array.from({ length: count }, (_, index) => ({ name: `customer-${index}`, ...AMPLE_LIMIT }))
    const empty = heapBytes()
    fleet.apply(customers)
    const idle = heapBytes()
    for (let first = 0; first < count; first += REQUESTS_PER_STEP) {
      for (const customer of customers.slice(first, first + REQUESTS_PER_STEP)) fleet.request('entry-0', customer.name)
      await fleet.run(1)
    }
    fleet.decisions.length = 0
    const active = heapBytes()
    const seen = fleet.limiter('entry-0')?.view().customers.length ?? 0
    rows.push(withoutTarget(`memory of ${count} idle customers at each entry`, (idle - empty) / count, 'B per customer'))
    rows.push(withoutTarget(`memory of ${count} active customers at the holder that also receives the requests`, (active - idle) / seen, 'B per customer'))
    if (count === CUSTOMER_COUNTS.at(-1)) rows.push(atMost(`memory of ${count} active customers at one entry`, (active - empty) / 1e6, 'MB', MAX_STATE_MEGABYTES))
  }
  return rows
}

function heapBytes (): number {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc')()
  return process.memoryUsage().heapUsed
}

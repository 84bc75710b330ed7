import { FreshnessMessage } from '@hickoryspoke/protocol/generated/freshness'
import { FreshnessGuard, ROUND_INTERVAL_MILLISECONDS } from '@hickoryspoke/membership/freshness-guard'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'
import { atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'

const GROUP_SIZES = [22, 100, 400] as const

/** Largest group measured with all entries as witnesses, because that cost grows with the square of the group size. */
const MAX_FULL_GROUP_SIZE = 100
const WITNESSES = 9
const SIMULATED_SECONDS = 10
const WARM_UP_MILLISECONDS = 12_000
const BYTES_LIMIT_PER_SECOND = 18_000
const VERSIONS = { number: 3_000, epoch: 1_000, establishedEpoch: 1_000 }

interface Counts {
  sent: number
  bytes: number
}

/** Measures the cost of the freshness checks at each entry of a region, with a fixed set of witnesses and with all entries as witnesses. */
export async function measureFreshness (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  for (const size of GROUP_SIZES) {
    rows.push(...await measureGroup(size, WITNESSES))
    if (size <= MAX_FULL_GROUP_SIZE) rows.push(...await measureGroup(size, size))
  }
  const notes = [`${SIMULATED_SECONDS} simulated seconds. Processor time is that of the guards and of coding the messages, without the gRPC streams between processes.`]
  return { name: 'freshness', rows, notes }
}

async function measureGroup (size: number, witnessCount: number): Promise<MeasureRow[]> {
  const clock = FakeClock.create()
  const network = FakeNetwork.create<Uint8Array>(clock, SeededRandom.create(3))
  const names = Array.from({ length: size }, (_, index) => `entry-${index}`)
  const counts = new Map<string, Counts>(names.map((name) => [name, { sent: 0, bytes: 0 }]))
  const stopping: AbortController[] = []
  for (const [index, name] of names.entries()) {
    startGuard(name, index, names.slice(0, witnessCount), { clock, network, counts, stopping })
    clock.advance(ROUND_INTERVAL_MILLISECONDS / size)
  }
  await clock.advanceAsync(WARM_UP_MILLISECONDS)
  for (const count of counts.values()) Object.assign(count, { sent: 0, bytes: 0 })
  const before = process.cpuUsage()
  await clock.advanceAsync(SIMULATED_SECONDS * 1_000)
  const { user, system } = process.cpuUsage(before)
  for (const stop of stopping) stop.abort()
  return describeGroup(size, witnessCount, [...counts.values()], (user + system) / 1_000)
}

interface GroupContext {
  readonly clock: FakeClock
  readonly network: FakeNetwork<Uint8Array>
  readonly counts: Map<string, Counts>
  readonly stopping: AbortController[]
}

function startGuard (name: string, index: number, witnesses: readonly string[], { clock, network, counts, stopping }: GroupContext): void {
  const peers = network.join(name, (from, bytes) => {
    const { body } = FreshnessMessage.decode(bytes)
    if (body?.$case === 'ask' || body?.$case === 'answer') guard.handle(from, body)
  })
  const send = (to: string, message: FreshnessMessage): void => {
    const bytes = FreshnessMessage.encode(message).finish()
    for (const [peer, sent] of [[name, 1], [to, 0]] as const) {
      const count = counts.get(peer)
      if (count !== undefined) Object.assign(count, { sent: count.sent + sent, bytes: count.bytes + bytes.length })
    }
    peers.send(to, bytes)
  }
  const guard = FreshnessGuard.create({
    clock,
    random: SeededRandom.create(index),
    network: { self: name, send },
    source: { versions: () => VERSIONS, witnesses: () => witnesses },
    control: { ask: () => Promise.resolve(VERSIONS) },
    onNewerPeer: () => {}
  })
  const stop = new AbortController()
  stopping.push(stop)
  void guard.run(stop.signal)
}

function describeGroup (size: number, witnessCount: number, counts: readonly Counts[], processorMilliseconds: number): MeasureRow[] {
  const quorum = witnessCount === size ? 'majority of all' : `${witnessCount} witnesses`
  const perSecond = (value: number): number => value / SIMULATED_SECONDS
  const busiest = Math.max(...counts.map((count) => count.sent))
  const heaviest = Math.max(...counts.map((count) => count.bytes))
  const mean = counts.reduce((sum, count) => sum + count.sent, 0) / counts.length
  const label = (text: string): string => `${size} entries, ${quorum}: ${text}`
  const bytes = label('bytes to and from the busiest entry, without framing')
  return [
    withoutTarget(label('messages sent by the average entry'), perSecond(mean), '/s'),
    withoutTarget(label('messages sent by the busiest entry'), perSecond(busiest), '/s'),
    witnessCount === size ? withoutTarget(bytes, perSecond(heaviest), 'B/s') : atMost(bytes, perSecond(heaviest), 'B/s', BYTES_LIMIT_PER_SECOND),
    withoutTarget(label('processor time of the average entry'), perSecond(processorMilliseconds) / size, 'ms/s')
  ]
}

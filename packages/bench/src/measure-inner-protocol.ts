import { Server } from '@grpc/grpc-js'
import { GrpcPeerNetwork } from '@hickoryspoke/protocol/grpc-peer-network'
import { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { FreshnessMessage } from '@hickoryspoke/protocol/generated/freshness'
import { type Clock, SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { type MeasureReport, type MeasureRow, withoutTarget } from './measure-report.ts'

const MESSAGES = 20_000
const BATCH_SIZES = [1, 10, 100] as const
const PEER_COUNTS = [10, 50, 200] as const
const IDLE_SECONDS = 15
const IDLE_CLOSE_WAIT_SECONDS = 30
const MICROSECONDS_PER_SECOND = 1_000_000
const BYTES_PER_KILOBYTE = 1_024
const CREDENTIALS = InnerCredentials.create({ kind: 'plain_text' })

/** A message of about 60 bytes, the size of most messages between entries. */
const MESSAGE: FreshnessMessage = {
  body: {
    $case: 'fetch',
    value: { held: { number: 70_000, digest: `sha256:${'a'.repeat(40)}` }, epoch: 70_000, wanted: undefined, offset: 0 }
  }
}

interface Node {
  readonly network: GrpcPeerNetwork
  readonly server: Server
}

/** Measures the processor time of messages on the streams between entries, and the memory and processor time of idle streams. */
export async function measureInnerProtocol (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  for (const batch of BATCH_SIZES) rows.push(await measureMessages(batch))
  for (const peers of PEER_COUNTS) rows.push(...await measureIdleStreams(peers))
  return { name: 'inner protocol', rows, notes: ['Both ends run in one process: half of each figure is the cost of one end.'] }
}

async function measureMessages (batch: number): Promise<MeasureRow> {
  const clock = SystemClock.create()
  const addresses = new Map<string, string>()
  const receiver = await startNode('receiver', clock, addresses)
  const sender = await startNode('sender', clock, addresses)
  let received = 0
  receiver.network.join('freshness', () => { received += 1 })
  const toReceiver = sender.network.join('freshness', () => {})
  await sendBatches(toReceiver, batch, MESSAGES / 10, () => received, clock)
  received = 0
  const before = process.cpuUsage()
  await sendBatches(toReceiver, batch, MESSAGES, () => received, clock)
  const used = process.cpuUsage(before)
  stop(receiver, sender)
  return withoutTarget(`processor time per message, ${batch} at a time, both ends`, (used.user + used.system) / MESSAGES, 'microseconds')
}

async function sendBatches (to: PeerNetwork<FreshnessMessage>, batch: number, messages: number, received: () => number, clock: Clock): Promise<void> {
  for (let sent = 0; sent < messages; sent += batch) {
    for (let index = 0; index < batch; index += 1) to.send('receiver', MESSAGE)
    while (received() < sent + batch) await new Promise((resolve) => setImmediate(resolve))
  }
}

async function measureIdleStreams (peers: number): Promise<MeasureRow[]> {
  const clock = SystemClock.create()
  const addresses = new Map<string, string>()
  const hub = await startNode('hub', clock, addresses)
  const memoryBefore = residentBytes()
  const others: Node[] = []
  for (let index = 0; index < peers; index += 1) others.push(await startNode(`peer-${index}`, clock, addresses))
  const senders: string[] = []
  const recordSender = (from: string): void => { senders.push(from) }
  const fromHub = hub.network.join('freshness', recordSender)
  for (const [index, other] of others.entries()) {
    other.network.join('freshness', recordSender).send('hub', MESSAGE)
    fromHub.send(`peer-${index}`, MESSAGE)
  }
  while (senders.length < 2 * others.length) await new Promise((resolve) => setImmediate(resolve))
  const memory = (residentBytes() - memoryBefore) / peers
  const open = await measureCoreShare(clock)
  await sleep(clock, IDLE_CLOSE_WAIT_SECONDS * 1000)
  const closed = await measureCoreShare(clock)
  stop(hub, ...others)
  return [
    withoutTarget(`memory per peer, ${peers} peers, two streams and both ends`, memory / BYTES_PER_KILOBYTE, 'KB'),
    withoutTarget(`share of a core for streams to ${peers} idle peers, both ends`, 100 * open, '%'),
    withoutTarget(`the same once idle streams are closed, ${peers} peers`, 100 * closed, '%')
  ]
}

async function measureCoreShare (clock: Clock): Promise<number> {
  const before = process.cpuUsage()
  await sleep(clock, IDLE_SECONDS * 1000)
  const used = process.cpuUsage(before)
  return (used.user + used.system) / IDLE_SECONDS / MICROSECONDS_PER_SECOND
}

async function startNode (name: string, clock: Clock, addresses: Map<string, string>): Promise<Node> {
  const network = GrpcPeerNetwork.create({
    self: name,
    credentials: CREDENTIALS,
    clock,
    random: SeededRandom.create(1),
    logger: silentLogger(),
    addressOf: (peer) => addresses.get(peer)
  })
  const server = new Server()
  network.addTo(server)
  const port = (await CREDENTIALS.bind(server, '127.0.0.1:0')).unwrap()
  addresses.set(name, `127.0.0.1:${port}`)
  return { network, server }
}

function stop (...nodes: Node[]): void {
  for (const node of nodes) {
    node.network.close()
    node.server.forceShutdown()
  }
}

function residentBytes (): number {
  return process.memoryUsage().rss
}

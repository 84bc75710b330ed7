import { mkdtemp, open, readdir, rm, stat } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Server } from '@grpc/grpc-js'
import { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { GrpcReplicaNetwork } from '@hickoryspoke/replication/grpc-replica-network'
import { Replica } from '@hickoryspoke/replication/replica'
import { REPLICA_SERVER_OPTIONS } from '@hickoryspoke/replication/replica-link'
import type { ReplicaTuning } from '@hickoryspoke/replication/replica-settings'
import type { StateMachine } from '@hickoryspoke/replication/replicated-log'
import { SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { build } from 'hdr-histogram-js'
import { atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'

const NAMES = ['alpha', 'beta', 'gamma']
const FIVE_NAMES = [...NAMES, 'delta', 'epsilon']
const COMMAND_BYTES = 300
const PARALLEL_PROPOSERS = 64
const CHANGES = 3_000
const COMMAND_SIZES = [300, 30_000, 300_000, 3_000_000]
const SIZED_CHANGES = 40
const FAILOVER_RUNS = 7
const WARM_UP_MILLISECONDS = 3_000
const IDLE_MILLISECONDS = 10_000
const PREALLOCATION_WRITES = 300
const MICROSECONDS_PER_MILLISECOND = 1_000
const FAILOVER_TARGET_MILLISECONDS = 3_000

/** Counts bytes only, so that the log is measured without the cost of a state machine. */
class CountingMachine implements StateMachine {
  bytes = 0

  apply (_index: number, command: Uint8Array): Uint8Array {
    this.bytes += command.length
    return new Uint8Array(1)
  }

  snapshot (): Uint8Array {
    return Buffer.from(String(this.bytes))
  }

  restore (snapshot: Uint8Array): void {
    this.bytes = Number(Buffer.from(snapshot).toString())
  }
}

interface Cluster {
  readonly root: string
  readonly replicas: Replica[]
  readonly servers: Server[]
}

const credentials = InnerCredentials.create({ kind: 'plain_text' })
const clock = SystemClock.create()

/** Measures throughput, commit latency, restart, failover and the cost of a log entry, over loopback and real files. */
export async function measureReplication (): Promise<MeasureReport> {
  const rows = [
    ...await measureChanges(NAMES, 1, true),
    ...await measureChanges(NAMES, PARALLEL_PROPOSERS, true),
    ...await measureChanges(NAMES, PARALLEL_PROPOSERS, false),
    ...await measureChanges(['alpha'], PARALLEL_PROPOSERS, true),
    ...await measureChanges(['alpha'], PARALLEL_PROPOSERS, false),
    ...await measureRestart(500, 1_000),
    ...await measureRestart(3_000, 1_000),
    ...await measureRestart(3_000, 1_000_000),
    ...await measureSizes(),
    ...await measureFailover(),
    ...await measureIdle(NAMES),
    ...await measureIdle(FIVE_NAMES),
    ...await measurePreallocation()
  ]
  return { name: 'replication', rows, notes: [`Commands of ${COMMAND_BYTES} bytes; three replicas in one process over loopback gRPC, one folder each on one disk.`] }
}

async function startCluster (names: readonly string[], tuning: Partial<ReplicaTuning> = {}): Promise<Cluster> {
  const root = await mkdtemp(join(tmpdir(), 'measure-replication-'))
  const servers = names.map(() => new Server(REPLICA_SERVER_OPTIONS))
  const addresses: Record<string, string> = {}
  for (const [at, name] of names.entries()) {
    const port = (await credentials.bind(servers[at] as Server, '127.0.0.1:0')).unwrap()
    addresses[name] = `127.0.0.1:${port}`
  }
  const replicas = await Promise.all(names.map((name, at) => createReplica(root, name, names, addresses, servers[at] as Server, tuning)))
  for (const replica of replicas) replica.start()
  const cluster = { root, replicas, servers }
  await waitForLeader(cluster)
  return cluster
}

async function createReplica (
  root: string,
  name: string,
  peers: readonly string[],
  addresses: Record<string, string>,
  server: Server,
  tuning: Partial<ReplicaTuning>
): Promise<Replica> {
  const random = SystemRandom.create()
  const network = GrpcReplicaNetwork.create({ self: name, addresses, credentials, clock, random })
  network.addTo(server)
  const created = await Replica.create({
    cluster: 'measure',
    name,
    folder: join(root, name),
    peers,
    onEmptyFolder: 'form',
    stateMachine: new CountingMachine(),
    join: (handler) => network.join(handler),
    clock,
    random,
    tuning
  })
  return created.unwrap()
}

async function waitForLeader (cluster: Cluster): Promise<Replica> {
  for (;;) {
    const leader = cluster.replicas.find((replica) => replica.role() === 'leader')
    if (leader !== undefined && (await leader.readBarrier()).isOk()) return leader
    await sleep(clock, 1)
  }
}

async function stopCluster (cluster: Cluster): Promise<void> {
  await Promise.all(cluster.replicas.map((replica) => replica.abort()))
  for (const server of cluster.servers) server.forceShutdown()
  await rm(cluster.root, { recursive: true })
}

async function measureChanges (names: readonly string[], proposers: number, groupCommit: boolean): Promise<MeasureRow[]> {
  const cluster = await startCluster(names, { groupCommit })
  const leader = await waitForLeader(cluster)
  const histogram = build({ highestTrackableValue: 60_000_000 })
  const changes = proposers === 1 ? 500 : CHANGES
  const before = process.cpuUsage()
  const started = clock.monotonicMilliseconds()
  let left = changes
  await Promise.all(Array.from({ length: proposers }, async () => {
    while (left > 0) {
      left -= 1
      const begin = clock.monotonicMilliseconds()
      await leader.propose(Buffer.alloc(COMMAND_BYTES, 1))
      histogram.recordValue(Math.max(1, Math.round((clock.monotonicMilliseconds() - begin) * MICROSECONDS_PER_MILLISECOND)))
    }
  }))
  const elapsed = clock.monotonicMilliseconds() - started
  const cpu = process.cpuUsage(before)
  const bytes = await folderBytes(join(cluster.root, names[0] as string))
  await stopCluster(cluster)
  const label = `${names.length} replica(s), ${proposers} proposer(s), group commit ${groupCommit ? 'on' : 'off'}`
  return [
    withoutTarget(`${label}: changes per second`, changes / elapsed * 1000, '1/s'),
    withoutTarget(`${label}: time to accepted, median`, histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND, 'ms'),
    withoutTarget(`${label}: time to accepted, 99th percentile`, histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND, 'ms'),
    withoutTarget(`${label}: processor time per entry, all replicas`, (cpu.user + cpu.system) / changes, 'µs'),
    withoutTarget(`${label}: bytes on disk per entry`, bytes / changes, 'bytes')
  ]
}

/** Cost of a log entry by its size, with three replicas and one proposer. */
async function measureSizes (): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = []
  for (const size of COMMAND_SIZES) {
    const cluster = await startCluster(NAMES, { snapshotEntries: 1_000_000, snapshotBytes: 1_000_000_000 })
    const leader = await waitForLeader(cluster)
    for (let warm = 0; warm < SIZED_CHANGES; warm += 1) await leader.propose(Buffer.alloc(size, 1))
    const before = process.cpuUsage()
    const started = clock.monotonicMilliseconds()
    for (let done = 0; done < SIZED_CHANGES; done += 1) await leader.propose(Buffer.alloc(size, 1))
    const elapsed = clock.monotonicMilliseconds() - started
    const cpu = process.cpuUsage(before)
    const bytes = await folderBytes(join(cluster.root, NAMES[0] as string))
    await stopCluster(cluster)
    rows.push(
      withoutTarget(`entry of ${size} bytes: processor time, all three replicas`, (cpu.user + cpu.system) / SIZED_CHANGES, 'µs'),
      withoutTarget(`entry of ${size} bytes: time to accepted, mean`, elapsed / SIZED_CHANGES, 'ms'),
      withoutTarget(`entry of ${size} bytes: on disk per replica`, bytes / SIZED_CHANGES / 2, 'bytes')
    )
  }
  return rows
}

async function folderBytes (path: string): Promise<number> {
  const names = await readdir(path)
  const sizes = await Promise.all(names.filter((name) => name.startsWith('segment-')).map((name) => stat(join(path, name))))
  return sizes.reduce((sum, one) => sum + one.size, 0)
}

async function measureRestart (changes: number, snapshotEntries: number): Promise<MeasureRow[]> {
  const root = await mkdtemp(join(tmpdir(), 'measure-restart-'))
  const create = async (): Promise<Replica> => (await Replica.create({
    cluster: 'measure',
    name: 'alpha',
    folder: root,
    peers: ['alpha'],
    onEmptyFolder: 'form',
    stateMachine: new CountingMachine(),
    clock,
    random: SystemRandom.create(),
    tuning: { snapshotEntries }
  })).unwrap()
  const first = await create()
  first.start()
  await waitUntilLeading(first)
  for (let done = 0; done < changes; done += 100) {
    await Promise.all(Array.from({ length: 100 }, () => first.propose(Buffer.alloc(COMMAND_BYTES, 1))))
  }
  await first.stop()
  const started = clock.monotonicMilliseconds()
  const second = await create()
  const read = clock.monotonicMilliseconds() - started
  second.start()
  await waitUntilLeading(second)
  const ready = clock.monotonicMilliseconds() - started
  await second.stop()
  await rm(root, { recursive: true })
  const label = `restart after ${changes} changes, snapshot every ${snapshotEntries}`
  return [withoutTarget(`${label}: files read and verified`, read, 'ms'), withoutTarget(`${label}: leader with all entries applied`, ready, 'ms')]
}

async function waitUntilLeading (replica: Replica): Promise<void> {
  while (replica.role() !== 'leader' || !(await replica.readBarrier()).isOk()) await sleep(clock, 1)
}

async function measureFailover (): Promise<MeasureRow[]> {
  const abrupt: number[] = []
  const planned: number[] = []
  for (let run = 0; run < FAILOVER_RUNS; run += 1) {
    abrupt.push(await failOver((leader) => leader.abort()))
    planned.push(await failOver((leader) => leader.stop()))
  }
  abrupt.sort((left, right) => left - right)
  planned.sort((left, right) => left - right)
  const middle = Math.floor(FAILOVER_RUNS / 2)
  return [
    atMost('failover after the leader dies, worst run: a change is accepted again', abrupt.at(-1) as number, 'ms', FAILOVER_TARGET_MILLISECONDS),
    withoutTarget('failover after the leader dies, median run', abrupt[middle] as number, 'ms'),
    withoutTarget('planned stop of the leader, worst run: a change is accepted again', planned.at(-1) as number, 'ms'),
    withoutTarget('planned stop of the leader, median run', planned[middle] as number, 'ms')
  ]
}

async function failOver (stop: (leader: Replica) => Promise<void>): Promise<number> {
  const cluster = await startCluster(NAMES)
  const leader = await waitForLeader(cluster)
  await leader.propose(Buffer.alloc(COMMAND_BYTES))
  const started = clock.monotonicMilliseconds()
  const stopped = stop(leader)
  const others = { ...cluster, replicas: cluster.replicas.filter((replica) => replica !== leader) }
  const next = await waitForLeader(others)
  await next.propose(Buffer.alloc(COMMAND_BYTES))
  const elapsed = clock.monotonicMilliseconds() - started
  await stopped
  await stopCluster(cluster)
  return elapsed
}

async function measureIdle (names: readonly string[]): Promise<MeasureRow[]> {
  const cluster = await startCluster(names)
  await waitForLeader(cluster)
  await sleep(clock, WARM_UP_MILLISECONDS)
  const before = process.cpuUsage()
  await sleep(clock, IDLE_MILLISECONDS)
  const cpu = process.cpuUsage(before)
  await stopCluster(cluster)
  const each = (cpu.user + cpu.system) / MICROSECONDS_PER_MILLISECOND / (IDLE_MILLISECONDS / 1000) / names.length
  return [atMost(`idle cluster of ${names.length}: processor time per second and replica, mean`, each, 'ms', 11)]
}

/** Compares synced appends to a preallocated and to a growing file, to show whether preallocation would help. */
async function measurePreallocation (): Promise<MeasureRow[]> {
  const grown = await timeSyncedWrites(0)
  const padded = await timeSyncedWrites(PREALLOCATION_WRITES * COMMAND_BYTES)
  return [withoutTarget('synced write into a preallocated file, mean', padded, 'ms', `${grown.toFixed(2)} ms into a growing file`)]
}

async function timeSyncedWrites (allocated: number): Promise<number> {
  const root = await mkdtemp(join(tmpdir(), 'measure-write-'))
  const handle = await open(join(root, 'file'), 'w')
  await handle.write(Buffer.alloc(allocated), 0, allocated, 0)
  await handle.sync()
  const started = clock.monotonicMilliseconds()
  for (let at = 0; at < PREALLOCATION_WRITES; at += 1) {
    await handle.write(Buffer.alloc(COMMAND_BYTES, 1), 0, COMMAND_BYTES, at * COMMAND_BYTES)
    await handle.datasync()
  }
  const elapsed = clock.monotonicMilliseconds() - started
  await handle.close()
  await rm(root, { recursive: true })
  return elapsed / PREALLOCATION_WRITES
}

import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Server } from '@grpc/grpc-js'
import { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { GrpcReplicaNetwork } from '../grpc-replica-network.ts'
import { Replica } from '../replica.ts'
import { REPLICA_SERVER_OPTIONS } from '../replica-link.ts'
import { ListStateMachine } from './test-cluster.ts'

const clock = SystemClock.create()
const credentials = InnerCredentials.create({ kind: 'plain_text' })
const names = ['alpha', 'beta', 'gamma']

async function startServers (): Promise<{ servers: Record<string, Server>, addresses: Record<string, string> }> {
  const servers: Record<string, Server> = {}
  const addresses: Record<string, string> = {}
  for (const name of names) {
    const server = new Server(REPLICA_SERVER_OPTIONS)
    servers[name] = server
    const port = await credentials.bind(server, '127.0.0.1:0')
    addresses[name] = `127.0.0.1:${port.unwrap()}`
  }
  return { servers, addresses }
}

async function until (isDone: () => boolean): Promise<void> {
  while (!isDone()) await sleep(clock, 10)
}

test('three replicas over gRPC elect a leader, replicate a large command and transfer leadership', async () => {
  const root = await mkdtemp(join(tmpdir(), 'replication-grpc-'))
  const { servers, addresses } = await startServers()
  const replicas: Replica[] = []
  for (const name of names) {
    const network = GrpcReplicaNetwork.create({ self: name, addresses, credentials, clock, random: SystemRandom.create() })
    network.addTo(servers[name] as Server)
    const created = await Replica.create({
      cluster: 'test',
      name,
      folder: join(root, name),
      peers: names,
      onEmptyFolder: 'form',
      stateMachine: new ListStateMachine(),
      join: (handler) => network.join(handler),
      clock,
      random: SystemRandom.create()
    })
    replicas.push(created.unwrap())
  }
  for (const replica of replicas) replica.start()
  const leader = (): Replica | undefined => replicas.find((replica) => replica.role() === 'leader')
  await until(() => leader() !== undefined)
  const first = leader() as Replica
  assert.is(Buffer.from((await first.propose(Buffer.alloc(10_000_000))).unwrap()).toString(), '1')
  assert.ok((await first.readBarrier()).isOk())
  await first.stop()
  await until(() => leader() !== undefined)
  const second = leader() as Replica
  assert.is(Buffer.from((await second.propose(Buffer.from('next'))).unwrap()).toString(), '2')
  for (const replica of replicas) await replica.stop()
  for (const name of names) servers[name]?.forceShutdown()
  await rm(root, { recursive: true })
})

test.run()

import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'
import type { Result } from 'ts-results-es'
import { Replica } from '../replica.ts'
import type { ReplicaEvent } from '../replica-event.ts'
import type { ReplicaTuning } from '../replica-settings.ts'
import type { OnEmptyFolder } from '../replica-storage.ts'
import type { StateMachine } from '../replicated-log.ts'
import type { ReplicationFailure } from '../replication-failure.ts'
import { FaultFolder } from './fault-folder.ts'

const STEP_MILLISECONDS = 5

/** A state machine that keeps all commands in order and answers with their count. */
export class ListStateMachine implements StateMachine {
  commands: string[] = []

  apply (_index: number, command: Uint8Array): Uint8Array {
    this.commands.push(Buffer.from(command).toString())
    return Buffer.from(String(this.commands.length))
  }

  snapshot (): Uint8Array {
    return Buffer.from(JSON.stringify(this.commands))
  }

  restore (snapshot: Uint8Array): void {
    this.commands = JSON.parse(Buffer.from(snapshot).toString())
  }
}

interface Node {
  readonly replica: Replica
  readonly machine: ListStateMachine
  readonly folder: FaultFolder
}

/** A cluster of replicas on real folders, with a fake clock and an in-memory network. */
export class TestCluster {
  readonly nodes = new Map<string, Node>()
  readonly events: { name: string, event: ReplicaEvent }[] = []
  readonly clock = FakeClock.create()
  readonly network: FakeNetwork<ReplicaMessage>
  tuning: Partial<ReplicaTuning> = {}
  /** Overrides the peers in the settings of replicas opened from now on. */
  peersInSettings: readonly string[] | undefined
  /** Lets replicas join that the settings do not name, in replicas opened from now on. */
  openMembership: { readonly minimumVoters: number } | undefined
  createMachine: () => ListStateMachine = () => new ListStateMachine()
  private bootCount = 0

  private constructor (readonly names: readonly string[], readonly root: string, private readonly seed: number) {
    this.network = FakeNetwork.create<ReplicaMessage>(this.clock, SeededRandom.create(seed))
  }

  static async create (names: readonly string[], seed = 1, tuning: Partial<ReplicaTuning> = {}): Promise<TestCluster> {
    const cluster = new TestCluster(names, await mkdtemp(join(tmpdir(), 'replication-')), seed)
    cluster.tuning = tuning
    return cluster
  }

  /** Creates a cluster that has formed and elected a leader. */
  static async formed (
    names: readonly string[],
    seed = 1,
    tuning: Partial<ReplicaTuning> = {},
    createMachine = () => new ListStateMachine()
  ): Promise<TestCluster> {
    const cluster = await TestCluster.create(names, seed, tuning)
    cluster.createMachine = createMachine
    for (const name of names) await cluster.boot(name, 'form')
    await cluster.until(() => cluster.leaderName() !== undefined)
    return cluster
  }

  folderPath (name: string): string {
    return join(this.root, name)
  }

  async open (name: string, onEmptyFolder: OnEmptyFolder = 'refuse', folder?: FaultFolder): Promise<{ opened: Result<Replica, Error>, node: Omit<Node, 'replica'> }> {
    const machine = this.createMachine()
    const used = folder ?? await FaultFolder.create(this.folderPath(name))
    this.bootCount += 1
    const opened = await Replica.create({
      cluster: 'test',
      name,
      folder: used,
      peers: this.peersInSettings ?? this.names,
      ...(this.openMembership === undefined ? {} : { openMembership: this.openMembership }),
      onEmptyFolder,
      stateMachine: machine,
      join: (handler) => ({ ...this.network.join(name, handler), close: async () => this.network.leave(name) }),
      clock: this.clock,
      random: SeededRandom.create(this.seed * 1000 + this.bootCount),
      report: (event) => this.events.push({ name, event }),
      tuning: this.tuning
    })
    return { opened, node: { machine, folder: used } }
  }

  async boot (name: string, onEmptyFolder: OnEmptyFolder = 'refuse', folder?: FaultFolder): Promise<Replica> {
    const { opened, node } = await this.open(name, onEmptyFolder, folder)
    const replica = opened.unwrap()
    this.nodes.set(name, { replica, ...node })
    replica.start()
    return replica
  }

  /** Simulates a power loss: unsynced writes are lost. */
  async crash (name: string): Promise<void> {
    const node = this.node(name)
    node.folder.losePower()
    this.network.leave(name)
    this.nodes.delete(name)
    await node.replica.abort()
    await node.folder.dropUnsynced()
  }

  /** Simulates a power loss of all replicas in the same moment. Their folders then still hold what was not synced. */
  losePowerEverywhere (): void {
    for (const [name, { folder }] of this.nodes) {
      folder.losePower()
      this.network.leave(name)
    }
  }

  /** Ends the processes after `losePowerEverywhere`. Returns their folders by name. */
  async endEverywhere (): Promise<Map<string, FaultFolder>> {
    const nodes = [...this.nodes]
    this.nodes.clear()
    for (const [, { replica }] of nodes) await replica.abort()
    return new Map(nodes.map(([name, { folder }]) => [name, folder]))
  }

  /** Stops a replica gracefully. */
  async stop (name: string): Promise<void> {
    const { replica } = this.node(name)
    let stopped = false
    replica.stop().then(() => { stopped = true })
    await this.until(() => stopped)
    this.nodes.delete(name)
  }

  async loseDisk (name: string): Promise<void> {
    await this.crash(name)
    await rm(this.folderPath(name), { recursive: true })
  }

  node (name: string): Node {
    return this.nodes.get(name) as Node
  }

  leaders (): string[] {
    return [...this.nodes].filter(([, node]) => node.replica.role() === 'leader').map(([name]) => name)
  }

  leaderName (): string | undefined {
    return this.leaders()[0]
  }

  leader (): Replica {
    return this.node(this.leaderName() as string).replica
  }

  followers (): string[] {
    return [...this.nodes.keys()].filter((name) => name !== this.leaderName())
  }

  /** Proposes a command, by default at the leader, and advances time until it is answered. */
  async propose (command: string | Uint8Array, at = this.leader()): Promise<Result<Uint8Array, ReplicationFailure>> {
    let result: Result<Uint8Array, ReplicationFailure> | undefined
    at.propose(typeof command === 'string' ? Buffer.from(command) : command).then((answer) => { result = answer })
    await this.until(() => result !== undefined)
    return result as unknown as Result<Uint8Array, ReplicationFailure>
  }

  commands (name: string): string[] {
    return this.node(name).machine.commands
  }

  isolate (name: string): void {
    for (const other of this.names) {
      this.network.cut(name, other)
      this.network.cut(other, name)
    }
  }

  /** Advances time in small steps and waits for pending disk operations between them. */
  async advance (milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.waitUntilIdle()
      await this.clock.advanceAsync(STEP_MILLISECONDS)
    }
    await this.waitUntilIdle()
  }

  async until (isDone: () => boolean, limitMilliseconds = 30_000): Promise<void> {
    for (let passed = 0; passed < limitMilliseconds; passed += STEP_MILLISECONDS) {
      if (isDone()) return
      await this.advance(STEP_MILLISECONDS)
    }
    throw new Error(`condition not met within ${limitMilliseconds} ms: ${isDone}`)
  }

  async destroy (): Promise<void> {
    for (const name of [...this.nodes.keys()]) await this.crash(name)
    await rm(this.root, { recursive: true, force: true })
  }

  private async waitUntilIdle (): Promise<void> {
    await flushPromises()
    while (this.hasPendingOperations()) await flushPromises()
  }

  private hasPendingOperations (): boolean {
    return [...this.nodes.values()].some((node) => node.folder.pending > node.folder.heldOperations)
  }
}

import type { ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import type { MessageHandler } from '@hickoryspoke/runtime/network'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import type { ModelAction } from '../model/replication-specification.ts'
import { Replica } from '../replica.ts'
import { ListStateMachine } from './test-cluster.ts'
import { FaultFolder } from './fault-folder.ts'

const HEARTBEAT_MILLISECONDS = 100
const NEVER_MILLISECONDS = 1e12
/** Rounds of delivery that bring a lagging log up to date. */
const DELIVERY_ROUNDS = 6

type Case = NonNullable<ReplicaMessage['body']>['$case']

interface ReplicaParts {
  readonly replica: Replica
  readonly machine: ListStateMachine
  readonly folder: FaultFolder
  readonly clock: FakeClock
}

/** Real replicas driven by actions of the model: clocks advance and messages are delivered only when an action requires it. */
export class ModelReplicas {
  private readonly parts = new Map<number, ReplicaParts>()
  private readonly handlers = new Map<string, MessageHandler<ReplicaMessage>>()
  private waiting: { from: string, to: string, message: ReplicaMessage }[] = []

  private constructor (private readonly root: string, private readonly names: readonly string[]) {}

  static async create (root: string, count: number): Promise<ModelReplicas> {
    const names = Array.from({ length: count }, (_, at) => `replica-${at}`)
    const all = new ModelReplicas(root, names)
    for (let at = 0; at < count; at += 1) await all.boot(at, 'form')
    await all.exchange(() => true)
    return all
  }

  part (at: number): ReplicaParts {
    return this.parts.get(at) as ReplicaParts
  }

  async run (action: ModelAction): Promise<void> {
    await ACTIONS[action.kind](this, action)
    await this.waitUntilIdle()
  }

  async destroy (): Promise<void> {
    for (const part of this.parts.values()) {
      part.folder.losePower()
      await part.replica.abort()
    }
  }

  async boot (at: number, onEmptyFolder: 'form' | 'refuse' = 'refuse'): Promise<void> {
    const name = this.names[at] as string
    const folder = await FaultFolder.create(`${this.root}/${name}`)
    const clock = FakeClock.create()
    const machine = new ListStateMachine()
    const created = await Replica.create({
      cluster: 'model',
      name,
      folder,
      peers: this.names,
      onEmptyFolder,
      stateMachine: machine,
      join: (handler) => this.join(name, handler),
      clock,
      random: SeededRandom.create(at + 1),
      tuning: {
        electionTimeoutMilliseconds: NEVER_MILLISECONDS,
        proposalTimeoutMilliseconds: NEVER_MILLISECONDS,
        tickMilliseconds: HEARTBEAT_MILLISECONDS,
        heartbeatMilliseconds: HEARTBEAT_MILLISECONDS
      }
    })
    const part = { replica: created.unwrap(), machine, folder, clock }
    this.parts.set(at, part)
    part.replica.start()
    await this.waitUntilIdle()
    folder.hold('segment-')
  }

  async crash (at: number): Promise<void> {
    const { replica, folder } = this.part(at)
    folder.losePower()
    this.handlers.delete(this.names[at] as string)
    this.parts.delete(at)
    await replica.abort()
    await folder.dropUnsynced()
  }

  /** Starts an election with a `timeoutNow` message, which has the effect of an election timeout. */
  async campaign (at: number): Promise<void> {
    const name = this.names[at] as string
    this.waiting = this.waiting.filter((one) => one.from !== name)
    this.handlers.get(name)?.('replica-outside', {
      cluster: 'model',
      from: 'replica-outside',
      fromIncarnation: 'x',
      toIncarnation: '',
      term: this.part(at).replica.status().term,
      body: { $case: 'timeoutNow', value: {} }
    })
    await this.waitUntilIdle()
  }

  async vote (candidate: number, voter: number, answered: boolean): Promise<void> {
    const { term } = this.part(candidate).replica.status()
    const isNew = (message: ReplicaMessage): boolean => message.term === term || message.body?.$case !== 'voteRequest'
    const repeated = this.waiting.filter((one) => one.message.body?.$case === 'voteRequest')
    await this.deliver(candidate, voter, ['voteRequest'], isNew)
    this.waiting.push(...repeated.filter((one) => !this.waiting.includes(one)))
    if (answered) await this.deliver(voter, candidate, ['voteAnswer'])
    this.drop(voter, candidate, 'voteAnswer')
  }

  async sync (at: number): Promise<void> {
    const { folder } = this.part(at)
    folder.release()
    await this.waitUntilIdle()
    folder.hold('segment-')
  }

  /** Replicates the leader's log to the other replica; its acknowledgement stays undelivered until `acknowledge`. */
  async append (leader: number, other: number): Promise<void> {
    for (let round = 0; round < DELIVERY_ROUNDS; round += 1) {
      await this.part(leader).clock.advanceAsync(HEARTBEAT_MILLISECONDS)
      await this.waitUntilIdle()
      await this.deliver(leader, other, ['appendRequest'])
      await this.deliver(other, leader, ['appendAnswer'], (message) => isRefusal(message))
    }
  }

  async acknowledge (other: number, leader: number): Promise<void> {
    await this.deliver(other, leader, ['appendAnswer'])
  }

  /** Delivers accepted messages and drops the others, for a fixed number of rounds while all clocks advance. */
  async exchange (accepts: (message: ReplicaMessage) => boolean): Promise<void> {
    for (let round = 0; round < 4 * DELIVERY_ROUNDS; round += 1) {
      for (const part of this.parts.values()) await part.clock.advanceAsync(HEARTBEAT_MILLISECONDS)
      await this.waitUntilIdle()
      const due = this.waiting.splice(0)
      for (const { from, to, message } of due) if (accepts(message)) this.handlers.get(to)?.(from, message)
      await this.waitUntilIdle()
    }
  }

  private join (name: string, handler: MessageHandler<ReplicaMessage>) {
    this.handlers.set(name, handler)
    return { self: name, send: (to: string, message: ReplicaMessage) => { this.waiting.push({ from: name, to, message }) } }
  }

  private async deliver (from: number, to: number, cases: readonly Case[], accepts: (message: ReplicaMessage) => boolean = () => true): Promise<void> {
    const isDue = (one: { from: string, to: string, message: ReplicaMessage }): boolean => {
      const kind = one.message.body?.$case
      return one.from === this.names[from] && one.to === this.names[to] && kind !== undefined && cases.includes(kind) && accepts(one.message)
    }
    const due = this.waiting.filter(isDue)
    this.waiting = this.waiting.filter((one) => !due.includes(one))
    for (const one of due) this.handlers.get(one.to)?.(one.from, one.message)
    await this.waitUntilIdle()
  }

  private drop (from: number, to: number, kind: Case): void {
    this.waiting = this.waiting.filter((one) => one.from !== this.names[from] || one.to !== this.names[to] || one.message.body?.$case !== kind)
  }

  private async waitUntilIdle (): Promise<void> {
    for (let turn = 0; turn < 3; turn += 1) await flushPromises()
    while ([...this.parts.values()].some((part) => part.folder.pending > part.folder.heldOperations)) await flushPromises()
    for (let turn = 0; turn < 3; turn += 1) await flushPromises()
  }
}

function isRefusal (message: ReplicaMessage): boolean {
  return message.body?.$case === 'appendAnswer' && !message.body.value.accepted
}

const ACTIONS: Record<ModelAction['kind'], (all: ModelReplicas, action: ModelAction) => Promise<void>> = {
  campaign: (all, { at }) => all.campaign(at),
  vote: (all, { at, to, answered }) => all.vote(at, to as number, answered === true),
  propose: async (all, { at, command }) => { all.part(at).replica.propose(Buffer.from(command as string)) },
  append: (all, { at, to }) => all.append(at, to as number),
  sync: (all, { at }) => all.sync(at),
  acknowledge: (all, { at, to }) => all.acknowledge(at, to as number),
  crash: (all, { at }) => all.crash(at),
  restart: (all, { at }) => all.boot(at),
  cut: async () => {},
  heal: async () => {}
}

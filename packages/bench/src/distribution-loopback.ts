import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Server } from '@grpc/grpc-js'
import { ControlProposer } from '@hickoryspoke/control/control-proposer'
import { DistributionService } from '@hickoryspoke/control/distribution-service'
import { ConfigurationFollower } from '@hickoryspoke/entry/configuration-follower'
import { createFollowClient } from '@hickoryspoke/entry/follow-client'
import { DistributionService as DistributionDefinition } from '@hickoryspoke/protocol/generated/distribution'
import { ApplyOutcome } from '@hickoryspoke/protocol/generated/operator'
import { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import { Replica } from '@hickoryspoke/replication/replica'
import { sleep, SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'

const OPERATOR = { name: 'measure', role: 'operator' } as const
const POLL_MILLISECONDS = 1
const WAIT_TIMEOUT_MILLISECONDS = 60_000

/** One control replica with a journal on disk and entries that follow it over gRPC on loopback, all in this process. */
export class DistributionLoopback {
  private readonly followers: ConfigurationFollower[] = []
  private readonly tasks: AbortController[] = []
  private readonly clock = SystemClock.create()

  private constructor (
    private readonly server: Server,
    private readonly replica: Replica,
    private readonly proposer: ControlProposer,
    private readonly folder: string
  ) {}

  static async start (entries: number): Promise<DistributionLoopback> {
    const clock = SystemClock.create()
    const folder = await mkdtemp(join(tmpdir(), 'hickoryspoke-measure-'))
    const state = AcceptedState.create()
    const random = SeededRandom.create(1)
    const settings = { cluster: 'measure', name: 'control-1', folder, peers: ['control-1'], onEmptyFolder: 'form', stateMachine: state, clock, random } as const
    const replica = (await Replica.create(settings)).unwrap()
    const proposer = ControlProposer.create({ log: replica, state, clock, addressOf: () => undefined })
    const distribution = DistributionService.create({ log: replica, state, clock, logger: silentLogger(), leaderAddress: () => '' })
    const server = new Server()
    server.addService(DistributionDefinition, distribution.handlers())
    const credentials = InnerCredentials.create({ kind: 'plain_text' })
    const port = (await credentials.bind(server, '127.0.0.1:0')).unwrap()
    replica.start()
    const loopback = new DistributionLoopback(server, replica, proposer, folder)
    void distribution.run(loopback.startTask())
    await loopback.waitUntil(() => replica.role() === 'leader')
    for (let index = 0; index < entries; index += 1) loopback.startEntry(`entry-${index}`, `127.0.0.1:${port}`, credentials)
    await loopback.waitUntil(() => distribution.registry.entries().length === entries)
    return loopback
  }

  /** Applies a state in the encoding of the `apply` command and resolves when every entry has it. */
  async apply (state: Uint8Array, number: number): Promise<void> {
    const answer = await this.proposer.applyState(state, OPERATOR)
    if (answer.outcome !== ApplyOutcome.APPLY_OUTCOME_ACCEPTED) throw new Error(answer.message)
    await this.waitUntil(() => this.followers.every((follower) => follower.current()?.identity.number === number))
  }

  async stop (): Promise<void> {
    for (const task of this.tasks) task.abort()
    await this.replica.stop()
    this.server.forceShutdown()
    await rm(this.folder, { recursive: true })
  }

  private startEntry (name: string, address: string, credentials: InnerCredentials): void {
    const follower = ConfigurationFollower.create({
      clock: this.clock,
      random: SeededRandom.create(this.followers.length),
      logger: silentLogger(),
      identity: { name, zone: 'zone-1', region: 'south', peerAddress: '127.0.0.1:1', incarnation: name },
      control: [{ name: 'control-1', address }],
      network: { self: name, send: () => {} },
      open: createFollowClient(credentials),
      seedPeers: () => [],
      dataFolder: undefined,
      upstreamView: () => null
    })
    this.followers.push(follower)
    void follower.run(this.startTask())
  }

  private startTask (): AbortSignal {
    const task = new AbortController()
    this.tasks.push(task)
    return task.signal
  }

  private async waitUntil (isDone: () => boolean): Promise<void> {
    const end = this.clock.monotonicMilliseconds() + WAIT_TIMEOUT_MILLISECONDS
    while (!isDone()) {
      if (this.clock.monotonicMilliseconds() > end) throw new Error(`condition not met within ${WAIT_TIMEOUT_MILLISECONDS} ms`)
      await sleep(this.clock, POLL_MILLISECONDS)
    }
  }
}

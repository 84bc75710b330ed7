import { EventEmitter } from 'node:events'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { desiredStateSchema, formatDesiredState, type DesiredState } from '@hickoryspoke/configuration/desired-state'
import { ControlProposer } from '@hickoryspoke/control/control-proposer'
import { DistributionService } from '@hickoryspoke/control/distribution-service'
import { Enrolment } from '@hickoryspoke/control/enrolment'
import { FakeLog } from '@hickoryspoke/control/tests/fake-log'
import { ConfigurationFollower } from '@hickoryspoke/entry/configuration-follower'
import type { FollowStream } from '@hickoryspoke/entry/control-stream'
import { ControlUpdate as ControlUpdateMessage, type ControlUpdate, type EntryReport } from '@hickoryspoke/protocol/generated/distribution'
import type { FreshnessMessage } from '@hickoryspoke/protocol/generated/freshness'
import { ApplyOutcome, type ApplyAnswer } from '@hickoryspoke/protocol/generated/operator'
import { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'

const OPERATOR = { name: 'ana', role: 'operator' } as const

/** One direction of an in-memory stream. */
class AsyncQueue<Message> {
  private readonly queue: Message[] = []
  private wake: () => void = () => {}
  private isEnded = false

  push (message: Message): void {
    if (!this.isEnded) this.queue.push(message)
    this.wake()
  }

  end (): void {
    this.isEnded = true
    this.wake()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<Message> {
    for (;;) {
      for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) yield next
      if (this.isEnded) return
      await new Promise<void>((resolve) => { this.wake = resolve })
    }
  }
}

/** Control with one replica and an in-memory log, and entries that follow it over in-memory streams. */
export class DistributionFleet {
  readonly clock = FakeClock.create()
  readonly random = SeededRandom.create(11)
  readonly network = FakeNetwork.create<FreshnessMessage>(this.clock, this.random)
  readonly state = AcceptedState.create()
  readonly log = FakeLog.create(this.state)
  readonly service: DistributionService
  readonly proposer: ControlProposer
  readonly enrolment: Enrolment
  readonly followers = new Map<string, ConfigurationFollower>()
  /** Names of entries that cannot open a stream to control. */
  readonly unreachable = new Set<string>()
  isControlDown = false
  /** Bytes of configuration that control has sent. */
  pushedBytes = 0
  private readonly running = new Map<string, { readonly signal: AbortController, readonly ended: Promise<void> }>()
  private readonly streamCancels = new Map<string, () => void>()

  private constructor () {
    const { log, state, clock } = this
    this.proposer = ControlProposer.create({ log, state, clock, addressOf: () => undefined })
    this.service = DistributionService.create({ log, state, clock, logger: silentLogger(), leaderAddress: () => '' })
    this.enrolment = Enrolment.create({ log, state, registry: this.service.registry, proposer: this.proposer, clock })
    const { signal } = new AbortController()
    void this.service.run(signal)
    void this.enrolment.run(signal)
  }

  static create (): DistributionFleet {
    return new DistributionFleet()
  }

  start (name: string, seeds: readonly string[] = [], dataFolder?: string): ConfigurationFollower {
    const stop = new AbortController()
    const network = this.network.join(name, (from, message) => follower.handle(from, message))
    const follower = ConfigurationFollower.create({
      clock: this.clock,
      random: this.random,
      logger: silentLogger(),
      identity: { name, zone: `zone-${name.length % 3}`, region: 'south', peerAddress: `${name}:1`, incarnation: String(this.running.size) },
      control: [{ name: 'control-1', address: '127.0.0.1:9' }],
      network,
      open: () => this.connect(name),
      seedPeers: () => seeds,
      dataFolder,
      upstreamView: () => ({ seenBy: name })
    })
    this.followers.set(name, follower)
    this.running.set(name, { signal: stop, ended: follower.run(stop.signal) })
    return follower
  }

  /** Stops an entry without notice to the others; resolves when it has written its data to disk. */
  async stop (name: string): Promise<void> {
    const running = this.running.get(name)
    this.network.leave(name)
    this.followers.delete(name)
    this.streamCancels.get(name)?.()
    running?.signal.abort()
    await running?.ended
  }

  /** Closes the streams of some entries and keeps them from reconnecting. */
  partitionFromControl (names: Iterable<string>): void {
    for (const name of names) {
      this.unreachable.add(name)
      this.streamCancels.get(name)?.()
    }
  }

  async apply (state: DesiredState): Promise<ApplyAnswer> {
    const answer = await this.proposer.applyFile(formatDesiredState(state), OPERATOR)
    if (answer.outcome !== ApplyOutcome.APPLY_OUTCOME_ACCEPTED) throw new Error(answer.message)
    return answer
  }

  configurationNumbers (): number[] {
    return [...this.followers.values()].map((follower) => follower.current()?.identity.number ?? 0)
  }

  freshEntries (): string[] {
    return [...this.followers].filter(([, follower]) => follower.guard.isFresh()).map(([name]) => name)
  }

  private connect (name: string): FollowStream {
    const down = new AsyncQueue<ControlUpdate>()
    const up = new AsyncQueue<EntryReport>()
    const cancel = (): void => {
      down.end()
      up.end()
    }
    if (this.isControlDown || this.unreachable.has(name)) cancel()
    else void this.service.handlers().follow(this.createServerCall(up, down))
    this.streamCancels.set(name, cancel)
    return { write: (report) => up.push(report), cancel, [Symbol.asyncIterator]: () => down[Symbol.asyncIterator]() }
  }

  private createServerCall (up: AsyncQueue<EntryReport>, down: AsyncQueue<ControlUpdate>): ServerDuplexStream<EntryReport, ControlUpdate> {
    const call = Object.assign(new EventEmitter(), {
      write: (update: ControlUpdate, done?: () => void) => {
        if (update.body?.$case === 'configuration') this.pushedBytes += ControlUpdateMessage.encode(update).finish().length
        down.push(update)
        if (done !== undefined) this.clock.schedule(0, done)
      },
      end: () => down.end(),
      getAuthContext: () => ({}),
      writableEnded: false,
      destroyed: false,
      [Symbol.asyncIterator]: () => up[Symbol.asyncIterator]()
    })
    return call as unknown as ServerDuplexStream<EntryReport, ControlUpdate>
  }
}

/** Creates a state with customers, a key for each of them, and routes. */
export function createFleetState (number: number, customers: number, routes: number): DesiredState {
  return desiredStateSchema.parse({
    number,
    customers: Array.from({ length: customers }, (_, index) => ({ name: `customer-${index}`, rate: 10, burst: 20 })),
    keys: Array.from({ length: customers }, (_, index) => ({ customer: `customer-${index}`, digest: `sha256:${index.toString(16).padStart(64, '0')}` })),
    pools: [{ name: 'ledger', healthy_floor: 0.5 }],
    routes: Array.from({ length: routes }, (_, index) => ({ path: `/route-${index}`, pool: 'ledger', open: false, timeout_milliseconds: 2_000 }))
  })
}

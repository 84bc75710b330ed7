/** A control process that keeps the published document and, as leader, dispatches requests. */
import { Server } from '@grpc/grpc-js'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { LeaderConnection } from '@hickoryspoke/dispatch/leader-connection'
import { DispatchService } from '@hickoryspoke/dispatch/dispatch-service'
import type { OverageAllowance } from '@hickoryspoke/dispatch/customer-rate-limiter'
import type { RetryBudgetSettings } from '@hickoryspoke/dispatch/retry-budget'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import { DispatchService as DispatchDefinition } from '@hickoryspoke/protocol/generated/dispatch'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { GrpcReplicaNetwork } from '@hickoryspoke/replication/grpc-replica-network'
import { encodeDocument, PublishedDocumentState, type PublishedDocument } from '@hickoryspoke/replication/published-document'
import { Replica } from '@hickoryspoke/replication/replica'
import type { OnEmptyFolder } from '@hickoryspoke/replication/replica-storage'
import type { ReplicationFailure } from '@hickoryspoke/replication/replication-failure'
import { REPLICA_ROLE } from '@hickoryspoke/replication/replicated-log'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Metrics } from '@hickoryspoke/telemetry/metrics'
import { Ok, type Result } from 'ts-results-es'
import { createControlMetrics } from './dispatching-control-metrics.ts'
import { logReplicaEvent } from './replica-event-log.ts'

/** What the process takes from its settings. Addresses are IP:PORT of inner ports; times in milliseconds. */
export interface DispatchingControlSettings {
  /** Own inner address; it is the name of the replica as well. */
  readonly address: string
  readonly zone: string
  readonly cluster: string
  readonly folder: string
  readonly onEmptyFolder: OnEmptyFolder
  /** Control VMs of the settings; changed in place when the settings change. */
  readonly seeds: readonly string[]
  /** Silent replicas are replaced only while this many voters stay. */
  readonly minimumVoters: number
  /** The whole fleet starts for the first time, so that no customer has spent anything yet. */
  readonly firstOfFleet: boolean
  readonly budget: RetryBudgetSettings
  readonly overage: OverageAllowance
  /** Part of a pool's sound upstreams that must have requests. */
  readonly floorShare: number
  /** An upstream that is not announced for this long and does not answer requests is taken out. */
  readonly silentUpstreamMilliseconds: number
}

/** What the process takes from its surroundings. */
export interface DispatchingControlParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly credentials: InnerCredentials
  /** Reads a published document. */
  readonly decode: (document: PublishedDocument) => Result<ServingConfiguration, Failure>
}

const EXPIRY_CHECK_MILLISECONDS = 500
const ELECTION_TIMEOUT_MILLISECONDS = 600
const FIRST_ELECTION_MILLISECONDS = 300
const HEARTBEAT_MILLISECONDS = 150
const RETIRE_MILLISECONDS = 8_000
const PROPOSAL_TIMEOUT_MILLISECONDS = 2_500
const SHUTDOWN_MILLISECONDS = 300
/** An upstream that answers requests is kept this many times longer without announcements. */
const IN_USE_FACTOR = 4

/** One control process. */
export class DispatchingControl {
  readonly registry: UpstreamRegistry
  readonly metrics: Metrics
  private readonly service: DispatchService
  private readonly stopping = new AbortController()
  private readonly mirror: LeaderConnection
  private isPublishing = false

  private constructor (
    private readonly settings: DispatchingControlSettings,
    private readonly parts: DispatchingControlParts,
    private readonly server: Server,
    private readonly replica: Replica,
    private readonly state: PublishedDocumentState
  ) {
    const { clock, random, logger, credentials } = parts
    this.registry = UpstreamRegistry.create(clock)
    this.service = DispatchService.create({
      clock,
      logger,
      registry: this.registry,
      budget: settings.budget,
      overage: settings.overage,
      floorShare: settings.floorShare,
      startsWithFullBursts: () => settings.firstOfFleet && state.document === undefined,
      control: {
        isLeader: () => this.isLeader,
        leaderAddress: () => replica.leader() ?? '',
        controlAddresses: () => this.controlAddresses(),
        confirmNumber: async () => await this.confirmNumber()
      }
    })
    this.mirror = LeaderConnection.create({
      name: settings.address,
      zone: settings.zone,
      mirror: true,
      seeds: () => this.mirrorAddresses(),
      credentials,
      clock,
      random,
      logger,
      held: () => 0,
      running: () => [],
      knownUpstreams: () => this.registry.announcements(),
      admissionReport: () => ({ admitted: [], fleetShare: 0 }),
      wanted: () => !this.isLeader,
      listener: {
        placed: () => {},
        denied: () => {},
        configured: () => {},
        upstreamsChanged: (update) => this.registry.merge(update.upstreams),
        suspected: (suspicions) => this.service.receiveSuspicions(suspicions),
        connected: () => {},
        lost: () => {},
        questionSent: () => {},
        confirmed: () => {}
      }
    })
    state.onChange(() => this.schedulePublish())
    this.metrics = createControlMetrics(replica, state, this.service)
    server.addService(DispatchDefinition, this.service.handlers())
  }

  static async start (settings: DispatchingControlSettings, parts: DispatchingControlParts): Promise<Result<DispatchingControl, Failure>> {
    const { clock, random, logger, credentials } = parts
    const server = new Server()
    const state = PublishedDocumentState.create()
    const network = GrpcReplicaNetwork.create({ self: settings.address, addresses: {}, namesAreAddresses: true, credentials, clock, random })
    network.addTo(server)
    const replica = await Replica.create({
      cluster: settings.cluster,
      name: settings.address,
      folder: settings.folder,
      peers: settings.seeds,
      openMembership: { minimumVoters: settings.minimumVoters },
      onEmptyFolder: settings.onEmptyFolder,
      stateMachine: state,
      join: (handler) => network.join(handler),
      clock,
      random,
      report: (event) => logReplicaEvent(logger, event),
      tuning: {
        electionTimeoutMilliseconds: ELECTION_TIMEOUT_MILLISECONDS,
        firstElectionMilliseconds: FIRST_ELECTION_MILLISECONDS,
        heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
        retireMilliseconds: RETIRE_MILLISECONDS,
        proposalTimeoutMilliseconds: PROPOSAL_TIMEOUT_MILLISECONDS
      }
    })
    if (replica.isErr()) return replica
    const control = new DispatchingControl(settings, parts, server, replica.value, state)
    const port = await credentials.bind(server, settings.address)
    if (port.isErr()) return port
    control.publishDocument()
    replica.value.start()
    control.run()
    logger.info('control is listening', { address: settings.address, cluster: settings.cluster })
    return Ok(control)
  }

  get isLeader (): boolean {
    return this.replica.role() === REPLICA_ROLE.Leader
  }

  /** IP:PORT of the leader's inner port, or undefined. */
  get leader (): string | undefined {
    return this.replica.leader()
  }

  /** The document held now, which may not be the newest on a process that does not lead. */
  get held (): PublishedDocument | undefined {
    return this.state.document
  }

  /** Voters that share in decisions now. */
  get voters (): number {
    return this.replica.status().members.filter((member) => member.voter).length
  }

  /** Publishes a document; resolves once it, or a higher number, is in force for good. */
  async publish (document: PublishedDocument): Promise<Result<void, ReplicationFailure>> {
    const answer = await this.replica.propose(encodeDocument(document))
    return answer.map(() => undefined)
  }

  /** The newest document, as of a moment after the call. */
  async read (): Promise<Result<PublishedDocument | undefined, ReplicationFailure>> {
    const barrier = await this.replica.readBarrier()
    return barrier.map(() => this.state.document)
  }

  /** Resolves when storage has failed and the process cannot go on. */
  async whenFailed (): Promise<Failure | undefined> {
    return await this.replica.whenStopped()
  }

  /** Hands leadership over and closes the journal. */
  async stop (): Promise<void> {
    await this.replica.stop()
    this.service.updateLeadership()
    this.stopping.abort()
    const closed = new Promise<void>((resolve) => this.server.tryShutdown(() => resolve()))
    const timer = this.parts.clock.schedule(SHUTDOWN_MILLISECONDS, () => this.server.forceShutdown())
    await closed
    timer.cancel()
  }

  /** What would be lost if the process ended now; acknowledged documents are on disk. */
  unfinished (): string {
    return `leader known: ${this.leader ?? 'none'}`
  }

  private run (): void {
    const { signal } = this.stopping
    void this.service.run(signal)
    void this.mirror.run(signal)
    void repeatEvery(this.parts.clock, EXPIRY_CHECK_MILLISECONDS, signal, () => this.expireUpstreams())
  }

  private expireUpstreams (): void {
    if (!this.isLeader) return
    const now = this.parts.clock.monotonicMilliseconds()
    const { silentUpstreamMilliseconds } = this.settings
    const expired = this.registry.expire(silentUpstreamMilliseconds, (held) => {
      return !this.service.isInUse(held) || now - held.heardAt > IN_USE_FACTOR * silentUpstreamMilliseconds
    })
    for (const { announced } of expired) this.parts.logger.info('silent upstream taken out', { upstream: announced.instance, pool: announced.pool })
  }

  private async confirmNumber (): Promise<number | undefined> {
    const barrier = await this.replica.readBarrier()
    return barrier.isErr() ? undefined : this.state.document?.number ?? 0
  }

  /** Of documents that are applied together, as at a start, only the last is published. */
  private schedulePublish (): void {
    if (this.isPublishing) return
    this.isPublishing = true
    queueMicrotask(() => {
      this.isPublishing = false
      this.publishDocument()
    })
  }

  private publishDocument (): void {
    const document = this.state.document
    if (document === undefined) return
    const decoded = this.parts.decode(document)
    if (decoded.isErr()) {
      this.parts.logger.error('published document cannot be read', { number: document.number, reason: decoded.error.message })
      return
    }
    this.service.publish(decoded.value)
    this.parts.logger.info('document in force', { number: document.number, bytes: document.content.length, role: this.replica.role() })
  }

  private controlAddresses (): string[] {
    return [...new Set([...this.replica.status().members.map((member) => member.name), ...this.settings.seeds])]
  }

  private mirrorAddresses (): string[] {
    const leader = this.leader
    return leader === undefined || leader === this.settings.address ? this.controlAddresses() : [leader]
  }
}

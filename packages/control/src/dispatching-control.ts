/** A control process that replicates the published document and, while it leads, dispatches the fleet's requests. */
import { Server } from '@grpc/grpc-js'
import { ColdUpstreams } from '@hickoryspoke/dispatch/cold-upstreams'
import { LeaderConnection } from '@hickoryspoke/dispatch/leader-connection'
import { DispatchService } from '@hickoryspoke/dispatch/dispatch-service'
import type { ConfirmedNumber } from '@hickoryspoke/dispatch/number-confirmations'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import { ZoneEvacuations } from '@hickoryspoke/dispatch/zone-evacuations'
import { DispatchMessage, DispatchService as DispatchDefinition, EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { FramedConnection } from '@hickoryspoke/protocol/framed-connection'
import { InnerListener } from '@hickoryspoke/protocol/inner-listener'
import { ControlState, encodeDocumentCommand } from '@hickoryspoke/replication/control-state'
import { GrpcReplicaNetwork } from '@hickoryspoke/replication/grpc-replica-network'
import type { PublishedDocument } from '@hickoryspoke/replication/published-document'
import { Replica } from '@hickoryspoke/replication/replica'
import type { ReplicationFailure } from '@hickoryspoke/replication/replication-failure'
import { REPLICA_SERVER_OPTIONS } from '@hickoryspoke/replication/replica-link'
import { createRecoveryTuning } from '@hickoryspoke/replication/replica-tuning'
import { repeatEvery } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { Metrics } from '@hickoryspoke/telemetry/metrics'
import { Ok, type Result } from 'ts-results-es'
import { AnnouncementRelay } from './announcement-relay.ts'
import { reportCosts } from './cost-report.ts'
import { DepartureLog } from './departure-log.ts'
import type { DispatchingControlOptions, DispatchingControlSettings } from './dispatching-control-settings.ts'
import { createControlMetrics } from './dispatching-control-metrics.ts'
import { reportLoad } from './load-report.ts'
import { logReplicaEvent, logStorageFailure } from './replica-event-log.ts'
import { shutDownServer } from './server-shutdown.ts'
import { ZoneEvacuationLog } from './zone-evacuation-log.ts'

/** Codecs of the server's side of a framed connection. */
const SERVER_CODECS = { sent: DispatchMessage, received: EntryMessage }
const EXPIRY_CHECK_MILLISECONDS = 500
const SHUTDOWN_MILLISECONDS = 300
/** A request that was placed just before the entry's view expired reaches its upstream within this time. */
const PLACED_REQUEST_MILLISECONDS = 500
/** An upstream that answers requests is kept this many times as long without announcements. */
const IN_USE_FACTOR = 4

/** Runs the replica, the dispatch service, and a connection that mirrors the leader's upstreams while another process leads. */
export class DispatchingControl {
  readonly registry: UpstreamRegistry
  readonly metrics: Metrics
  /** Announcements accepted here while another process leads. */
  readonly announcements: AnnouncementRelay
  private readonly service: DispatchService
  private readonly departures: DepartureLog
  private readonly evacuations: ZoneEvacuationLog
  private readonly stopping = new AbortController()
  private readonly mirror: LeaderConnection
  private readonly listener: InnerListener
  private isPublishing = false
  /** What a stop waits for now. */
  private stopStage: 'nothing' | 'replica' | 'streams' = 'nothing'

  private constructor (
    private readonly settings: DispatchingControlSettings,
    private readonly options: DispatchingControlOptions,
    private readonly server: Server,
    private readonly replica: Replica,
    private readonly state: ControlState
  ) {
    const { clock, random, logger, credentials } = options
    this.registry = UpstreamRegistry.create(clock, logger, ColdUpstreams.create(settings.warmup))
    const zones = ZoneEvacuations.create(clock, this.registry, settings.zoneRegions)
    this.registry.cold.presume((instance) => zones.isPresumedCold(instance))
    zones.onChange(() => this.registry.cold.recordChange())
    this.evacuations = ZoneEvacuationLog.create({ clock, logger, zones, committed: state.zones, log: replica })
    this.service = DispatchService.create({
      clock,
      logger,
      registry: this.registry,
      budget: settings.budget,
      overage: settings.overage,
      floorShare: settings.floorShare,
      policy: settings.policy,
      newsLimitMilliseconds: Math.max(0, settings.freshMilliseconds - settings.applyMilliseconds + PLACED_REQUEST_MILLISECONDS),
      zones,
      zoneLimitMilliseconds: Math.max(0, settings.freshMilliseconds - (settings.evacuateMilliseconds ?? Infinity) + PLACED_REQUEST_MILLISECONDS),
      startsWithFullBursts: () => settings.firstOfFleet && this.held === undefined,
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
      relay: '',
      isRelaying: () => false,
      seeds: () => this.mirrorAddresses(),
      credentials,
      clock,
      random,
      logger,
      held: () => undefined,
      running: () => [],
      knownUpstreams: () => this.registry.encodedAnnouncements(),
      upstreamDigest: () => this.registry.digest(),
      knownLimits: () => [],
      admissionReport: () => ({ admitted: [], fleetShare: 0 }),
      // The next leader starts from what this connection brings.
      isWaiting: () => true,
      wanted: () => !this.isLeader,
      listener: {
        placed: () => {},
        denied: () => {},
        overdue: () => {},
        configured: () => {},
        upstreamsChanged: (update) => this.registry.mergeEncoded(update.upstreams),
        suspected: (suspicions) => this.service.handover.receiveSuspicions(suspicions),
        limited: (limits) => this.service.handover.receiveLimits(limits),
        // Control VMs know the zones from the log.
        zonesChanged: () => {},
        connected: () => {},
        lost: () => {},
        questionSent: () => {},
        confirmed: () => {}
      }
    })
    this.announcements = AnnouncementRelay.create(this.registry, this.mirror)
    this.departures = DepartureLog.create({ registry: this.registry, committed: state.departures, log: replica })
    state.documents.onChange(() => this.schedulePublish())
    this.metrics = createControlMetrics(replica, state.documents, this.service, zones)
    server.addService(DispatchDefinition, this.service.handlers())
    this.listener = InnerListener.create({
      credentials, grpc: server, logger, framed: (socket) => this.service.acceptStream(FramedConnection.accept(socket, SERVER_CODECS))
    })
  }

  static async start (settings: DispatchingControlSettings, options: DispatchingControlOptions): Promise<Result<DispatchingControl, Failure>> {
    const { clock, random, logger, credentials } = options
    const server = new Server(REPLICA_SERVER_OPTIONS)
    const state = ControlState.create()
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
      tuning: createRecoveryTuning(settings.catchUpMilliseconds)
    })
    if (replica.isErr()) return replica
    const control = new DispatchingControl(settings, options, server, replica.value, state)
    const port = await control.listener.listen(settings.address)
    if (port.isErr()) return port
    control.publishDocument()
    replica.value.start()
    control.run()
    void logStorageFailure(logger, replica.value)
    logger.info('control is listening', { address: settings.address, cluster: settings.cluster })
    return Ok(control)
  }

  /** Whether this process leads and has applied all that earlier leaders acknowledged. */
  get isLeader (): boolean {
    return this.replica.hasAppliedEarlierTerms()
  }

  /** IP:PORT of the leader's inner port; undefined when unknown. */
  get leader (): string | undefined {
    return this.replica.leader()
  }

  /** The document held by this replica, which may be outdated unless it leads. */
  get held (): PublishedDocument | undefined {
    return this.state.documents.document
  }

  /** Current number of voting replicas. */
  get voters (): number {
    return this.replica.status().members.filter((member) => member.voter).length
  }

  /** Publishes a document; resolves once it, or one with a higher number, is committed. */
  async publish (document: PublishedDocument): Promise<Result<void, ReplicationFailure>> {
    const answer = await this.replica.propose(encodeDocumentCommand(document))
    return answer.map(() => undefined)
  }

  /** Resolves once the newest document may be acknowledged, with false when this process does not lead until then. */
  async isDocumentKnown (): Promise<boolean> {
    this.service.updateLeadership()
    return await this.service.isConfigurationKnown()
  }

  /** The same for the departure of an upstream. */
  async isDepartureKnown (instance: string): Promise<boolean> {
    this.service.updateLeadership()
    const [isRecorded, isKnown] = await Promise.all([this.departures.record(instance), this.service.isDepartureKnown(instance)])
    return isRecorded && isKnown && await this.confirmNumber() !== undefined
  }

  /** Evacuates a zone or takes it back. Resolves once that may be acknowledged, with false when this process does not lead until then. */
  async setEvacuation (zone: string, isEvacuated: boolean): Promise<Result<boolean, ReplicationFailure>> {
    const recorded = await this.evacuations.set(zone, isEvacuated)
    if (recorded.isErr()) return recorded
    this.service.updateLeadership()
    return Ok(await this.service.isEvacuationKnown())
  }

  /** Reads the newest document, as of some moment after the call. */
  async read (): Promise<Result<PublishedDocument | undefined, ReplicationFailure>> {
    const barrier = await this.replica.readBarrier()
    return barrier.map(() => this.held)
  }

  /** Resolves when the replica has stopped; with a failure if storage failed, after which the process must end. */
  async whenFailed (): Promise<Failure | undefined> {
    return await this.replica.whenStopped()
  }

  /** Hands leadership over, closes the journal and ends all streams. */
  async stop (): Promise<void> {
    this.stopStage = 'replica'
    await this.replica.stop()
    this.stopStage = 'streams'
    this.service.updateLeadership()
    this.stopping.abort()
    this.listener.close()
    await shutDownServer(this.server, this.options.clock, SHUTDOWN_MILLISECONDS)
  }

  /** Describes unfinished work for the log of a stop; acknowledged documents are already on disk. */
  unfinished (): string {
    return `stop waits for: ${this.stopStage}, leader known: ${this.leader ?? 'none'}`
  }

  private run (): void {
    const { signal } = this.stopping
    void this.service.run(signal)
    void this.mirror.run(signal)
    const { clock, logger } = this.options
    void this.announcements.run(clock, signal)
    void reportLoad({ clock, logger, metrics: this.metrics, service: this.service, isLeader: () => this.isLeader }, signal)
    void reportCosts(clock, logger, this.service, signal)
    void repeatEvery(clock, EXPIRY_CHECK_MILLISECONDS, signal, () => this.expireUpstreams())
  }

  private expireUpstreams (): void {
    if (!this.isLeader) return
    const now = this.options.clock.monotonicMilliseconds()
    const { silentUpstreamMilliseconds } = this.settings
    const expired = this.registry.expire(silentUpstreamMilliseconds, (held) => {
      return !this.service.isInUse(held) || now - held.heardAt > IN_USE_FACTOR * silentUpstreamMilliseconds
    })
    for (const { announced } of expired) this.options.logger.info('silent upstream taken out', { upstream: announced.instance, pool: announced.pool })
  }

  /** The newest document's number; undefined when leadership cannot be confirmed. */
  private async confirmNumber (): Promise<ConfirmedNumber | undefined> {
    const barrier = await this.replica.readBarrier()
    return barrier.isErr() ? undefined : { number: this.held?.number }
  }

  /** Publishes in a microtask, so that of several documents applied together, as at a start, only the last is published. */
  private schedulePublish (): void {
    if (this.isPublishing) return
    this.isPublishing = true
    queueMicrotask(() => {
      this.isPublishing = false
      this.publishDocument()
    })
  }

  private publishDocument (): void {
    const document = this.held
    if (document === undefined) return
    const decoded = this.options.decode(document)
    if (decoded.isErr()) {
      this.options.logger.error('published document cannot be decoded', { number: document.number, reason: decoded.error.message })
      return
    }
    this.service.publish(decoded.value)
    this.options.logger.info('document in force', { number: document.number, bytes: document.content.length, role: this.replica.role() })
  }

  private controlAddresses (): string[] {
    return [...new Set([...this.replica.status().members.map((member) => member.name), ...this.settings.seeds])]
  }

  /** Addresses for the mirror connection: the leader if another process leads, otherwise all control VMs. */
  private mirrorAddresses (): string[] {
    const leader = this.leader
    return leader === undefined || leader === this.settings.address ? this.controlAddresses() : [leader]
  }
}

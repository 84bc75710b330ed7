import type { Server } from 'node:http'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { ActiveConfiguration } from '@hickoryspoke/dispatch/active-configuration'
import { ColdUpstreams, type WarmupAllowance } from '@hickoryspoke/dispatch/cold-upstreams'
import { LeaderConnection } from '@hickoryspoke/dispatch/leader-connection'
import { LocalPlacer } from '@hickoryspoke/dispatch/local-placer'
import { PlacementClient } from '@hickoryspoke/dispatch/placement-client'
import { ReceivedZones } from '@hickoryspoke/dispatch/received-zones'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import type { ServingUpdate, ZoneList } from '@hickoryspoke/protocol/generated/dispatch'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import type { Connector } from '@hickoryspoke/request/connector'
import type { Dialect } from '@hickoryspoke/request/dialect'
import { DispatchedRunner } from '@hickoryspoke/request/dispatched-runner'
import { ServingTable } from '@hickoryspoke/request/serving-table'
import { splitAddress } from '@hickoryspoke/runtime/address'
import type { ClientLimiter } from '@hickoryspoke/runtime/client-limiter'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { DEFAULT_PROCESS_LIMITS, entryCapacity, type ProcessLimits } from '@hickoryspoke/runtime/process-capacity'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { usedProcessorMilliseconds } from '@hickoryspoke/telemetry/event-loop-monitor'
import { registerLimiterMetrics } from '@hickoryspoke/telemetry/limiter-metrics'
import type { Metrics } from '@hickoryspoke/telemetry/metrics'
import { Ok, type Result } from 'ts-results-es'
import { createCallerLimiter } from './caller-limits.ts'
import { CallerServer } from './caller-server.ts'
import { DispatchedEntryMetrics } from './dispatched-entry-metrics.ts'
import { EntryLifecycle, EntryPhase } from './entry-lifecycle.ts'
import { reportEntryLoad } from './entry-load-report.ts'
import { createReadinessServer } from './readiness-server.ts'
import { UpstreamAccess } from './upstream-access.ts'

/** Settings of a `DispatchedEntry`. Addresses are IP:PORT. */
export interface DispatchedEntrySettings {
  readonly name: string
  readonly zone: string
  /** Region by availability zone; none is known by default. */
  readonly zoneRegions?: ReadonlyMap<string, string>
  readonly callers: string
  /** Memory and descriptors that the process may use; by default those of the smallest machines. */
  readonly limits?: ProcessLimits
  readonly readiness: string
  readonly readinessPath: string
  /** Where this entry connects others to upstreams that they cannot reach. */
  readonly relay: string
  /** How long a confirmation that the configuration is in force remains valid. */
  readonly freshMilliseconds: number
  /** Window over which a customer's rate is measured. */
  readonly rateWindowMilliseconds: number
  /** By how much cold upstreams may get more requests in a second than they tolerate; nothing by default. */
  readonly warmup?: WarmupAllowance
  /** Whether requests that may be repeated use connections that upstreams keep open; not by default. */
  readonly reuseConnections?: boolean
  /** Whether refused callers are told different times to return, in fractions of a second; false by default. */
  readonly spreadsReturns?: boolean
  /** Time from the stop signal until the process must have ended. */
  readonly stopMilliseconds: number
  /** Inner addresses of control VMs; called for each new connection. */
  readonly seeds: () => readonly string[]
}

/** Dependencies of a `DispatchedEntry`. */
export interface DispatchedEntryOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly credentials: InnerCredentials
  readonly dialect: Dialect
  /** Opens connections to upstreams; by default over this VM's own network. */
  readonly connector?: Connector
}

/** An entry that has had no dispatcher for this long is not ready, so that callers are sent to other entries. */
const READY_WITHOUT_DISPATCHER_MILLISECONDS = 2_000
/** How long callers are still served after the stop signal, so that the load balancer can notice that the entry is not ready. */
const ANNOUNCE_MILLISECONDS = 2_600
/** Time reserved at the end of a stop for closing connections. */
const CLOSE_RESERVE_MILLISECONDS = 500

/** An entry process whose upstreams are chosen by the dispatcher, from start to graceful stop. */
export class DispatchedEntry {
  private readonly stopping = new AbortController()
  private readonly lifecycle: EntryLifecycle
  private readonly entryMetrics = DispatchedEntryMetrics.create()
  private readonly registry: UpstreamRegistry
  private readonly inForce: ActiveConfiguration
  private readonly zones: ReceivedZones
  private readonly placer: LocalPlacer
  private readonly placementClient: PlacementClient
  private readonly link: LeaderConnection
  private readonly upstreams: UpstreamAccess
  private readonly runner: DispatchedRunner
  private readonly limiter: ClientLimiter
  private readonly callers: CallerServer
  private readonly readiness: Server
  private table: ServingTable | undefined
  /** Number of entries of the fleet as last reported by the leader; 0 while unknown. */
  private entries = 0

  private constructor (private readonly settings: DispatchedEntrySettings, private readonly options: DispatchedEntryOptions) {
    const { clock, random, logger, credentials, dialect } = options
    const { name, zone } = settings
    this.lifecycle = EntryLifecycle.create((phase) => logger.info('phase changed', { phase }))
    this.registry = UpstreamRegistry.create(clock, logger, ColdUpstreams.create(settings.warmup))
    this.inForce = ActiveConfiguration.create(clock, settings.freshMilliseconds)
    this.inForce.onChange((configuration) => this.applyConfiguration(configuration))
    this.zones = ReceivedZones.create(this.registry, settings.zoneRegions)
    this.registry.cold.presume((instance) => this.zones.isPresumedCold(instance))
    this.placer = LocalPlacer.create({
      clock, random, registry: this.registry, entry: name, zone, windowMilliseconds: settings.rateWindowMilliseconds, zones: this.zones
    })
    this.placementClient = PlacementClient.create({
      clock,
      placer: this.placer,
      isLeaving: (instance) => this.registry.isLeaving(instance),
      ask: (value) => this.link.send({ body: { $case: 'question', value } }),
      sendEnd: (value) => this.link.send({ body: { $case: 'end', value } }),
      spread: settings.spreadsReturns === true ? random : undefined
    })
    this.link = LeaderConnection.create({
      name,
      zone,
      mirror: false,
      relay: settings.relay,
      isRelaying: () => this.upstreams.relay.isAvailable,
      seeds: settings.seeds,
      credentials,
      clock,
      random,
      logger,
      held: () => this.inForce.number,
      running: () => this.placementClient.running(),
      knownUpstreams: () => this.registry.encodedAnnouncements(),
      upstreamDigest: () => this.registry.digest(),
      knownLimits: () => this.placer.statedLimits(),
      admissionReport: () => this.placer.report(this.entries),
      isWaiting: () => this.placementClient.isWaiting,
      wanted: () => true,
      listener: {
        placed: (placement) => this.placementClient.receivePlacement(placement),
        denied: (denial) => this.placementClient.receiveDenial(denial),
        overdue: (ticket) => this.placementClient.receiveOverdue(ticket),
        configured: (update) => this.receiveConfiguration(update),
        upstreamsChanged: (update) => this.registry.mergeEncoded(update.upstreams),
        suspected: (suspicions) => this.placer.adoptSuspicions(suspicions),
        limited: (limits) => this.placer.adoptLimits(limits),
        zonesChanged: (list) => this.receiveZones(list),
        connected: () => this.placementClient.connected(),
        lost: () => this.lost(),
        questionSent: (question) => this.inForce.recordQuestion(question),
        confirmed: ({ question, number, entries, relays, relayZones, position }) => {
          this.entries = entries
          this.placer.takeSeat(entries, position)
          this.upstreams.useRelays(relays, relayZones)
          this.inForce.confirm(question, number)
        }
      }
    })
    const { limits = DEFAULT_PROCESS_LIMITS } = settings
    this.upstreams = UpstreamAccess.create({
      clock,
      logger,
      capacity: entryCapacity(limits),
      connector: options.connector,
      reuseConnections: settings.reuseConnections,
      isUpstream: (address) => this.registry.isPresent(address),
      isUnwanted: (address) => this.placer.isUnwanted(this.registry.instanceAt(address))
    })
    this.runner = DispatchedRunner.create({
      clock,
      random,
      dialect,
      connections: this.upstreams.connections,
      placementClient: this.placementClient,
      inForce: this.inForce,
      table: () => this.table,
      mayRelayThrough: (relay, allowedRegions) => this.zones.isAllowed(this.upstreams.zoneOfRelay(relay), allowedRegions),
      spreadsReturns: settings.spreadsReturns
    }, logger, this.entryMetrics)
    this.entryMetrics.follow({
      inForce: this.inForce,
      placementClient: this.placementClient,
      inFlight: () => this.runner.inFlight,
      isReady: () => this.isReady,
      isCutOff: () => this.upstreams.isCutOff,
      relayedConnections: () => this.upstreams.relay.connections,
      evacuatedZones: () => this.zones.zones()
    })
    const { host, port } = splitAddress(settings.callers)
    this.limiter = createCallerLimiter(clock, limits, logger)
    registerLimiterMetrics(this.entryMetrics.metrics, this.limiter)
    this.callers = CallerServer.create({ clock, runner: this.runner, host, port, limiter: this.limiter })
    this.readiness = createReadinessServer(settings.readinessPath, () => this.isReady)
  }

  static async start (settings: DispatchedEntrySettings, options: DispatchedEntryOptions): Promise<Result<DispatchedEntry, Failure>> {
    const entry = new DispatchedEntry(settings, options)
    const listening = await entry.callers.listen()
    if (listening.isErr()) return listening
    const { host, port } = splitAddress(settings.readiness)
    entry.readiness.listen(port, host)
    entry.upstreams.relay.listen(settings.relay)
    void entry.link.run(entry.stopping.signal)
    entry.reportLoad()
    entry.lifecycle.send('ready')
    options.logger.info('entry is listening', { callers: settings.callers, zone: settings.zone })
    return Ok(entry)
  }

  /** Metrics of this entry. */
  get metrics (): Metrics {
    return this.entryMetrics.metrics
  }

  /** Whether the load balancer should send callers here. */
  get isReady (): boolean {
    if (this.lifecycle.phase !== EntryPhase.Serving || this.table === undefined || this.limiter.isFull()) return false
    return this.upstreams.isReaching && this.inForce.isFresh() && this.placementClient.withoutDispatcherMilliseconds < READY_WITHOUT_DISPATCHER_MILLISECONDS
  }

  /** Number of other entries that offer to relay connections, as last reported by the leader. */
  get knownRelays (): number {
    return this.upstreams.knownRelays
  }

  /**
   * Stops gracefully: reports not ready, serves requests until the load balancer can have noticed, and ends when the
   * requests in flight have finished or the time is up.
   */
  async stop (): Promise<void> {
    const { clock, logger } = this.options
    const startedAt = clock.monotonicMilliseconds()
    this.lifecycle.send('drain')
    const finishMilliseconds = this.settings.stopMilliseconds - ANNOUNCE_MILLISECONDS - CLOSE_RESERVE_MILLISECONDS
    const [report] = await Promise.all([
      this.callers.drain({ announceMilliseconds: ANNOUNCE_MILLISECONDS, finishMilliseconds }),
      this.upstreams.relay.drain(ANNOUNCE_MILLISECONDS + finishMilliseconds)
    ])
    this.stopping.abort()
    logger.info('entry stopped', {
      milliseconds: Math.round(clock.monotonicMilliseconds() - startedAt),
      finished: report.finished,
      lost: report.lost.length,
      unconfirmed: report.unconfirmed
    })
    this.lifecycle.send('stop')
    this.upstreams.close()
    this.readiness.closeAllConnections()
    this.readiness.close()
  }

  /** Describes the requests that would be lost if the process ended now. */
  unfinished (): string {
    return `${this.runner.inFlight} requests in flight`
  }

  private reportLoad (): void {
    const { clock, logger } = this.options
    void reportEntryLoad({
      clock,
      logger,
      processorMilliseconds: usedProcessorMilliseconds,
      endedRequests: () => this.runner.ended,
      readMessageCounts: () => this.link.readCounts()
    }, this.stopping.signal)
  }

  private applyConfiguration (configuration: ServingConfiguration): void {
    this.table = ServingTable.create(configuration)
    this.registry.usePools(configuration.pools)
    const { bounds } = configuration
    this.callers.updateLimits({
      maximumHeaderBytes: bounds.maximumHeaderBytes,
      headersTimeoutMilliseconds: bounds.headerTimeoutMilliseconds,
      idleTimeoutMilliseconds: bounds.idleTimeoutMilliseconds
    })
    this.options.logger.info('configuration in force', { number: configuration.number, routes: configuration.routes.length })
  }

  private receiveConfiguration (update: ServingUpdate): void {
    const applied = this.inForce.applyUpdate(update)
    if (applied.isOk()) return
    this.options.logger.error('configuration could not be applied', { number: update.number, reason: applied.error.message })
    this.link.reconnect()
  }

  private receiveZones (list: ZoneList): void {
    const isChanged = this.zones.receive(list)
    this.registry.cold.recordChange()
    if (isChanged) this.options.logger.info('evacuated zones changed', { zones: list.evacuated.join(' ') })
  }

  /** Lets this entry place requests by itself until it has a dispatcher again. */
  private lost (): void {
    this.placer.startStandalone(this.entries, (customer) => this.table?.rateTermsOf(customer))
    this.placementClient.lost()
  }
}

import { randomUUID } from 'node:crypto'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { reportHealthEvents } from '@hickoryspoke/health/health-event'
import { Standing } from '@hickoryspoke/health/pool-standing'
import { PoolBalancer } from '@hickoryspoke/health/pool-balancer'
import { UpstreamHealth } from '@hickoryspoke/health/upstream-health'
import { FleetLimiter } from '@hickoryspoke/limits/fleet-limiter'
import { AnnouncementRegistry } from '@hickoryspoke/membership/announcement-registry'
import { GrpcPeerNetwork } from '@hickoryspoke/protocol/grpc-peer-network'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import type { RequestTables } from '@hickoryspoke/request/collaborators'
import { FleetClaims } from '@hickoryspoke/request/fleet-claims'
import { FleetCrashDetector } from '@hickoryspoke/request/fleet-crash-detector'
import { KeyTable } from '@hickoryspoke/request/key-table'
import { DEFAULT_BODY_LIMITS } from '@hickoryspoke/request/request-body'
import { RequestRunner } from '@hickoryspoke/request/request-runner'
import { RouteTable } from '@hickoryspoke/request/route-table'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { Metrics } from '@hickoryspoke/telemetry/metrics'
import { ConfigurationFollower } from './configuration-follower.ts'
import { EntryMetrics } from './entry-metrics.ts'
import type { EntrySettings } from './entry-settings.ts'
import { createFollowClient } from './follow-client.ts'
import type { CurrentConfiguration } from './held-configuration.ts'
import { PoolQueues } from './pool-queues.ts'
import { probeUpstream } from './upstream-probe.ts'

/** Clock, random source and logger of an entry process. */
export interface EntryEnvironment {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
}

const NO_TABLES: RequestTables = { routes: RouteTable.create([]), keys: KeyTable.create([]) }

/** Creates the services of one entry and connects them with each other and with the peer network. */
export class EntryServices {
  readonly network: GrpcPeerNetwork
  readonly follower: ConfigurationFollower
  readonly registry: AnnouncementRegistry
  readonly health: UpstreamHealth
  readonly balancer: PoolBalancer
  readonly limiter: FleetLimiter
  readonly queues: PoolQueues
  readonly claims: FleetClaims
  readonly crashes: FleetCrashDetector
  readonly connections: UpstreamConnections
  readonly metrics: EntryMetrics
  readonly runner: RequestRunner
  private readonly incarnation = randomUUID()
  private readonly metricsRegistry = Metrics.create()
  private tables = NO_TABLES
  private appliedDigest = ''
  private peerAddresses: ReadonlyMap<string, string>
  private readonly seeds: ReadonlyMap<string, string>

  private constructor (
    private readonly settings: EntrySettings,
    private readonly environment: EntryEnvironment,
    credentials: InnerCredentials,
    peerAddress: string
  ) {
    const { clock, random, logger } = environment
    const { zone, name: self } = settings
    this.seeds = new Map(settings.seed_peers.map((peer) => [peer.name, peer.address]))
    this.peerAddresses = this.seeds
    this.network = GrpcPeerNetwork.create({ self, credentials, clock, random, logger, addressOf: (peer) => this.peerAddresses.get(peer) })
    this.follower = this.createFollower(credentials, peerAddress)
    const epochLease = this.follower.guard
    const gossip = this.network.join('gossip', (from, message) => this.registry.receive(from, message))
    this.registry = AnnouncementRegistry.create({ clock, random, network: gossip, zone })
    const evidence = this.network.join('evidence', (from, message) => this.health.receive(from, message))
    this.health = UpstreamHealth.create({
      clock,
      random,
      network: evidence,
      zone,
      registry: this.registry,
      epochLease,
      probe: probeUpstream,
      onEvent: reportHealthEvents(logger, this.metricsRegistry)
    })
    this.balancer = PoolBalancer.create({ clock, random, health: this.health, self, zone, entryZones: () => this.entryZones() })
    const shares = this.network.join('share', (from, message) => this.limiter.receive(from, message))
    this.limiter = FleetLimiter.create({ network: shares, clock, random, epochLease })
    this.queues = PoolQueues.create({ clock, usableSlots: (pool) => this.usableSlots(pool), liveEntries: () => this.entryZones().length })
    const claims = this.network.join('claim', (from, message) => this.claims.receive(from, message))
    this.claims = FleetClaims.create({ clock, random, network: claims, epochLease, incarnation: this.incarnation })
    const crashes = this.network.join('crash', (from, message) => this.crashes.receive(from, message))
    this.crashes = FleetCrashDetector.create({ clock, random, network: crashes, wentDown: async (address, since) => await this.wentDown(address, since) })
    this.connections = UpstreamConnections.create(clock)
    this.metrics = this.createMetrics()
    this.runner = this.createRunner()
    this.follower.onChange((current) => this.apply(current))
  }

  static create (settings: EntrySettings, environment: EntryEnvironment, credentials: InnerCredentials, peerAddress: string): EntryServices {
    return new EntryServices(settings, environment, credentials, peerAddress)
  }

  /** Runs every background task until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.follower.run(signal),
      this.registry.start(signal),
      this.health.start(signal),
      this.balancer.start(signal),
      this.queues.run(signal),
      this.claims.run(signal)
    ])
  }

  private createFollower (credentials: InnerCredentials, peerAddress: string): ConfigurationFollower {
    const { name, zone, region, control, data_folder: dataFolder } = this.settings
    return ConfigurationFollower.create({
      ...this.environment,
      identity: { name, zone, region, peerAddress, incarnation: this.incarnation },
      control,
      network: this.network.join('freshness', (from, message) => this.follower.handle(from, message)),
      open: createFollowClient(credentials),
      seedPeers: () => [...this.seeds.keys()],
      dataFolder,
      upstreamView: () => this.health.view()
    })
  }

  private createMetrics (): EntryMetrics {
    const { clock, logger } = this.environment
    const { guard } = this.follower
    return EntryMetrics.create(logger, this.metricsRegistry, {
      configurationNumber: () => this.follower.current()?.identity.number ?? 0,
      membershipEpoch: () => guard.epoch(),
      freshForMilliseconds: () => guard.freshUntilMilliseconds() - clock.monotonicMilliseconds(),
      limiter: () => this.limiter.view(),
      upstreams: () => this.health.view(),
      queues: this.queues,
      peerLinks: () => this.network.linkStatistics()
    })
  }

  private createRunner (): RequestRunner {
    return RequestRunner.create({
      clock: this.environment.clock,
      random: this.environment.random,
      tables: { current: () => this.tables },
      freshness: this.follower.guard,
      admission: this.limiter,
      balancer: { pick: (question) => this.balancer.pick({ ...question, exclude: new Set(question.exclude) }) },
      connections: this.connections,
      connectionsPerUpstream: (pool) => this.balancer.connectionsPerUpstream(pool),
      queue: this.queues,
      claims: this.claims,
      crashes: this.crashes,
      bodyLimits: { ...DEFAULT_BODY_LIMITS, maximumBytes: this.settings.callers.body_bytes },
      observer: this.metrics
    })
  }

  private apply ({ state, membership, identity }: CurrentConfiguration): void {
    if (this.appliedDigest !== identity.digest) {
      this.tables = { routes: RouteTable.create(state.routes), keys: KeyTable.create(state.keys) }
      this.limiter.applyCustomers(state.customers)
      this.health.applyPools(state.pools)
      this.queues.apply(state.customers, state.pools)
      this.appliedDigest = identity.digest
      this.environment.logger.info('configuration in force', { number: identity.number, digest: identity.digest })
    }
    this.applyMembership(membership)
  }

  private applyMembership (membership: EntryMembership): void {
    const enrolled = membership.entries.map((entry) => [entry.name, entry.peerAddress] as const)
    this.peerAddresses = new Map([...this.seeds, ...enrolled])
    this.network.retain(new Set(this.peerAddresses.keys()))
    this.registry.liveness.applyMembership(membership)
    this.registry.applyMembership(membership)
    this.health.applyMembership(membership)
    this.limiter.applyMembership(membership)
    this.claims.applyMembership(membership)
    this.crashes.applyMembership(membership)
  }

  /** Whether an upstream process went down: it came back under a new incarnation, refuses connections, or lost several connections at once. */
  private async wentDown (address: string, sinceMilliseconds: number): Promise<boolean> {
    const record = this.registry.poolNames().flatMap((pool) => this.registry.records(pool)).find((known) => known.address === address)
    if (record !== undefined && record.seenSinceMilliseconds > sinceMilliseconds) return true
    return await this.connections.wentDown(address, sinceMilliseconds)
  }

  private entryZones (): readonly string[] {
    return this.registry.liveness.liveEntries().map((entry) => entry.zone)
  }

  /** Usable slots of a pool. Slots of upstreams in slow start count fully: slow start shifts load without reducing capacity. */
  private usableSlots (pool: string): number {
    return this.health.standing(pool).reduce((sum, { record, standing, weight }) => {
      return sum + record.slots * (standing === Standing.SlowStart ? 1 : weight)
    }, 0)
  }
}

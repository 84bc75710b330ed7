import { setMaxListeners } from 'node:events'
import { defaultPoolPolicy, type PoolPolicy } from '@hickoryspoke/configuration/pool-policy'
import { AttemptKind, type AttemptOutcome } from '@hickoryspoke/health/attempt-outcome'
import type { HealthEvent } from '@hickoryspoke/health/health-event'
import { PoolBalancer, type UpstreamLease } from '@hickoryspoke/health/pool-balancer'
import { UpstreamHealth } from '@hickoryspoke/health/upstream-health'
import { AnnouncementRegistry } from '@hickoryspoke/membership/announcement-registry'
import type { EvidenceMessage } from '@hickoryspoke/protocol/generated/evidence'
import type { GossipMessage } from '@hickoryspoke/protocol/generated/gossip'
import { nextArrivalMilliseconds, pickOne, SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'
import { SimulatedUpstream, type SimulatedAttempt } from './simulated-upstream.ts'

const MAX_ATTEMPTS = 3
const LEASE_MILLISECONDS = 600_000
const RENEWAL_MILLISECONDS = 120_000

/** A pool of the simulated deployment. */
export interface FleetPool {
  readonly name: string
  readonly upstreams: number
  readonly idempotentShare: number
  readonly serviceMilliseconds: number
}

/** The simulated deployment and its load. */
export interface SimulationConfig {
  readonly entries: number
  readonly zones: readonly string[]
  readonly slots: number
  readonly pools: readonly FleetPool[]
  readonly customers: number
  readonly requestsPerSecondEach: number
  readonly timeoutMilliseconds: number
  readonly healthyFloor: number
  readonly policy: Partial<PoolPolicy>
  readonly seed: number
  /** Disables health checks and balancing for baselines: every attempt goes to a random upstream. */
  readonly withoutHealth?: boolean
}

/** An entry VM of the simulation. */
export interface FleetEntry {
  readonly name: string
  readonly zone: string
  readonly registry: AnnouncementRegistry
  readonly health: UpstreamHealth
  readonly balancer: PoolBalancer
}

/** A health event with its simulated time. */
export interface TimedEvent extends HealthEvent {
  readonly atMilliseconds: number
}

/** A finished attempt, recorded for the baselines. */
export interface FleetAttempt {
  readonly entry: string
  readonly pool: string
  readonly address: string
  readonly outcome: AttemptOutcome
  readonly atMilliseconds: number
}

interface RequestLabels {
  readonly customer: string
  readonly route: string
}

/** Entries with the real membership, health and balancing code in front of simulated upstreams, in simulated time. */
export class HealthFleet {
  readonly clock = FakeClock.create()
  readonly random: SeededRandom
  readonly gossip: FakeNetwork<GossipMessage>
  readonly evidence: FakeNetwork<EvidenceMessage>
  readonly entries: readonly FleetEntry[]
  readonly upstreams = new Map<string, SimulatedUpstream>()
  readonly poolByAddress = new Map<string, string>()
  readonly events: TimedEvent[] = []
  readonly attempts: FleetAttempt[] = []
  recordAttempts = false
  requests = 0
  failedRequests = 0
  private sequence = 0
  private readonly stop = new AbortController()

  private constructor (private readonly config: SimulationConfig) {
    setMaxListeners(0, this.stop.signal)
    this.random = SeededRandom.create(config.seed)
    const settings = { delayMilliseconds: () => 1.5, jitterMilliseconds: 1 }
    this.gossip = FakeNetwork.create<GossipMessage>(this.clock, this.random, settings)
    this.evidence = FakeNetwork.create<EvidenceMessage>(this.clock, this.random, settings)
    this.entries = Array.from({ length: config.entries }, (_, index) => this.createEntry(`entry-${index}`, config.zones[index % config.zones.length] as string))
    this.createUpstreams()
  }

  /** Creates a fleet, gives the announcements one second to spread, and starts the load. */
  static async create (config: SimulationConfig): Promise<HealthFleet> {
    const fleet = new HealthFleet(config)
    await fleet.clock.advanceAsync(1_000)
    for (const pool of config.pools) fleet.scheduleArrival(pool)
    return fleet
  }

  /** Advances simulated time. */
  async run (milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds)
  }

  close (): void {
    this.stop.abort()
  }

  now (): number {
    return this.clock.monotonicMilliseconds()
  }

  /** Slots of a pool that at least one entry currently holds out of service, and all announced slots. */
  capacity (pool: string): { readonly ejected: number, readonly announced: number } {
    const outOfService = new Set<string>()
    for (const entry of this.entries) {
      for (const { standing, record } of entry.health.standing(pool)) if (standing === 'ejected' || standing === 'trial') outOfService.add(record.address)
    }
    const announced = [...this.upstreams.values()].filter((upstream) => this.poolByAddress.get(upstream.address) === pool)
    const slotsOf = (list: readonly SimulatedUpstream[]): number => list.reduce((sum, upstream) => sum + upstream.slots, 0)
    return { ejected: slotsOf(announced.filter((upstream) => outOfService.has(upstream.address))), announced: slotsOf(announced) }
  }

  private createEntry (name: string, zone: string): FleetEntry {
    const { clock, random, config } = this
    const registry: AnnouncementRegistry = AnnouncementRegistry.create({
      clock, random, zone, network: this.gossip.join(name, (from, message) => registry.receive(from, message))
    })
    const health: UpstreamHealth = UpstreamHealth.create({
      clock,
      random,
      zone,
      registry,
      network: this.evidence.join(name, (from, message) => health.receive(from, message)),
      epochLease: { epoch: () => 1, validUntilMilliseconds: () => Infinity, exclusiveFromMilliseconds: () => -20_000 },
      probe: async (address) => await this.probe(zone, address),
      onEvent: (event) => this.events.push({ ...event, atMilliseconds: this.now() })
    })
    const zones = Array.from({ length: config.entries }, (_, index) => config.zones[index % config.zones.length] as string)
    const balancer = PoolBalancer.create({ clock, random, health, self: name, zone, entryZones: () => zones })
    this.configure(registry, health)
    for (const part of [registry, health, balancer]) void part.start(this.stop.signal)
    return { name, zone, registry, health, balancer }
  }

  private configure (registry: AnnouncementRegistry, health: UpstreamHealth): void {
    const { config } = this
    const entries = Array.from({ length: config.entries }, (_, index) => ({
      name: `entry-${index}`, zone: config.zones[index % config.zones.length] as string, region: 'region', peerAddress: '', witness: false
    }))
    const membership = { epoch: 1, establishedEpoch: 1, entries }
    registry.applyMembership(membership)
    health.applyMembership(membership)
    const policy = { ...defaultPoolPolicy(), ...config.policy, ...(config.withoutHealth === true ? { detection_threshold: Infinity } : {}) }
    health.applyPools(config.pools.map((pool) => ({ name: pool.name, healthy_floor: config.healthyFloor, policy })))
  }

  private createUpstreams (): void {
    const { config } = this
    let number = 0
    for (const pool of config.pools) {
      for (let index = 0; index < pool.upstreams; index += 1) {
        const zone = config.zones[index % config.zones.length] as string
        number += 1
        const address = `10.0.${Math.floor(number / 250)}.${number % 250 + 1}:8080`
        this.upstreams.set(address, SimulatedUpstream.create(this.clock, this.random, address, zone, config.slots, pool.serviceMilliseconds))
        this.poolByAddress.set(address, pool.name)
        this.renew(pool.name, address, zone)
      }
    }
  }

  private renew (pool: string, address: string, zone: string): void {
    const entry = pickOne(this.random, this.entries)
    entry.registry.announce({ pool, address, zone, slots: this.config.slots, incarnation: 1, leaseMilliseconds: LEASE_MILLISECONDS, state: 'serving', load: 0 })
    this.clock.schedule(RENEWAL_MILLISECONDS, () => { if (!this.stop.signal.aborted) this.renew(pool, address, zone) })
  }

  private scheduleArrival (pool: FleetPool): void {
    if (this.stop.signal.aborted) return
    const rate = pool.upstreams * this.config.requestsPerSecondEach
    this.clock.schedule(nextArrivalMilliseconds(this.random, rate), () => {
      this.arrive(pool)
      this.scheduleArrival(pool)
    })
  }

  private arrive (pool: FleetPool): void {
    const idempotent = this.random.next() < pool.idempotentShare
    const customer = `customer-${Math.floor(this.random.next() ** 2 * this.config.customers)}`
    this.requests += 1
    this.attempt(pickOne(this.random, this.entries), pool, { customer, route: idempotent ? '/read' : '/write' }, idempotent, [])
  }

  private attempt (entry: FleetEntry, pool: FleetPool, tags: RequestLabels, idempotent: boolean, tried: string[]): void {
    const lease = this.pick(entry, pool, tags, idempotent, tried)
    if (lease === undefined) {
      this.failedRequests += 1
      return
    }
    const upstream = this.upstreams.get(lease.address) as SimulatedUpstream
    const { timeoutMilliseconds } = this.config
    const attempt: SimulatedAttempt = { ...tags, fromZone: entry.zone, sequence: this.sequence++, startMilliseconds: this.now(), timeoutMilliseconds }
    upstream.run(attempt, (outcome) => {
      lease.finish(outcome)
      if (this.recordAttempts) this.attempts.push({ entry: entry.name, pool: pool.name, address: lease.address, outcome, atMilliseconds: this.now() })
      if (outcome.kind === AttemptKind.Answered) return
      const mayRepeat = idempotent || outcome.kind === AttemptKind.ConnectFailed || outcome.kind === AttemptKind.RefusedNotRun
      if (mayRepeat && tried.length + 1 < MAX_ATTEMPTS) this.attempt(entry, pool, tags, idempotent, [...tried, lease.address])
      else this.failedRequests += 1
    })
  }

  private pick (entry: FleetEntry, pool: FleetPool, tags: RequestLabels, idempotent: boolean, tried: string[]): UpstreamLease | undefined {
    if (this.config.withoutHealth !== true) return entry.balancer.pick({ pool: pool.name, idempotent, exclude: tried, ...tags }).unwrapOr(undefined)
    const addresses = [...this.upstreams.keys()].filter((address) => this.poolByAddress.get(address) === pool.name)
    return { address: pickOne(this.random, addresses), finish: () => undefined }
  }

  /** Probes the health endpoint of an upstream from a zone. */
  probe (zone: string, address: string): Promise<{ reachable: boolean, healthy: boolean }> {
    const upstream = this.upstreams.get(address) as SimulatedUpstream
    const attempt: SimulatedAttempt = { customer: '', route: '/health', fromZone: zone, sequence: -1, startMilliseconds: this.now(), timeoutMilliseconds: 500 }
    return new Promise((resolve) => {
      upstream.run(attempt, (outcome) => resolve({ reachable: outcome.kind === AttemptKind.Answered, healthy: outcome.kind === AttemptKind.Answered }))
    })
  }
}

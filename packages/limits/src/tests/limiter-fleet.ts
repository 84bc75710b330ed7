import type { EnrolledEntry } from '@hickoryspoke/protocol/generated/distribution'
import type { ShareMessage } from '@hickoryspoke/protocol/generated/share'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork, type FakeNetworkSettings } from '@hickoryspoke/testing/fake-network'
import type { Admission } from '../admission.ts'
import { FleetLimiter } from '../fleet-limiter.ts'
import { DEFAULT_SHARE_SETTINGS, type ShareSettings } from '../share-settings.ts'
import type { CustomerRate } from '../share-split.ts'
import { EpochAuthority, type EpochHolder } from './epoch-authority.ts'

/** One admission decision of an entry; times are in milliseconds on the simulation clock. */
export interface Decision {
  readonly entry: string
  readonly customer: string
  readonly arrivedAt: number
  readonly decidedAt: number
  readonly admission: Admission
}

/** Configuration of an in-memory fleet. */
export interface LimiterFleetSettings {
  readonly entries: number
  readonly zones: number
  readonly regions?: number
  readonly seed: number
  readonly network?: Partial<FakeNetworkSettings>
  readonly settings?: Partial<ShareSettings>
  /** Speed of an entry's clock relative to the simulation clock, by entry name. */
  readonly clockSpeed?: (name: string) => number
}

interface Running extends EpochHolder {
  readonly limiter: FleetLimiter
  /** `gone` is set when the process has ended; it then no longer runs timers or sends messages. */
  readonly process: { gone: boolean }
}

/** In-memory fleet of entries that run the real limiter on a fake clock and network. */
export class LimiterFleet {
  readonly clock = FakeClock.create()
  readonly network: FakeNetwork<ShareMessage>
  readonly authority: EpochAuthority
  readonly decisions: Decision[] = []
  readonly roster: readonly EnrolledEntry[]
  private readonly running = new Map<string, Running>()
  private readonly random: SeededRandom
  private observer: ((message: ShareMessage) => void) | undefined
  private customers: readonly CustomerRate[] = []
  private readonly shareSettings: ShareSettings

  private constructor (private readonly fleetSettings: LimiterFleetSettings) {
    this.random = SeededRandom.create(fleetSettings.seed)
    this.shareSettings = { ...DEFAULT_SHARE_SETTINGS, ...fleetSettings.settings }
    this.network = FakeNetwork.create(this.clock, this.random, fleetSettings.network)
    this.roster = rosterOf(fleetSettings)
    this.authority = EpochAuthority.create(this.clock, this.roster)
  }

  static create (settings: LimiterFleetSettings): LimiterFleet {
    const fleet = new LimiterFleet(settings)
    for (const entry of fleet.roster) fleet.start(entry.name)
    return fleet
  }

  get names (): string[] {
    return [...this.running.keys()]
  }

  limiter (name: string): FleetLimiter | undefined {
    return this.running.get(name)?.limiter
  }

  /** Applies the customers at every running entry, or only at the named ones. */
  apply (customers: readonly CustomerRate[], names: readonly string[] = this.names): void {
    this.customers = customers
    for (const name of names) this.limiter(name)?.applyCustomers(customers)
  }

  start (name: string): void {
    if (this.running.has(name)) return
    const process = { gone: false }
    const clock = clockOf(process, this.clock, this.fleetSettings.clockSpeed?.(name) ?? 1)
    const lease = this.authority.leaseFor(name, clock)
    const joined = this.network.join(name, (from, message): void => limiter.receive(from, message))
    const network: PeerNetwork<ShareMessage> = { self: name, send: (to, message) => this.carry(process, joined, to, message) }
    const random = SeededRandom.create(Math.floor(this.random.next() * 2 ** 31))
    const limiter: FleetLimiter = FleetLimiter.create({ network, clock, random, epochLease: lease, settings: this.shareSettings })
    limiter.applyCustomers(this.customers)
    const running = { limiter, process, applyMembership: limiter.applyMembership.bind(limiter) }
    this.running.set(name, running)
    this.authority.join(name, running)
  }

  /** Stops an entry abruptly; its state is lost. */
  crash (name: string): void {
    const running = this.running.get(name)
    if (running !== undefined) this.end(name, running)
  }

  /** Shuts an entry down gracefully. */
  async stop (name: string): Promise<void> {
    const running = this.running.get(name)
    if (running === undefined) return
    await running.limiter.close()
    if (this.running.get(name) === running) this.end(name, running)
  }

  /** Sends one request of a customer to an entry and records the decision. */
  request (name: string, customer: string): void {
    const running = this.running.get(name)
    if (running === undefined) return
    const arrivedAt = this.clock.monotonicMilliseconds()
    void running.limiter.admit(customer).then((admission) => {
      if (this.running.get(name) !== running) return
      this.decisions.push({ entry: name, customer, arrivedAt, decidedAt: this.clock.monotonicMilliseconds(), admission })
    })
  }

  /** Calls the observer with each message that an entry sends to another. */
  observe (observer: (message: ShareMessage) => void): void {
    this.observer = observer
  }

  /** Times at which a customer's requests were admitted. */
  admittedAt (customer: string): number[] {
    return this.decisions.filter((decision) => decision.customer === customer && decision.admission.admitted).map((decision) => decision.decidedAt)
  }

  private carry (process: { readonly gone: boolean }, network: PeerNetwork<ShareMessage>, to: string, message: ShareMessage): void {
    if (process.gone) return
    this.observer?.(message)
    network.send(to, message)
  }

  private end (name: string, running: Running): void {
    running.process.gone = true
    this.running.delete(name)
    this.network.leave(name)
    this.authority.leave(name)
  }

  async run (milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds)
  }
}

function rosterOf (settings: LimiterFleetSettings): EnrolledEntry[] {
  const regions = settings.regions ?? 1
  return Array.from({ length: settings.entries }, (_, index) => ({
    name: `entry-${index}`,
    zone: `zone-${index % settings.zones}`,
    region: `region-${(index % settings.zones) % regions}`,
    peerAddress: '',
    witness: index < 5
  }))
}

function clockOf (process: { readonly gone: boolean }, clock: FakeClock, speed: number): Clock {
  return {
    monotonicMilliseconds: () => clock.monotonicMilliseconds() * speed,
    wallMilliseconds: () => clock.wallMilliseconds(),
    schedule: (delay, task) => clock.schedule(delay / speed, () => { if (!process.gone) task() })
  }
}

import { defaultPoolPolicy } from '@hickoryspoke/configuration/pool-policy'
import { AnnouncementRegistry } from '@hickoryspoke/membership/announcement-registry'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import type { EvidenceMessage } from '@hickoryspoke/protocol/generated/evidence'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'
import type { AttemptKind } from '../attempt-outcome.ts'
import { UpstreamHealth } from '../upstream-health.ts'

const POOL = 'ledger'
const EPOCH_LEASE_MILLISECONDS = 4_500
const RENEWAL_MILLISECONDS = 500
const STEP_MILLISECONDS = 100
const ATTEMPTS = 12

interface Member {
  readonly registry: AnnouncementRegistry
  readonly health: UpstreamHealth
  readonly stop: AbortController
}

interface EpochState {
  epoch: number
  validUntil: number
  exclusiveFrom: number
  reachesControl: boolean
}

/** Fleet of entries that run the real `UpstreamHealth` on simulated attempts. Announcements reach all entries at once. */
export class EjectionFleet {
  readonly clock = FakeClock.create()
  readonly names = ['entry-0', 'entry-1', 'entry-2', 'entry-3', 'entry-4']
  readonly network: FakeNetwork<EvidenceMessage>
  readonly announced = new Map<string, { slots: number, incarnation: number }>()
  private readonly random: SeededRandom
  private readonly members = new Map<string, Member>()
  private readonly epochs = new Map<string, EpochState>()
  private epoch = 1
  private enrolled: readonly string[] = this.names

  private constructor (seed: number, private readonly floor: number, slots: readonly number[]) {
    this.random = SeededRandom.create(seed)
    this.network = FakeNetwork.create<EvidenceMessage>(this.clock, this.random, { jitterMilliseconds: 30, lossProbability: 0.05, duplicateProbability: 0.05 })
    slots.forEach((count, index) => this.announced.set(`10.0.0.${index}:80`, { slots: count, incarnation: 1 }))
    for (const name of this.names) {
      this.epochs.set(name, { epoch: 1, validUntil: EPOCH_LEASE_MILLISECONDS, exclusiveFrom: 0, reachesControl: true })
      this.restart(name)
    }
  }

  static create (seed: number, floor: number, slots: readonly number[]): EjectionFleet {
    return new EjectionFleet(seed, floor, slots)
  }

  /** Starts an entry, or restarts it without its state. */
  restart (name: string): void {
    this.members.get(name)?.stop.abort()
    const { clock, random } = this
    const zone = `zone-${this.names.indexOf(name) % 3}`
    const registry = AnnouncementRegistry.create({ clock, random, zone, network: { self: name, send: () => undefined } })
    const network = this.network.join(name, (from, message) => health.receive(from, message))
    const probe = async (): Promise<{ reachable: boolean, healthy: boolean }> => ({ reachable: true, healthy: true })
    const health: UpstreamHealth = UpstreamHealth.create({ clock, random, network, zone, registry, epochLease: this.leaseOf(name), probe })
    const policy = { ...defaultPoolPolicy(), ejection_seconds: 2, slow_start_seconds: 0, trial_requests: 3 }
    health.applyPools([{ name: POOL, healthy_floor: this.floor, policy }])
    const stop = new AbortController()
    void health.start(stop.signal)
    this.members.set(name, { registry, health, stop })
    for (const address of this.announced.keys()) this.announceTo(registry, address)
    this.enrol(name)
  }

  /** Reports several attempts of one entry on one upstream with the same outcome. */
  attempts (name: string, address: string, kind: AttemptKind): void {
    const health = this.members.get(name)?.health
    const outcome = { kind, milliseconds: 5 }
    for (let count = 0; count < ATTEMPTS; count += 1) health?.observe({ pool: POOL, address, customer: `c-${address}`, route: `r-${address}`, outcome })
  }

  withdraw (address: string): void {
    const known = this.announced.get(address)
    if (known === undefined) return
    this.announced.delete(address)
    for (const { registry } of this.members.values()) registry.withdraw(POOL, address, known.incarnation)
  }

  announce (address: string, incarnation: number, slots: number): void {
    if (this.announced.has(address)) return
    this.announced.set(address, { slots, incarnation })
    for (const { registry } of this.members.values()) this.announceTo(registry, address)
  }

  /** Starts a new epoch with the given entries. Entries that cannot reach control stay in their epoch. */
  changeEpoch (enrolled: readonly string[]): void {
    this.epoch += 1
    this.enrolled = enrolled
    const exclusiveFrom = this.clock.monotonicMilliseconds() + EPOCH_LEASE_MILLISECONDS
    for (const state of this.epochs.values()) state.exclusiveFrom = state.reachesControl ? exclusiveFrom : state.exclusiveFrom
    this.newestExclusiveFrom = exclusiveFrom
    this.renewEpochs()
  }

  setControlReachable (name: string, heard: boolean): void {
    (this.epochs.get(name) as EpochState).reachesControl = heard
  }

  /** Advances the time and returns the highest excess of slots out of service over what the floor allows. */
  async run (milliseconds: number): Promise<number> {
    let worst = -Infinity
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      this.renewEpochs()
      await this.clock.advanceAsync(STEP_MILLISECONDS)
      worst = Math.max(worst, this.excess())
    }
    return worst
  }

  /** Upstreams that at least one entry keeps out of service. */
  outOfService (): Set<string> {
    const out = new Set<string>()
    for (const { health } of this.members.values()) {
      for (const { standing, record } of health.standing(POOL)) if (standing === 'ejected' || standing === 'trial') out.add(record.address)
    }
    return out
  }

  stopAll (): void {
    for (const { stop } of this.members.values()) stop.abort()
  }

  private newestExclusiveFrom = 0

  private excess (): number {
    const total = [...this.announced.values()].reduce((sum, upstream) => sum + upstream.slots, 0)
    const out = [...this.outOfService()].reduce((sum, address) => sum + (this.announced.get(address)?.slots ?? 0), 0)
    return out - total * (1 - this.floor)
  }

  private renewEpochs (): void {
    for (const name of this.names) {
      const state = this.epochs.get(name) as EpochState
      if (!state.reachesControl) continue
      state.validUntil = this.clock.monotonicMilliseconds() + EPOCH_LEASE_MILLISECONDS - RENEWAL_MILLISECONDS
      if (state.epoch === this.epoch) continue
      state.epoch = this.epoch
      state.exclusiveFrom = this.newestExclusiveFrom
      this.enrol(name)
    }
  }

  private enrol (name: string): void {
    const state = this.epochs.get(name) as EpochState
    if (state.epoch !== this.epoch) return
    const entries = this.enrolled.map((entry) => ({
      name: entry, zone: `zone-${this.names.indexOf(entry) % 3}`, region: 'r', peerAddress: '', witness: false
    }))
    const membership = { epoch: this.epoch, establishedEpoch: this.epoch, entries }
    this.members.get(name)?.registry.applyMembership(membership)
    this.members.get(name)?.health.applyMembership(membership)
  }

  private announceTo (registry: AnnouncementRegistry, address: string): void {
    const { slots, incarnation } = this.announced.get(address) as { slots: number, incarnation: number }
    registry.announce({ pool: POOL, address, zone: 'zone-0', slots, incarnation, leaseMilliseconds: 600_000 })
  }

  private leaseOf (name: string): EpochLease {
    const state = this.epochs.get(name) as EpochState
    return { epoch: () => state.epoch, validUntilMilliseconds: () => state.validUntil, exclusiveFromMilliseconds: () => state.exclusiveFrom }
  }
}

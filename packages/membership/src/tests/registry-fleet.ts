import type { GossipMessage } from '@hickoryspoke/protocol/generated/gossip'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'
import { AnnouncementRegistry } from '../announcement-registry.ts'

const SEED = 6
const ZONES = ['zone-a', 'zone-b', 'zone-c']

/** Entries with announcement registries on one fake network. */
export class RegistryFleet {
  readonly clock = FakeClock.create()
  readonly random = SeededRandom.create(SEED)
  readonly network = FakeNetwork.create<GossipMessage>(this.clock, this.random, { jitterMilliseconds: 2 })
  readonly names: readonly string[]
  private readonly registries = new Map<string, AnnouncementRegistry>()
  private readonly stops = new Map<string, AbortController>()

  private constructor (count: number) {
    this.names = Array.from({ length: count }, (_, index) => `entry-${index}`)
    for (const name of this.names) this.start(name)
  }

  static create (count: number): RegistryFleet {
    return new RegistryFleet(count)
  }

  /** Starts an entry, or restarts it without any state. */
  start (name: string): void {
    const peer = this.network.join(name, (from, message) => registry.receive(from, message))
    const registry = AnnouncementRegistry.create({ clock: this.clock, random: this.random, network: peer, zone: this.zoneOf(name) })
    const stop = new AbortController()
    registry.applyMembership({ epoch: 1, establishedEpoch: 1, entries: this.names.map((entry) => ({ name: entry, zone: this.zoneOf(entry), region: 'r', peerAddress: '', witness: false })) })
    void registry.start(stop.signal)
    this.registries.set(name, registry)
    this.stops.set(name, stop)
  }

  crash (name: string): void {
    this.stops.get(name)?.abort()
    this.network.leave(name)
    this.registries.delete(name)
  }

  registryOf (name: string): AnnouncementRegistry {
    return this.registries.get(name) as AnnouncementRegistry
  }

  /** Names of the running entries on which an address is serving. */
  serving (pool: string, address: string): string[] {
    return [...this.registries].filter(([, registry]) => registry.upstreams(pool).some((record) => record.address === address)).map(([name]) => name)
  }

  /** Drops messages to the entry (`incoming`), from the entry (`outgoing`), or both. */
  cutOff (name: string, direction: 'incoming' | 'outgoing' | 'both'): void {
    for (const other of this.names) {
      if (direction !== 'outgoing') this.network.cut(other, name)
      if (direction !== 'incoming') this.network.cut(name, other)
    }
  }

  async run (milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds)
  }

  /** Renews the lease of an upstream through the given entries in turn, for a period of time. */
  async renew (announcement: object, entries: readonly string[], milliseconds: number, everyMilliseconds = 1_000): Promise<void> {
    for (let passed = 0, turn = 0; passed < milliseconds; passed += everyMilliseconds, turn += 1) {
      this.registryOf(entries[turn % entries.length] as string).announce(announcement)
      await this.run(everyMilliseconds)
    }
  }

  stopAll (): void {
    for (const stop of this.stops.values()) stop.abort()
  }

  private zoneOf (name: string): string {
    return ZONES[this.names.indexOf(name) % ZONES.length] as string
  }
}

/** Returns a valid announcement with some fields replaced. */
export function announcementOf (changes: object = {}): object {
  return { pool: 'ledger', address: '10.0.0.1:80', zone: 'zone-a', slots: 6, incarnation: 1, leaseMilliseconds: 4_000, state: 'serving', load: 0, ...changes }
}

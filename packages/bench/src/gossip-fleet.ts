import { setMaxListeners } from 'node:events'
import { AnnouncementRegistry } from '@hickoryspoke/membership/announcement-registry'
import { GossipMessage } from '@hickoryspoke/protocol/generated/gossip'
import { pickOne, SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'

const SEED = 11
const LEASE_MILLISECONDS = 5_000
const RENEWAL_MILLISECONDS = 1_700
const PROPAGATION_STEP_MILLISECONDS = 20
const PROPAGATION_TIMEOUT_MILLISECONDS = 5_000

/** Entries that run only the announcement registry over a simulated network, to count messages and bytes of gossip. */
export class GossipFleet {
  readonly clock = FakeClock.create()
  messages = 0
  bytes = 0
  private readonly random = SeededRandom.create(SEED)
  private readonly network = FakeNetwork.create<GossipMessage>(this.clock, this.random, { delayMilliseconds: () => 1.5, jitterMilliseconds: 1 })
  private readonly registries = new Map<string, AnnouncementRegistry>()
  private readonly stop = new AbortController()

  private constructor (entries: number) {
    setMaxListeners(0, this.stop.signal)
    const enrolled = Array.from({ length: entries }, (_, index) => ({
      name: `entry-${index}`, zone: `zone-${index % 6}`, region: 'region', peerAddress: '', witness: false
    }))
    for (const { name, zone } of enrolled) this.startEntry(name, zone)
    for (const registry of this.registries.values()) registry.applyMembership({ epoch: 1, establishedEpoch: 1, entries: enrolled })
  }

  static create (entries: number): GossipFleet {
    return new GossipFleet(entries)
  }

  /** Announces upstreams through random entries and renews their leases. */
  announceAll (count: number): void {
    for (let index = 0; index < count; index += 1) this.clock.schedule(this.random.next() * RENEWAL_MILLISECONDS, () => this.renew(index))
  }

  async run (milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds)
  }

  resetCounts (): void {
    this.messages = 0
    this.bytes = 0
  }

  /** Returns the milliseconds until every other entry knows of a withdrawal when the entry that received it crashes immediately afterwards. */
  async measurePropagation (): Promise<number> {
    const [name, registry] = [...this.registries][3] as [string, AnnouncementRegistry]
    const address = addressOf(0)
    registry.withdraw(poolOf(0), address, 1).unwrap()
    this.network.leave(name)
    registry.close()
    this.registries.delete(name)
    let elapsed = 0
    while (elapsed < PROPAGATION_TIMEOUT_MILLISECONDS && this.isListedAnywhere(address)) {
      await this.run(PROPAGATION_STEP_MILLISECONDS)
      elapsed += PROPAGATION_STEP_MILLISECONDS
    }
    return elapsed
  }

  close (): void {
    this.stop.abort()
  }

  private startEntry (name: string, zone: string): void {
    const peer = this.network.join(name, (from, message) => registry.receive(from, message))
    const send = (to: string, message: GossipMessage): void => {
      this.messages += 1
      this.bytes += GossipMessage.encode(message).finish().length
      peer.send(to, message)
    }
    const registry: AnnouncementRegistry = AnnouncementRegistry.create({ clock: this.clock, random: this.random, zone, network: { self: name, send } })
    void registry.start(this.stop.signal)
    this.registries.set(name, registry)
  }

  private renew (index: number): void {
    if (this.stop.signal.aborted) return
    const shared = { pool: poolOf(index), address: addressOf(index), zone: `zone-${index % 6}`, slots: 6, incarnation: 1 }
    pickOne(this.random, [...this.registries.values()]).announce({ ...shared, leaseMilliseconds: LEASE_MILLISECONDS, load: this.random.next() })
    this.clock.schedule(RENEWAL_MILLISECONDS, () => this.renew(index))
  }

  private isListedAnywhere (address: string): boolean {
    return [...this.registries.values()].some((registry) => registry.upstreams(poolOf(0)).some((record) => record.address === address))
  }
}

function poolOf (index: number): string {
  return `pool-${index % 330}`
}

function addressOf (index: number): string {
  return `10.1.${index >> 8}.${index & 255}:8080`
}

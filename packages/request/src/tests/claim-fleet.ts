import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import type { ClaimMessage } from '@hickoryspoke/protocol/generated/claim'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'
import type { ClaimSettings } from '../claim-settings.ts'
import type { ClaimDecision } from '../collaborators.ts'
import { FleetClaims } from '../fleet-claims.ts'

export const TEST_CLAIM_SETTINGS: Partial<ClaimSettings> = { slots: 4, retentionMilliseconds: 60_000, waitForFirstMilliseconds: 1500 }
export const LEASE_MILLISECONDS = 4500
const RENEW_MILLISECONDS = 500

/** Epoch lease of one entry, set directly by the fleet. */
class TestLease implements EpochLease {
  heldEpoch = 0
  until = 0
  exclusiveFrom = 0

  static create (): TestLease {
    return new TestLease()
  }

  epoch (): number {
    return this.heldEpoch
  }

  validUntilMilliseconds (): number {
    return this.until
  }

  exclusiveFromMilliseconds (): number {
    return this.exclusiveFrom
  }
}

interface Process {
  readonly claims: FleetClaims
  readonly lease: TestLease
  readonly incarnation: string
  readonly stop: AbortController
}

/** Simulated fleet of entries on a fake clock and a fake network. Epochs come from a single authority. */
export class ClaimFleet {
  readonly clock = FakeClock.create()
  readonly network: FakeNetwork<ClaimMessage>
  readonly processes = new Map<string, Process>()
  /** Number of requests that were allowed to run, by Idempotency-Key. */
  readonly runs = new Map<string, number>()
  private membership: EntryMembership = { epoch: 0, establishedEpoch: 0, entries: [] }
  private establishedAt = 0
  private startedProcesses = 0
  private readonly isolated = new Set<string>()

  private constructor (
    private readonly seed: number, private readonly settings: Partial<ClaimSettings>, jitterMilliseconds: number, lossProbability: number
  ) {
    this.network = FakeNetwork.create<ClaimMessage>(this.clock, SeededRandom.create(seed), {
      delayMilliseconds: () => 1.5, jitterMilliseconds, lossProbability
    })
  }

  /** Starts a fleet of `size` entries, spread over three zones. */
  static async create (size: number, seed = 1, settings: Partial<ClaimSettings> = {}, jitterMilliseconds = 0, lossProbability = 0): Promise<ClaimFleet> {
    const fleet = new ClaimFleet(seed, { ...TEST_CLAIM_SETTINGS, ...settings }, jitterMilliseconds, lossProbability)
    const names = Array.from({ length: size }, () => fleet.newName())
    for (const name of names) fleet.start(name)
    fleet.changeMembership(names, [])
    await fleet.advance(1500)
    return fleet
  }

  get names (): string[] {
    return this.membership.entries.map((entry) => entry.name)
  }

  /** Names of the member entries whose process is running. */
  get running (): string[] {
    return this.names.filter((name) => this.processes.has(name))
  }

  /** Starts a process, which begins with the current membership. */
  start (name: string): void {
    const lease = TestLease.create()
    const clock: Clock = this.clock
    const network = this.network.join(name, (from, message) => claims.receive(from, message))
    const random = SeededRandom.create(this.seed * 1000 + ++this.startedProcesses)
    const incarnation = `process-${this.startedProcesses}`
    const claims = FleetClaims.create({ clock, random, network, epochLease: lease, settings: this.settings, incarnation })
    const process = { claims, lease, incarnation, stop: new AbortController() }
    this.processes.set(name, process)
    this.applyMembership(process)
    claims.run(process.stop.signal).catch(() => {})
    this.renew(name, process)
  }

  /** Kills a process; its records are lost. */
  crash (name: string): void {
    this.processes.get(name)?.stop.abort()
    this.processes.delete(name)
    this.network.leave(name)
  }

  /** Adds and removes members. Each process learns of the new epoch when it next renews its lease. */
  changeMembership (add: readonly string[], remove: readonly string[]): void {
    const kept = this.membership.entries.filter((entry) => !remove.includes(entry.name))
    const added = add.map((name, index) => ({
      name, zone: `zone-${(kept.length + index) % 3}`, region: 'r', peerAddress: '', witness: true, incarnation: this.processes.get(name)?.incarnation
    }))
    this.membership = { epoch: this.membership.epoch + 1, establishedEpoch: this.membership.epoch, entries: [...kept, ...added] }
    this.establishedAt = this.clock.monotonicMilliseconds()
  }

  /** Replaces a member by a new entry. */
  replace (name: string): void {
    this.crash(name)
    const fresh = this.newName()
    this.start(fresh)
    this.changeMembership([fresh], [name])
  }

  /** Disconnects an entry from the authority, so that its lease expires. */
  isolateFromAuthority (name: string): void {
    this.isolated.add(name)
  }

  rejoinAuthority (name: string): void {
    this.isolated.delete(name)
  }

  async advance (milliseconds: number): Promise<void> {
    await this.clock.advanceAsync(milliseconds)
  }

  /** Sends a request to an entry, and counts a run as soon as the claim is granted. */
  async request (name: string, key: string, fingerprint = 'content'): Promise<ClaimDecision | undefined> {
    const process = this.processes.get(name)
    if (process === undefined) return undefined
    const decision = await process.claims.claim({ customer: 'c', idempotencyKey: key, fingerprint, signal: process.stop.signal })
    if (process.stop.signal.aborted) return undefined
    if (decision.kind === 'granted') this.runs.set(key, (this.runs.get(key) ?? 0) + 1)
    return decision
  }

  /** Sends a request and advances the clock until it is decided. */
  async ask (name: string, key: string, fingerprint = 'content'): Promise<ClaimDecision | undefined> {
    let decision: ClaimDecision | undefined
    const over = new AbortController()
    const pending = this.request(name, key, fingerprint).then((value) => {
      decision = value
      over.abort()
    })
    for (let turn = 0; turn < 400 && !over.signal.aborted; turn += 1) await this.advance(10)
    await pending
    return decision
  }

  stop (): void {
    for (const name of [...this.processes.keys()]) this.crash(name)
  }

  private newName (): string {
    return `entry-${++this.startedProcesses}`
  }

  private applyMembership (process: Process): void {
    if (process.lease.heldEpoch === this.membership.epoch && process.claims.view().votingSlots > 0) return
    process.lease.heldEpoch = this.membership.epoch
    process.lease.exclusiveFrom = this.membership.epoch === 1 ? 0 : this.establishedAt + LEASE_MILLISECONDS
    process.claims.applyMembership(this.membership)
  }

  private renew (name: string, process: Process): void {
    if (process.stop.signal.aborted) return
    if (!this.isolated.has(name)) {
      this.applyMembership(process)
      process.lease.until = this.clock.monotonicMilliseconds() + LEASE_MILLISECONDS
    }
    this.clock.schedule(RENEW_MILLISECONDS, () => this.renew(name, process))
  }
}

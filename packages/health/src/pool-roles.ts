import type { EntryLiveness } from '@hickoryspoke/membership/entry-liveness'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import { Overlay } from '@hickoryspoke/membership/overlay'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { EntryState } from '@hickoryspoke/protocol/generated/gossip'
import { EJECTION_LEASE_MILLISECONDS } from './ejection-ledger.ts'

const CLOCK_DRIFT_FACTOR = 1.01

/**
 * Determines which entry has which role for a pool. The coordinator is the first live entry: it collects evidence and
 * issues advisories. The ejection owner is fixed for an epoch, and only it may grant ejections.
 */
export class PoolRoles {
  private membership: EntryMembership = { epoch: 0, establishedEpoch: 0, entries: [] }
  private enrolled = Overlay.create([])
  private readonly zones = new Map<string, string>()
  private readonly ejectionOwners = new Map<string, string | undefined>()
  private readonly coordinators = new Map<string, string | undefined>()
  /** Pools whose ejection owner is this entry, with the time since when; grants made before that time may be unknown here. */
  private readonly held = new Map<string, { readonly sinceMilliseconds: number, settled: boolean }>()

  private constructor (private readonly self: string, private readonly liveness: EntryLiveness, private readonly lease: EpochLease) {
    liveness.onChange(() => this.coordinators.clear())
  }

  static create (self: string, liveness: EntryLiveness, lease: EpochLease): PoolRoles {
    return new PoolRoles(self, liveness, lease)
  }

  /** Applies a newer epoch. Ownership that was not held in the immediately preceding epoch starts over. */
  applyMembership (membership: EntryMembership): void {
    if (membership.epoch <= this.membership.epoch) return
    const isConsecutive = membership.epoch === this.membership.epoch + 1
    this.membership = membership
    this.enrolled = Overlay.create(membership.entries)
    this.zones.clear()
    for (const entry of membership.entries) this.zones.set(entry.name, entry.zone)
    this.ejectionOwners.clear()
    this.coordinators.clear()
    for (const pool of [...this.held.keys()]) if (!isConsecutive || this.ejectionOwnerOf(pool) !== this.self) this.held.delete(pool)
  }

  epoch (): number {
    return this.membership.epoch
  }

  zoneOf (name: string): string | undefined {
    return this.zones.get(name)
  }

  /** Number of zones that contain entries. */
  zoneCount (): number {
    return new Set(this.zones.values()).size
  }

  liveEntriesOutside (zones: readonly string[]): string[] {
    return [...this.zones].filter(([name, zone]) => !zones.includes(zone) && this.isLive(name)).map(([name]) => name)
  }

  /** The only entry that may grant ejections of a pool in this epoch, whether it is live or not. */
  ejectionOwnerOf (pool: string): string | undefined {
    if (!this.ejectionOwners.has(pool)) this.ejectionOwners.set(pool, this.enrolled.rendezvousOwner(pool))
    return this.ejectionOwners.get(pool)
  }

  /** The first live entry for a pool, which collects evidence and issues advisories. */
  coordinatorOf (pool: string): string | undefined {
    if (!this.coordinators.has(pool)) this.coordinators.set(pool, this.enrolled.rendezvousOwner(pool, (name) => this.isLive(name)))
    return this.coordinators.get(pool)
  }

  /** Whether this entry may currently grant ejections of a pool and extend those granted. */
  mayGrant (pool: string, nowMilliseconds: number): boolean {
    if (this.ejectionOwnerOf(pool) !== this.self) return false
    if (this.lease.epoch() !== this.membership.epoch || nowMilliseconds >= this.lease.validUntilMilliseconds()) return false
    return this.isSettled(pool, nowMilliseconds)
  }

  /**
   * A new ejection owner waits until no grant made by an earlier owner, or by this entry before a restart,
   * can still be in force.
   */
  private isSettled (pool: string, nowMilliseconds: number): boolean {
    const ownership = this.held.get(pool) ?? { sinceMilliseconds: nowMilliseconds, settled: false }
    this.held.set(pool, ownership)
    if (ownership.settled) return true
    const from = Math.max(ownership.sinceMilliseconds, this.lease.exclusiveFromMilliseconds())
    ownership.settled = nowMilliseconds >= from + EJECTION_LEASE_MILLISECONDS * CLOCK_DRIFT_FACTOR
    return ownership.settled
  }

  private isLive (name: string): boolean {
    const state = this.liveness.stateOf(name)
    return name === this.self || (state !== EntryState.ENTRY_STATE_DEAD && state !== EntryState.ENTRY_STATE_LEFT)
  }
}

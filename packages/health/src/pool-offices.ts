import type { EntryLiveness } from '@hickoryspoke/membership/entry-liveness'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import { Overlay } from '@hickoryspoke/membership/overlay'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { EntryState } from '@hickoryspoke/protocol/generated/gossip'
import { EJECTION_LEASE_MILLISECONDS } from './ejection-ledger.ts'

const CLOCK_DRIFT_FACTOR = 1.01

/** Who decides about a pool, and who alone may grant ejections. */
export class PoolOffices {
  private membership: EntryMembership = { epoch: 0, establishedEpoch: 0, entries: [] }
  private enrolled = Overlay.create([])
  private readonly zones = new Map<string, string>()
  private readonly homes = new Map<string, string | undefined>()
  private readonly judges = new Map<string, string | undefined>()
  /** Pools of which this entry holds the home, with the time from which it may not remember earlier grants. */
  private readonly held = new Map<string, { readonly sinceMilliseconds: number, settled: boolean }>()

  private constructor (private readonly self: string, private readonly liveness: EntryLiveness, private readonly lease: EpochLease) {
    liveness.onChange(() => this.judges.clear())
  }

  static create (self: string, liveness: EntryLiveness, lease: EpochLease): PoolOffices {
    return new PoolOffices(self, liveness, lease)
  }

  /** Takes a newer epoch. Offices that were not held in the epoch just before start anew. */
  applyMembership (membership: EntryMembership): void {
    if (membership.epoch <= this.membership.epoch) return
    const follows = membership.epoch === this.membership.epoch + 1
    this.membership = membership
    this.enrolled = Overlay.create(membership.entries)
    this.zones.clear()
    for (const entry of membership.entries) this.zones.set(entry.name, entry.zone)
    this.homes.clear()
    this.judges.clear()
    for (const pool of [...this.held.keys()]) if (!follows || this.homeOf(pool) !== this.self) this.held.delete(pool)
  }

  epoch (): number {
    return this.membership.epoch
  }

  zoneOf (name: string): string | undefined {
    return this.zones.get(name)
  }

  /** Zones in which there are entries. */
  zoneCount (): number {
    return new Set(this.zones.values()).size
  }

  namesOutside (zones: readonly string[]): string[] {
    return [...this.zones].filter(([name, zone]) => !zones.includes(zone) && this.isLive(name)).map(([name]) => name)
  }

  /** The entry whose permits count in this epoch, live or not. */
  homeOf (pool: string): string | undefined {
    if (!this.homes.has(pool)) this.homes.set(pool, this.enrolled.rendezvousOwner(pool))
    return this.homes.get(pool)
  }

  /** The first live entry for a pool: it gathers evidence and advises. */
  judgeOf (pool: string): string | undefined {
    if (!this.judges.has(pool)) this.judges.set(pool, this.enrolled.rendezvousOwner(pool, (name) => this.isLive(name)))
    return this.judges.get(pool)
  }

  /** Whether this entry may grant ejections of a pool and extend granted ones now. */
  mayGrant (pool: string, nowMilliseconds: number): boolean {
    if (this.homeOf(pool) !== this.self) return false
    if (this.lease.epoch() !== this.membership.epoch || nowMilliseconds >= this.lease.validUntilMilliseconds()) return false
    return this.isSettled(pool, nowMilliseconds)
  }

  /** A home that is new here waits until no grant of an earlier home, or of its own past, can be in force. */
  private isSettled (pool: string, nowMilliseconds: number): boolean {
    const office = this.held.get(pool) ?? { sinceMilliseconds: nowMilliseconds, settled: false }
    this.held.set(pool, office)
    if (office.settled) return true
    const from = Math.max(office.sinceMilliseconds, this.lease.exclusiveFromMilliseconds())
    office.settled = nowMilliseconds >= from + EJECTION_LEASE_MILLISECONDS * CLOCK_DRIFT_FACTOR
    return office.settled
  }

  private isLive (name: string): boolean {
    const state = this.liveness.stateOf(name)
    return name === this.self || (state !== EntryState.ENTRY_STATE_DEAD && state !== EntryState.ENTRY_STATE_LEFT)
  }
}

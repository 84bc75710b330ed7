import type { EnrolledEntry, EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { FakeClock } from '@hickoryspoke/testing/fake-clock'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'

/** Receives the membership of each new epoch. */
export interface EpochHolder {
  applyMembership (membership: EntryMembership): void
}

interface HeldLease {
  epoch: number
  /** Expiry on the simulation clock. */
  validUntil: number
}

const LEASE_MILLISECONDS = 4500
const RENEW_MILLISECONDS = 1000
const DRIFT_SHARE = 0.01

/** Fake control plane: grants epoch leases and tells when every lease on an earlier epoch has expired. */
export class EpochAuthority {
  private readonly holders = new Map<string, EpochHolder>()
  private readonly leases = new Map<string, HeldLease>()
  private readonly cutOff = new Set<string>()
  /** Time on the simulation clock at which every lease on an earlier epoch has certainly expired. */
  private exclusiveAt = 0
  private membership: EntryMembership

  private constructor (private readonly clock: FakeClock, roster: readonly EnrolledEntry[]) {
    this.membership = { epoch: 1, entries: [...roster], establishedEpoch: 1 }
  }

  static create (clock: FakeClock, roster: readonly EnrolledEntry[]): EpochAuthority {
    const authority = new EpochAuthority(clock, roster)
    authority.tick()
    return authority
  }

  get epoch (): number {
    return this.membership.epoch
  }

  /** The epoch lease of an entry, with times converted to the entry's own clock. */
  leaseFor (name: string, clock: Clock): EpochLease {
    return {
      epoch: () => this.leases.get(name)?.epoch ?? 0,
      validUntilMilliseconds: () => {
        const left = (this.leases.get(name)?.validUntil ?? 0) - this.clock.monotonicMilliseconds()
        return clock.monotonicMilliseconds() + left * (1 - DRIFT_SHARE)
      },
      exclusiveFromMilliseconds: () => {
        const left = this.exclusiveAt - this.clock.monotonicMilliseconds()
        return clock.monotonicMilliseconds() + left * (1 + DRIFT_SHARE)
      }
    }
  }

  join (name: string, holder: EpochHolder): void {
    this.holders.set(name, holder)
    this.leases.delete(name)
    this.renew(name, holder)
  }

  leave (name: string): void {
    this.holders.delete(name)
  }

  /** Cuts an entry off from control, so that its epoch lease is no longer renewed. */
  cut (name: string): void {
    this.cutOff.add(name)
  }

  heal (name: string): void {
    this.cutOff.delete(name)
  }

  /** Starts a new epoch with the given entries; leases on the previous epoch are no longer renewed. */
  change (entries: readonly EnrolledEntry[]): void {
    this.membership = { epoch: this.membership.epoch + 1, entries: [...entries], establishedEpoch: this.membership.epoch }
    this.exclusiveAt = this.clock.monotonicMilliseconds() + LEASE_MILLISECONDS
    this.renewAll()
  }

  private tick (): void {
    this.renewAll()
    this.clock.schedule(RENEW_MILLISECONDS, () => this.tick())
  }

  private renewAll (): void {
    for (const [name, holder] of this.holders) this.renew(name, holder)
  }

  private reached (name: string): boolean {
    return this.holders.has(name) && !this.cutOff.has(name)
  }

  private enrolled (name: string): boolean {
    return this.membership.entries.some((entry) => entry.name === name)
  }

  private renew (name: string, holder: EpochHolder): void {
    if (!this.reached(name) || !this.enrolled(name)) return
    const { epoch } = this.membership
    const known = this.leases.get(name)?.epoch
    this.leases.set(name, { epoch, validUntil: this.clock.monotonicMilliseconds() + LEASE_MILLISECONDS })
    if (known !== epoch) holder.applyMembership(this.membership)
  }
}

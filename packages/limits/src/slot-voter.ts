import type { LeaseAsk, LeaseVote, SlotLease } from '@hickoryspoke/protocol/generated/share'
import { sameLease } from './same-lease.ts'
import type { ShareSettings } from './share-settings.ts'

/** What a voter has promised for one slot. */
interface Promised {
  readonly lease: SlotLease
  readonly holder: string
  readonly previous: SlotLease | undefined
  previousUnknown: boolean
  /** Whether the holder has renewed it, and so has certainly acquired it. */
  confirmed: boolean
  until: number
}

/** A vote without what the rest of its member knows. */
export type Vote = Omit<LeaseVote, 'witnessing' | 'previousLevels' | 'leaving'>

/** What a voter needs to know of its own process. */
export interface VoterIdentity {
  /** Random number of this process's start. */
  readonly incarnation: number
  /** Monotonic time in milliseconds before which nothing is promised: earlier promises may have been forgotten. */
  readonly silentUntil: number
}

/** One member's promises of the lease on one slot: at most one holder at a time. */
export class SlotVoter {
  private promised: Promised | undefined
  private promisedBefore: Promised | undefined
  private highest = 0

  private constructor (
    private readonly settings: ShareSettings,
    private readonly identity: VoterIdentity,
    readonly slot: number,
    private readonly group: number,
    private mayHaveForgotten: boolean
  ) {}

  /** `mayHaveForgotten` says that a promise to the same group may have been made and lost. */
  static create (settings: ShareSettings, identity: VoterIdentity, slot: number, group: number, mayHaveForgotten: boolean): SlotVoter {
    return new SlotVoter(settings, identity, slot, group, mayHaveForgotten)
  }

  /** The entry to which the lease is promised now, if any. */
  holder (nowMilliseconds: number): string | undefined {
    return this.promised !== undefined && this.promised.until > nowMilliseconds ? this.promised.holder : undefined
  }

  /** Monotonic time in milliseconds from which a new holder may be promised the lease. */
  freeAt (): number {
    return Math.max(this.identity.silentUntil, this.promised?.until ?? 0)
  }

  highestTerm (): number {
    return this.highest
  }

  /** The lease promised last, even when the promise has run out. */
  get lastLease (): SlotLease | undefined {
    return this.promised?.lease
  }

  /** Whether the lease promised last was promised to an entry. */
  promisedTo (holder: string): boolean {
    return this.promised?.holder === holder
  }

  /**
   * Whether a grant under the lease that its holder is just replacing may pass without a record.
   * From then on what was recorded under that lease counts as incomplete.
   */
  passUnrecorded (from: string, lease: SlotLease | undefined): boolean {
    if (this.promised?.holder !== from || this.promised.confirmed || !sameLease(this.promised.previous, lease)) return false
    this.promised.previousUnknown = true
    return true
  }

  /** Takes back a promise to this entry itself, whose attempt has failed for certain. */
  rollBack (lease: SlotLease): void {
    if (!sameLease(this.promised?.lease, lease)) return
    this.promised = this.promisedBefore
    this.promisedBefore = undefined
  }

  /** Answers an ask and keeps what was promised. */
  vote (from: string, ask: LeaseAsk, nowMilliseconds: number): Vote {
    const lease = ask.lease as SlotLease
    const granted = this.mayPromise(from, ask, lease, nowMilliseconds)
    if (granted) this.promise(from, lease, ask, nowMilliseconds)
    return {
      slot: this.slot,
      group: this.group,
      lease,
      granted,
      voterIncarnation: this.identity.incarnation,
      previous: this.promised?.previous,
      previousUnknown: this.promised?.previousUnknown ?? this.mayHaveForgotten,
      highestTerm: this.highestTerm()
    }
  }

  /** Ends a promise early when its holder gives the lease up. */
  release (from: string, lease: SlotLease): void {
    if (this.promised === undefined || this.promised.holder !== from) return
    if (sameLease(this.promised.lease, lease)) this.promised.until = 0
  }

  private mayPromise (from: string, ask: LeaseAsk, lease: SlotLease, now: number): boolean {
    if (ask.group !== this.group || ask.voterIncarnation !== this.identity.incarnation) return false
    if (now < this.identity.silentUntil) return false
    if (sameLease(this.promised?.lease, lease)) return this.promised?.holder === from
    const holder = this.holder(now)
    if (holder !== undefined && holder !== from) return false
    return lease.term > this.highestTerm()
  }

  private promise (from: string, lease: SlotLease, ask: LeaseAsk, now: number): void {
    const { renew } = ask
    const until = now + this.settings.leaseMilliseconds * (1 + this.settings.clockDriftShare)
    const current = this.promised
    if (current !== undefined && sameLease(current.lease, lease)) {
      current.until = until
      current.confirmed ||= renew
      if (renew) current.previousUnknown = false
      return
    }
    const acquired = current?.confirmed === true || sameLease(current?.lease, ask.knownLease)
    const retried = current !== undefined && current.holder === from && !acquired
    const previous = retried ? current.previous : current?.lease
    const previousUnknown = retried ? current.previousUnknown : this.mayHaveForgotten && !renew
    this.mayHaveForgotten = false
    this.highest = Math.max(this.highest, lease.term)
    this.promisedBefore = current
    this.promised = { lease, holder: from, previous, previousUnknown, confirmed: renew, until }
  }
}

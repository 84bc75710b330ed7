import type { LeaseAsk, LeaseVote, SlotLease } from '@hickoryspoke/protocol/generated/share'
import { sameLease } from './same-lease.ts'
import type { ShareSettings } from './share-settings.ts'

/** A voter's promise of the lease on one slot. */
interface LeasePromise {
  readonly lease: SlotLease
  readonly holder: string
  readonly previous: SlotLease | undefined
  previousUnknown: boolean
  /** Whether the holder has renewed the lease and therefore certainly acquired it. */
  confirmed: boolean
  until: number
}

/** A vote without the fields that `SlotMember` adds. */
export type Vote = Omit<LeaseVote, 'witnessing' | 'previousLevels' | 'leaving'>

/** Identity of the voter's process, shared by all its slots. */
export interface VoterIdentity {
  /** Random number chosen when the process started. */
  readonly incarnation: number
  /** Monotonic time in milliseconds before which nothing is promised, because promises made before a restart may still be in force. */
  readonly abstainsUntil: number
}

/** One member's promises of the lease on one slot, to at most one holder at a time. */
export class SlotVoter {
  private promise: LeasePromise | undefined
  private previousPromise: LeasePromise | undefined
  private highest = 0

  private constructor (
    private readonly settings: ShareSettings,
    private readonly identity: VoterIdentity,
    readonly slot: number,
    private readonly group: number,
    private mayHaveLostPromise: boolean
  ) {}

  /** `mayHaveLostPromise`: a promise to the same group may have been made and lost, by a restart or because epochs were skipped. */
  static create (settings: ShareSettings, identity: VoterIdentity, slot: number, group: number, mayHaveLostPromise: boolean): SlotVoter {
    return new SlotVoter(settings, identity, slot, group, mayHaveLostPromise)
  }

  /** The entry to which the lease is currently promised, if any. */
  holder (nowMilliseconds: number): string | undefined {
    return this.promise !== undefined && this.promise.until > nowMilliseconds ? this.promise.holder : undefined
  }

  /** Monotonic time in milliseconds from which a new holder may be promised the lease. */
  freeAt (): number {
    return Math.max(this.identity.abstainsUntil, this.promise?.until ?? 0)
  }

  highestTerm (): number {
    return this.highest
  }

  /** The lease promised last, even if the promise has expired. */
  get lastLease (): SlotLease | undefined {
    return this.promise?.lease
  }

  /** Whether the lease promised last was promised to the given entry. */
  promisedTo (holder: string): boolean {
    return this.promise?.holder === holder
  }

  /**
   * Whether a grant may be forwarded without being recorded, because it was made under the lease that the same holder
   * is replacing with a new one. If so, the records under the replaced lease count as incomplete from now on.
   */
  allowUnrecordedGrant (from: string, lease: SlotLease | undefined): boolean {
    if (this.promise?.holder !== from || this.promise.confirmed || !sameLease(this.promise.previous, lease)) return false
    this.promise.previousUnknown = true
    return true
  }

  /** Withdraws a promise to this entry itself, whose acquisition has certainly failed. */
  withdrawPromise (lease: SlotLease): void {
    if (!sameLease(this.promise?.lease, lease)) return
    this.promise = this.previousPromise
    this.previousPromise = undefined
  }

  /** Answers a request for the lease and records the promise if it is granted. */
  vote (from: string, ask: LeaseAsk, nowMilliseconds: number): Vote {
    const lease = ask.lease as SlotLease
    const granted = this.mayPromise(from, ask, lease, nowMilliseconds)
    if (granted) this.recordPromise(from, lease, ask, nowMilliseconds)
    return {
      slot: this.slot,
      group: this.group,
      lease,
      granted,
      voterIncarnation: this.identity.incarnation,
      previous: this.promise?.previous,
      previousUnknown: this.promise?.previousUnknown ?? this.mayHaveLostPromise,
      highestTerm: this.highestTerm()
    }
  }

  /** Ends a promise early when the holder relinquishes the lease. */
  release (from: string, lease: SlotLease): void {
    if (this.promise === undefined || this.promise.holder !== from) return
    if (sameLease(this.promise.lease, lease)) this.promise.until = 0
  }

  private mayPromise (from: string, ask: LeaseAsk, lease: SlotLease, now: number): boolean {
    if (ask.group !== this.group || ask.voterIncarnation !== this.identity.incarnation) return false
    if (now < this.identity.abstainsUntil) return false
    if (sameLease(this.promise?.lease, lease)) return this.promise?.holder === from
    const holder = this.holder(now)
    if (holder !== undefined && holder !== from) return false
    return lease.term > this.highestTerm()
  }

  private recordPromise (from: string, lease: SlotLease, ask: LeaseAsk, now: number): void {
    const { renew } = ask
    const until = now + this.settings.leaseMilliseconds * (1 + this.settings.clockDriftRatio)
    const existing = this.promise
    if (existing !== undefined && sameLease(existing.lease, lease)) {
      existing.until = until
      existing.confirmed ||= renew
      if (renew) existing.previousUnknown = false
      return
    }
    const acquired = existing?.confirmed === true || sameLease(existing?.lease, ask.knownLease)
    const retried = existing !== undefined && existing.holder === from && !acquired
    const previous = retried ? existing.previous : existing?.lease
    const previousUnknown = retried ? existing.previousUnknown : this.mayHaveLostPromise && !renew
    this.mayHaveLostPromise = false
    this.highest = Math.max(this.highest, lease.term)
    this.previousPromise = existing
    this.promise = { lease, holder: from, previous, previousUnknown, confirmed: renew, until }
  }
}

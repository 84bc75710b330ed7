import type { LeaseAsk, LeaseVote, SlotHandover, SlotLease } from '@hickoryspoke/protocol/generated/share'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { HomeGroup } from './home-groups.ts'
import type { ShareSettings } from './share-settings.ts'
import { SlotShares } from './slot-shares.ts'
import { sameLease, SlotVoter, type VoterIdentity } from './slot-voter.ts'

interface Attempt {
  readonly lease: SlotLease
  readonly startedAt: number
  readonly granted: Set<string>
  readonly unbroken: Set<string>
}

interface Renewal {
  readonly sentAt: number
  readonly granted: Set<string>
}

const NONCE_RANGE = 2 ** 48

/**
 * One member's part in the lease on one slot. A holder needs the promises of a majority of the
 * home group. What it knows of used tokens carries over only when a majority has promised the
 * slot to nobody else in between; otherwise the shares start used up.
 */
export class SlotMember {
  readonly voter: SlotVoter
  private attempt: Attempt | undefined
  private renewal: Renewal | undefined
  private lastVoter: string | undefined
  private lease: SlotLease | undefined
  private heldUntil = 0
  private highestTerm = 0
  private retryAt = 0
  private givenUp = false
  /** The lease up to which `shares` are complete. */
  private knownLease: SlotLease | undefined
  shares = SlotShares.create(0)

  private constructor (
    private readonly settings: ShareSettings,
    private readonly identity: VoterIdentity,
    private readonly self: string,
    readonly slot: number,
    readonly group: HomeGroup,
    mayHaveForgotten: boolean
  ) {
    this.voter = SlotVoter.create(settings, identity, slot, group.digest, mayHaveForgotten)
  }

  static create (settings: ShareSettings, identity: VoterIdentity, self: string, slot: number, group: HomeGroup, mayHaveForgotten: boolean): SlotMember {
    return new SlotMember(settings, identity, self, slot, group, mayHaveForgotten)
  }

  /** Monotonic time in milliseconds until which this entry may grant tokens. */
  holdsUntil (): number {
    return this.lease === undefined ? 0 : this.heldUntil
  }

  /** Takes over what this entry knew as holder with the former home group, provided that it still holds that lease. */
  continueFrom (former: SlotMember, nowMilliseconds: number): void {
    if (former.holdsUntil() <= nowMilliseconds) return
    this.knownLease = former.knownLease
    this.shares = former.shares
  }

  /** Decides whether to send asks now: those to extend the lease, or to acquire it. */
  check (nowMilliseconds: number, random: RandomSource): Omit<LeaseAsk, 'voterIncarnation'> | undefined {
    if (this.givenUp) return undefined
    if (this.lease !== undefined && nowMilliseconds >= this.heldUntil) this.lose()
    if (this.lease !== undefined) return this.checkRenewal(this.lease, nowMilliseconds)
    return this.checkAttempt(nowMilliseconds, random)
  }

  /** Counts a vote of a member of the group. */
  receiveVote (from: string, vote: LeaseVote, nowMilliseconds: number): void {
    this.highestTerm = Math.max(this.highestTerm, vote.highestTerm)
    if (!this.group.members.includes(from) || !vote.granted) return
    if (from !== this.self) this.lastVoter = from
    if (this.attempt !== undefined && sameLease(this.attempt.lease, vote.lease)) this.countAttempt(this.attempt, from, vote, nowMilliseconds)
    else if (this.renewal !== undefined && sameLease(this.lease, vote.lease)) this.countRenewal(this.renewal, from)
  }

  /** The other member that promised the lease last. */
  successor (): string | undefined {
    return this.lastVoter
  }

  /** Gives the lease up for good and passes on what is known; undefined when it is not held. */
  giveUp (): SlotLease | undefined {
    const lease = this.lease
    this.lose()
    this.givenUp = true
    this.knownLease = undefined
    return lease
  }

  /** Takes what a former holder passed on; it counts only if nobody held the lease in between. */
  inherit (handover: SlotHandover, nowMilliseconds: number): void {
    if (this.lease !== undefined || handover.group !== this.group.digest) return
    const usedUpAt = nowMilliseconds + handover.usedUpAfterMilliseconds * (1 + this.settings.clockDriftShare)
    const knownSince = nowMilliseconds - handover.knownForMilliseconds
    this.attempt = undefined
    this.knownLease = handover.lease
    this.shares = SlotShares.inherit(handover.levels, knownSince, usedUpAt, nowMilliseconds)
    this.retryAt = nowMilliseconds
  }

  private get majority (): number {
    return Math.floor(this.group.members.length / 2) + 1
  }

  private lose (): void {
    this.lease = undefined
    this.renewal = undefined
    this.heldUntil = 0
  }

  private checkRenewal (lease: SlotLease, now: number): Omit<LeaseAsk, 'voterIncarnation'> | undefined {
    if (this.renewal !== undefined && now - this.renewal.sentAt < this.settings.leaseRenewMilliseconds) return undefined
    this.renewal = { sentAt: now, granted: new Set() }
    const ask = { slot: this.slot, group: this.group.digest, lease, renew: true }
    this.voteForSelf(ask, now)
    return ask
  }

  private checkAttempt (now: number, random: RandomSource): Omit<LeaseAsk, 'voterIncarnation'> | undefined {
    if (this.attempt !== undefined && now - this.attempt.startedAt >= this.settings.leaseAttemptMilliseconds) this.abandon(now, random)
    if (this.attempt !== undefined || now < this.retryAt) return undefined
    const rank = this.knownLease !== undefined ? 0 : this.group.members.indexOf(this.self)
    if (now < this.voter.freeAt() + rank * this.settings.leaseRankDelayMilliseconds) return undefined
    const term = Math.max(this.highestTerm, this.voter.highestTerm()) + 1
    const lease = { term, nonce: Math.floor(random.next() * NONCE_RANGE) }
    this.attempt = { lease, startedAt: now, granted: new Set(), unbroken: new Set() }
    const ask = { slot: this.slot, group: this.group.digest, lease, renew: false }
    this.voteForSelf(ask, now)
    return ask
  }

  private abandon (now: number, random: RandomSource): void {
    if (this.attempt !== undefined) this.voter.release(this.self, this.attempt.lease)
    this.attempt = undefined
    this.retryAt = now + random.next() * this.settings.leaseAttemptMilliseconds
  }

  private voteForSelf (ask: Omit<LeaseAsk, 'voterIncarnation'>, now: number): void {
    this.receiveVote(this.self, this.voter.vote(this.self, { ...ask, voterIncarnation: this.identity.incarnation }, now), now)
  }

  private countAttempt (attempt: Attempt, from: string, vote: LeaseVote, now: number): void {
    attempt.granted.add(from)
    const unbroken = vote.previous === undefined || sameLease(vote.previous, this.knownLease)
    if (unbroken && !vote.previousUnknown) attempt.unbroken.add(from)
    if (attempt.granted.size < this.majority) return
    if (this.knownLease === undefined || attempt.unbroken.size < this.majority) this.shares = SlotShares.create(now)
    this.lease = attempt.lease
    this.knownLease = attempt.lease
    this.heldUntil = attempt.startedAt + this.settings.leaseMilliseconds
    this.renewal = { sentAt: attempt.startedAt, granted: new Set() }
    this.attempt = undefined
  }

  private countRenewal (renewal: Renewal, from: string): void {
    renewal.granted.add(from)
    if (renewal.granted.size < this.majority) return
    this.heldUntil = Math.max(this.heldUntil, renewal.sentAt + this.settings.leaseMilliseconds)
  }
}

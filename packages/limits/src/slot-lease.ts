import type { LeaseAsk, LeaseVote, SlotHandover, SlotLease, SlotLevels, WitnessedGrant } from '@hickoryspoke/protocol/generated/share'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { HomeGroup } from './home-groups.ts'
import type { ShareSettings } from './share-settings.ts'
import { sameLease } from './same-lease.ts'
import { type ShareLookup, SlotShares } from './slot-shares.ts'
import { SlotVoter, type VoterIdentity } from './slot-voter.ts'
import { SlotWitness } from './slot-witness.ts'

interface Attempt {
  readonly lease: SlotLease
  readonly startedAt: number
  readonly votes: Map<string, LeaseVote>
}

interface Renewal {
  readonly sentAt: number
  readonly granted: Set<string>
}

type PartialAsk = Omit<LeaseAsk, 'voterIncarnation'>

/** What a member works with. */
export interface SlotMemberParts {
  readonly settings: ShareSettings
  readonly identity: VoterIdentity
  readonly self: string
  readonly lookup: ShareLookup
}

const NONCE_RANGE = 2 ** 48

/**
 * One member's part in the lease on one slot. A holder needs the promises of a majority of the
 * home group, and each grant passes through another member that records it. So a new holder
 * learns from a majority what was used; where that is not complete, the shares start used up.
 */
export class SlotMember {
  readonly voter: SlotVoter
  private attempt: Attempt | undefined
  private renewal: Renewal | undefined
  private readonly votedAt = new Map<string, number>()
  private readonly leaving = new Set<string>()
  private readonly witness = SlotWitness.create()
  private lease: SlotLease | undefined
  private heldUntil = 0
  private highestTerm = 0
  private retryAt = 0
  private givenUp = false
  private replaceLease = false
  /** The lease up to which `shares` are complete. */
  private knownLease: SlotLease | undefined
  shares = SlotShares.create(0)

  private constructor (
    private readonly parts: SlotMemberParts,
    readonly slot: number,
    readonly group: HomeGroup,
    mayHaveForgotten: boolean
  ) {
    this.voter = SlotVoter.create(parts.settings, parts.identity, slot, group.digest, mayHaveForgotten)
  }

  static create (parts: SlotMemberParts, slot: number, group: HomeGroup, mayHaveForgotten: boolean): SlotMember {
    return new SlotMember(parts, slot, group, mayHaveForgotten)
  }

  /** Monotonic time in milliseconds until which this entry may grant tokens. */
  holdsUntil (): number {
    return this.lease === undefined ? 0 : this.heldUntil
  }

  /** Gives a member that knows what was used the first try. */
  holdBack (nowMilliseconds: number): void {
    if (this.knownLease === undefined) this.retryAt = nowMilliseconds + this.parts.settings.leaseAttemptMilliseconds
  }

  /** Takes over what this entry knew as holder with the former home group, provided that it still holds that lease. */
  continueFrom (former: SlotMember, nowMilliseconds: number): void {
    if (former.holdsUntil() <= nowMilliseconds) return
    this.knownLease = former.knownLease
    this.shares = former.shares
  }

  /** Decides whether to send asks now: those to extend the lease, or to acquire it. */
  check (nowMilliseconds: number, random: RandomSource): PartialAsk | undefined {
    if (this.givenUp) return undefined
    if (this.lease !== undefined && nowMilliseconds >= this.heldUntil) this.lose()
    if (this.lease !== undefined && !this.replaceLease) return this.checkRenewal(this.lease, nowMilliseconds)
    return this.checkAttempt(nowMilliseconds, random)
  }

  /** Answers an ask of another member for the lease; a new acquisition gets what this member knows of used tokens. */
  vote (from: string, ask: LeaseAsk, nowMilliseconds: number): LeaseVote {
    if (ask.renew && from !== this.parts.self) this.yieldTo(nowMilliseconds)
    const vote = this.voter.vote(from, ask, nowMilliseconds)
    if (!vote.granted) return { ...vote, witnessing: false, previousLevels: undefined, leaving: this.givenUp }
    if (from !== this.parts.self) this.lose()
    const previousLevels = ask.renew ? undefined : this.reportFor(vote.previous, nowMilliseconds)
    return { ...vote, witnessing: this.witness.completeFor(ask.lease), previousLevels, leaving: this.givenUp }
  }

  /** Counts a vote of a member of the group; true when that member must be told everything known here. */
  receiveVote (from: string, vote: LeaseVote, nowMilliseconds: number): boolean {
    this.highestTerm = Math.max(this.highestTerm, vote.highestTerm)
    if (!this.group.members.includes(from)) return false
    if (!vote.granted) return this.noteRefusal(vote)
    if (vote.leaving) this.forgetVoter(from)
    else this.noteVoter(from, nowMilliseconds)
    if (this.attempt !== undefined && sameLease(this.attempt.lease, vote.lease)) this.countAttempt(this.attempt, from, vote, nowMilliseconds)
    else if (this.renewal !== undefined && sameLease(this.lease, vote.lease)) this.countRenewal(this.renewal, from)
    return from !== this.parts.self && !vote.witnessing && sameLease(this.lease, vote.lease)
  }

  /** Everything this entry knows as holder; undefined when it is not. */
  heldLevels (nowMilliseconds: number): SlotLevels | undefined {
    return this.lease === undefined ? undefined : this.shares.levels(this.lease, this.parts.lookup, nowMilliseconds)
  }

  /** The lease this entry holds. */
  get heldLease (): SlotLease | undefined {
    return this.lease
  }

  /** Takes everything that the holder knows, when this member has promised it the lease. */
  syncWitness (from: string, levels: SlotLevels, nowMilliseconds: number): void {
    if (this.follows(from, levels.lease)) this.witness.sync(levels, nowMilliseconds)
  }

  /** Records a grant of the holder; false when this member has promised the lease to another since. */
  recordGrant (from: string, grant: WitnessedGrant, nowMilliseconds: number): boolean {
    if (grant.level === undefined) return false
    if (!this.follows(from, grant.lease)) return this.voter.passUnrecorded(from, grant.lease)
    this.witness.record(grant.lease, grant.level, nowMilliseconds)
    return true
  }

  /** Another member that has voted lately, in a wanted zone where possible; undefined when there is no other. */
  witnessNear (zone: string | undefined, zoneOf: (name: string) => string | undefined, nowMilliseconds: number): string | undefined {
    const others = this.group.members.filter((member) => member !== this.parts.self)
    const lately = nowMilliseconds - WITNESS_RENEWALS * this.parts.settings.leaseRenewMilliseconds
    const recent = others.filter((member) => (this.votedAt.get(member) ?? -Infinity) >= lately)
    return recent.find((member) => zoneOf(member) === zone) ?? recent[0] ?? this.successor()
  }

  /** Chooses another witness than a member that leaves. */
  forgetVoter (name: string): void {
    this.votedAt.delete(name)
    this.leaving.add(name)
  }

  /** The other member that promised the lease last. */
  successor (): string | undefined {
    const others = this.group.members.filter((member) => member !== this.parts.self)
    const staying = others.filter((member) => !this.leaving.has(member))
    return (staying.length > 0 ? staying : others).sort((left, right) => (this.votedAt.get(right) ?? 0) - (this.votedAt.get(left) ?? 0))[0]
  }

  /** Forgets what says no more than its absence. */
  sweep (nowMilliseconds: number): void {
    this.shares.sweep(this.parts.lookup, nowMilliseconds)
    this.witness.sweep(this.parts.lookup, nowMilliseconds)
  }

  /** Gives the lease up for good; what is known is to be passed on first. */
  giveUp (): void {
    this.lose()
    this.givenUp = true
    this.knownLease = undefined
  }

  /** Takes what a former holder passed on; it counts only if nobody held the lease in between. */
  inherit (handover: SlotHandover, nowMilliseconds: number): void {
    if (this.lease !== undefined || handover.group !== this.group.digest || handover.levels === undefined) return
    this.attempt = undefined
    this.knownLease = handover.levels.lease
    this.shares = SlotShares.inherit([handover.levels], nowMilliseconds, this.parts.settings.clockDriftShare)
    this.retryAt = nowMilliseconds
  }

  private get majority (): number {
    return Math.floor(this.group.members.length / 2) + 1
  }

  private lose (): void {
    this.lease = undefined
    this.renewal = undefined
    this.replaceLease = false
    this.heldUntil = 0
  }

  private checkRenewal (lease: SlotLease, now: number): PartialAsk | undefined {
    if (this.renewal !== undefined && now - this.renewal.sentAt < this.renewalInterval(this.renewal)) return undefined
    this.renewal = { sentAt: now, granted: new Set() }
    const ask = { slot: this.slot, group: this.group.digest, lease, renew: true, knownLease: this.knownLease }
    this.voteForSelf(ask, now)
    return ask
  }

  private checkAttempt (now: number, random: RandomSource): PartialAsk | undefined {
    if (this.attempt !== undefined && now - this.attempt.startedAt >= this.parts.settings.leaseAttemptMilliseconds) this.abandon(now, random)
    if (this.attempt !== undefined || now < this.retryAt) return undefined
    if (this.lease === undefined && now < this.mayAttemptAt(now)) return undefined
    const term = Math.max(this.highestTerm, this.voter.highestTerm()) + 1
    const lease = { term, nonce: Math.floor(random.next() * NONCE_RANGE) }
    this.attempt = { lease, startedAt: now, votes: new Map() }
    const ask = { slot: this.slot, group: this.group.digest, lease, renew: false, knownLease: this.knownLease }
    this.voteForSelf(ask, now)
    return ask
  }

  /** A renewal that a majority has not granted is tried again soon. */
  private renewalInterval (renewal: Renewal): number {
    const { leaseRenewMilliseconds, leaseCheckMilliseconds } = this.parts.settings
    return renewal.granted.size >= this.majority ? leaseRenewMilliseconds : leaseCheckMilliseconds
  }

  /** Another member holds the lease: an attempt of this one has failed, and the next one waits. */
  private yieldTo (now: number): void {
    if (this.attempt !== undefined && this.lease === undefined) {
      this.voter.rollBack(this.attempt.lease)
      this.attempt = undefined
    }
    this.retryAt = Math.max(this.retryAt, now + this.parts.settings.leaseMilliseconds)
  }

  private noteVoter (name: string, now: number): void {
    this.votedAt.set(name, now)
    this.leaving.delete(name)
  }

  private mayAttemptAt (now: number): number {
    if (this.knownLease !== undefined && this.voter.promisedTo(this.parts.self)) return now
    const rank = this.knownLease !== undefined ? 0 : this.group.members.indexOf(this.parts.self)
    return this.voter.freeAt() + rank * this.parts.settings.leaseRankDelayMilliseconds
  }

  /** A member that has promised another attempt since takes part again only with a newer lease. */
  private noteRefusal (vote: LeaseVote): false {
    if (this.lease !== undefined && sameLease(this.lease, vote.lease) && vote.highestTerm >= this.lease.term) this.replaceLease = true
    return false
  }

  private abandon (now: number, random: RandomSource): void {
    if (this.attempt !== undefined) this.voter.rollBack(this.attempt.lease)
    this.attempt = undefined
    this.retryAt = Math.max(this.retryAt, now + random.next() * this.parts.settings.leaseAttemptMilliseconds)
  }

  private voteForSelf (ask: PartialAsk, now: number): void {
    const { identity, self } = this.parts
    this.receiveVote(self, this.vote(self, { ...ask, voterIncarnation: identity.incarnation }, now), now)
  }

  private follows (from: string, lease: SlotLease | undefined): boolean {
    return this.voter.promisedTo(from) && sameLease(this.voter.lastLease, lease)
  }

  private reportFor (previous: SlotLease | undefined, now: number): SlotLevels | undefined {
    if (previous === undefined) return undefined
    if (sameLease(previous, this.knownLease)) return this.shares.levels(previous, this.parts.lookup, now)
    return this.witness.report(previous, now)
  }

  private countAttempt (attempt: Attempt, from: string, vote: LeaseVote, now: number): void {
    attempt.votes.set(from, vote)
    if (attempt.votes.size < this.majority) return
    this.learnFrom([...attempt.votes.values()], now)
    this.lease = attempt.lease
    this.knownLease = attempt.lease
    this.heldUntil = attempt.startedAt + this.parts.settings.leaseMilliseconds
    this.renewal = { sentAt: attempt.startedAt, granted: new Set(attempt.votes.keys()) }
    this.attempt = undefined
    this.replaceLease = false
  }

  /** Keeps what is known when nobody else held the lease since, or learns it from the voters, or starts used up. */
  private learnFrom (votes: readonly LeaseVote[], now: number): void {
    const unbroken = votes.every((vote) => !vote.previousUnknown && (vote.previous === undefined || sameLease(vote.previous, this.knownLease)))
    if (unbroken && this.knownLease !== undefined) return
    const previous = votes[0]?.previous
    const agreed = votes.every((vote) => !vote.previousUnknown && sameLease(vote.previous, previous))
    const reports = votes.flatMap((vote) => vote.previousLevels ?? [])
    const complete = agreed && reports.length === votes.length
    this.shares = complete ? SlotShares.inherit(reports, now, this.parts.settings.clockDriftShare) : SlotShares.create(now)
  }

  private countRenewal (renewal: Renewal, from: string): void {
    renewal.granted.add(from)
    if (renewal.granted.size < this.majority) return
    this.heldUntil = Math.max(this.heldUntil, renewal.sentAt + this.parts.settings.leaseMilliseconds)
  }
}

/** A member counts as live as witness when it voted within this many renewals. */
const WITNESS_RENEWALS = 1.5

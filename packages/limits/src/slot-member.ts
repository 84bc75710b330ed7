import type { LeaseAsk, LeaseVote, SlotHandover, SlotLease, SlotLevels, WitnessedGrant } from '@hickoryspoke/protocol/generated/share'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { LeaseGroup } from './lease-groups.ts'
import { sameLease } from './same-lease.ts'
import type { SlotMemberOptions } from './slot-member-options.ts'
import { SlotShares } from './slot-shares.ts'
import { SlotVoter } from './slot-voter.ts'
import { SlotWitness } from './slot-witness.ts'

interface LeaseAttempt {
  readonly lease: SlotLease
  readonly startedAt: number
  readonly votes: Map<string, LeaseVote>
}

interface Renewal {
  readonly sentAt: number
  readonly granted: Set<string>
}

type PartialAsk = Omit<LeaseAsk, 'voterIncarnation'>

const NONCE_RANGE = 2 ** 48

/**
 * One member of the lease group of a slot: it votes on the lease, may hold it, and records the holder's grants.
 * A holder needs the promises of a majority of the group, and each grant is forwarded through another member
 * that records it. A new holder can therefore learn from a majority how many tokens were used. If those
 * records are incomplete, the shares start as used up.
 */
export class SlotMember {
  readonly voter: SlotVoter
  private attempt: LeaseAttempt | undefined
  private renewal: Renewal | undefined
  private readonly lastVoteAt = new Map<string, number>()
  private readonly leaving = new Set<string>()
  private readonly witness = SlotWitness.create()
  private lease: SlotLease | undefined
  private leaseEndsAt = 0
  private highestTerm = 0
  private retryAt = 0
  private relinquished = false
  private replaceLease = false
  /** The last lease held by this entry, or handed over to it; `shares` covers all grants up to the end of that lease. */
  private knownLease: SlotLease | undefined
  shares = SlotShares.create(0)

  private constructor (
    private readonly options: SlotMemberOptions,
    readonly slot: number,
    readonly group: LeaseGroup,
    mayHaveLostPromise: boolean
  ) {
    this.voter = SlotVoter.create(options.settings, options.identity, slot, group.digest, mayHaveLostPromise)
  }

  static create (options: SlotMemberOptions, slot: number, group: LeaseGroup, mayHaveLostPromise: boolean): SlotMember {
    return new SlotMember(options, slot, group, mayHaveLostPromise)
  }

  /** Monotonic time in milliseconds until which this entry holds the lease; 0 if it does not. */
  holdsUntil (): number {
    return this.lease === undefined ? 0 : this.leaseEndsAt
  }

  /** Delays the first attempt of a member without usage data, so that one that has it can acquire the lease first. */
  deferAttempt (nowMilliseconds: number): void {
    if (this.knownLease === undefined) this.retryAt = nowMilliseconds + this.options.settings.leaseAttemptMilliseconds
  }

  /** Takes over the usage data of this entry's member of the previous lease group, provided that it still holds that lease. */
  continueFrom (previous: SlotMember, nowMilliseconds: number): void {
    if (previous.holdsUntil() <= nowMilliseconds) return
    this.knownLease = previous.knownLease
    this.shares = previous.shares
  }

  /** Returns the ask to send to the other members now, to renew the lease or to acquire it; undefined if none is due. */
  check (nowMilliseconds: number, random: RandomSource): PartialAsk | undefined {
    if (this.relinquished) return undefined
    if (this.lease !== undefined && nowMilliseconds >= this.leaseEndsAt) this.dropLease()
    if (this.lease !== undefined && !this.replaceLease) return this.checkRenewal(this.lease, nowMilliseconds)
    return this.checkAttempt(nowMilliseconds, random)
  }

  /** Answers a member's ask for the lease. The vote for a new acquisition includes the token usage known to this member. */
  vote (from: string, ask: LeaseAsk, nowMilliseconds: number): LeaseVote {
    if (ask.renew && from !== this.options.self) this.yieldToHolder(nowMilliseconds)
    const vote = this.voter.vote(from, ask, nowMilliseconds)
    if (!vote.granted) return { ...vote, witnessing: false, previousLevels: undefined, leaving: this.relinquished }
    if (from !== this.options.self) this.dropLease()
    const previousLevels = ask.renew ? undefined : this.usageReport(vote.previous, nowMilliseconds)
    return { ...vote, witnessing: this.witness.isCompleteFor(ask.lease), previousLevels, leaving: this.relinquished }
  }

  /** Counts a vote of a group member. Returns true if this entry holds the lease and the voter needs a sync of its records. */
  receiveVote (from: string, vote: LeaseVote, nowMilliseconds: number): boolean {
    this.highestTerm = Math.max(this.highestTerm, vote.highestTerm)
    if (!this.group.members.includes(from)) return false
    if (!vote.granted) return this.recordRefusal(vote)
    if (vote.leaving) this.markLeaving(from)
    else this.recordVoter(from, nowMilliseconds)
    if (this.attempt !== undefined && sameLease(this.attempt.lease, vote.lease)) this.countAttemptVote(this.attempt, from, vote, nowMilliseconds)
    else if (this.renewal !== undefined && sameLease(this.lease, vote.lease)) this.countRenewalVote(this.renewal, from)
    return from !== this.options.self && !vote.witnessing && sameLease(this.lease, vote.lease)
  }

  /** Usage levels of all shares of the slot; undefined if this entry does not hold the lease. */
  heldLevels (nowMilliseconds: number): SlotLevels | undefined {
    return this.lease === undefined ? undefined : this.shares.levels(this.lease, this.options.lookup, nowMilliseconds)
  }

  /** The lease that this entry holds, if any. */
  get heldLease (): SlotLease | undefined {
    return this.lease
  }

  /** Stores all levels sent by the lease holder, if this member has promised it the lease. */
  syncRecords (from: string, levels: SlotLevels, nowMilliseconds: number): void {
    if (this.hasPromised(from, levels.lease)) this.witness.sync(levels, nowMilliseconds)
  }

  /**
   * Records a grant of the lease holder. Returns false, so that the grant is not forwarded, if this member has
   * promised the lease to another entry since.
   */
  recordGrant (from: string, grant: WitnessedGrant, nowMilliseconds: number): boolean {
    if (grant.level === undefined) return false
    if (!this.hasPromised(from, grant.lease)) return this.voter.allowUnrecordedGrant(from, grant.lease)
    this.witness.record(grant.lease, grant.level, nowMilliseconds)
    return true
  }

  /** Another member that has voted recently, in the given zone where possible; undefined if there is no other member. */
  chooseWitness (zone: string | undefined, zoneOf: (name: string) => string | undefined, nowMilliseconds: number): string | undefined {
    const others = this.group.members.filter((member) => member !== this.options.self)
    const recentSince = nowMilliseconds - RECENT_VOTE_RENEWALS * this.options.settings.leaseRenewMilliseconds
    const recent = others.filter((member) => (this.lastVoteAt.get(member) ?? -Infinity) >= recentSince)
    return recent.find((member) => zoneOf(member) === zone) ?? recent[0] ?? this.successor()
  }

  /** Avoids a member that is leaving when choosing a witness or a successor. */
  markLeaving (name: string): void {
    this.lastVoteAt.delete(name)
    this.leaving.add(name)
  }

  /** The other member that voted most recently, preferably one that is not leaving. */
  successor (): string | undefined {
    const others = this.group.members.filter((member) => member !== this.options.self)
    const staying = others.filter((member) => !this.leaving.has(member))
    return (staying.length > 0 ? staying : others).sort((left, right) => (this.lastVoteAt.get(right) ?? 0) - (this.lastVoteAt.get(left) ?? 0))[0]
  }

  /** Removes usage data and records that no longer have an effect. */
  sweep (nowMilliseconds: number): void {
    this.shares.sweep(this.options.lookup, nowMilliseconds)
    this.witness.sweep(this.options.lookup, nowMilliseconds)
  }

  /** Gives up the lease permanently. The caller must read `heldLevels` first if it hands the slot over. */
  relinquish (): void {
    this.dropLease()
    this.relinquished = true
    this.knownLease = undefined
  }

  /** Takes over the usage data handed over by the previous holder. It is used only if no other entry holds the lease in between. */
  acceptHandover (handover: SlotHandover, nowMilliseconds: number): void {
    if (this.lease !== undefined || handover.group !== this.group.digest || handover.levels === undefined) return
    this.attempt = undefined
    this.knownLease = handover.levels.lease
    this.shares = SlotShares.fromReports([handover.levels], nowMilliseconds, this.options.settings.clockDriftRatio)
    this.retryAt = nowMilliseconds
  }

  private get majority (): number {
    return Math.floor(this.group.members.length / 2) + 1
  }

  private dropLease (): void {
    this.lease = undefined
    this.renewal = undefined
    this.replaceLease = false
    this.leaseEndsAt = 0
  }

  private checkRenewal (lease: SlotLease, now: number): PartialAsk | undefined {
    if (this.renewal !== undefined && now - this.renewal.sentAt < this.renewalInterval(this.renewal)) return undefined
    this.renewal = { sentAt: now, granted: new Set() }
    const ask = { slot: this.slot, group: this.group.digest, lease, renew: true, knownLease: this.knownLease }
    this.voteForSelf(ask, now)
    return ask
  }

  private checkAttempt (now: number, random: RandomSource): PartialAsk | undefined {
    if (this.attempt !== undefined && now - this.attempt.startedAt >= this.options.settings.leaseAttemptMilliseconds) this.abandonAttempt(now, random)
    if (this.attempt !== undefined || now < this.retryAt) return undefined
    if (this.lease === undefined && now < this.earliestAttemptAt(now)) return undefined
    const term = Math.max(this.highestTerm, this.voter.highestTerm()) + 1
    const lease = { term, nonce: Math.floor(random.next() * NONCE_RANGE) }
    this.attempt = { lease, startedAt: now, votes: new Map() }
    const ask = { slot: this.slot, group: this.group.digest, lease, renew: false, knownLease: this.knownLease }
    this.voteForSelf(ask, now)
    return ask
  }

  /** A renewal that has not been granted by a majority is repeated at the shorter check interval. */
  private renewalInterval (renewal: Renewal): number {
    const { leaseRenewMilliseconds, leaseCheckMilliseconds } = this.options.settings
    return renewal.granted.size >= this.majority ? leaseRenewMilliseconds : leaseCheckMilliseconds
  }

  /** Handles a renewal by another member: it holds the lease, so this member's attempt has failed and the next one is delayed. */
  private yieldToHolder (now: number): void {
    if (this.attempt !== undefined && this.lease === undefined) {
      this.voter.withdrawPromise(this.attempt.lease)
      this.attempt = undefined
    }
    this.retryAt = Math.max(this.retryAt, now + this.options.settings.leaseMilliseconds)
  }

  private recordVoter (name: string, now: number): void {
    this.lastVoteAt.set(name, now)
    this.leaving.delete(name)
  }

  private earliestAttemptAt (now: number): number {
    if (this.knownLease !== undefined && this.voter.promisedTo(this.options.self)) return now
    const rank = this.knownLease !== undefined ? 0 : this.group.members.indexOf(this.options.self)
    return this.voter.freeAt() + rank * this.options.settings.leaseRankDelayMilliseconds
  }

  /** Makes the holder acquire a newer lease when a voter has since promised another attempt, because that voter cannot renew this one. */
  private recordRefusal (vote: LeaseVote): false {
    if (this.lease !== undefined && sameLease(this.lease, vote.lease) && vote.highestTerm >= this.lease.term) this.replaceLease = true
    return false
  }

  private abandonAttempt (now: number, random: RandomSource): void {
    if (this.attempt !== undefined) this.voter.withdrawPromise(this.attempt.lease)
    this.attempt = undefined
    this.retryAt = Math.max(this.retryAt, now + random.next() * this.options.settings.leaseAttemptMilliseconds)
  }

  private voteForSelf (ask: PartialAsk, now: number): void {
    const { identity, self } = this.options
    this.receiveVote(self, this.vote(self, { ...ask, voterIncarnation: identity.incarnation }, now), now)
  }

  private hasPromised (from: string, lease: SlotLease | undefined): boolean {
    return this.voter.promisedTo(from) && sameLease(this.voter.lastLease, lease)
  }

  private usageReport (previous: SlotLease | undefined, now: number): SlotLevels | undefined {
    if (previous === undefined) return undefined
    if (sameLease(previous, this.knownLease)) return this.shares.levels(previous, this.options.lookup, now)
    return this.witness.report(previous, now)
  }

  private countAttemptVote (attempt: LeaseAttempt, from: string, vote: LeaseVote, now: number): void {
    attempt.votes.set(from, vote)
    if (attempt.votes.size < this.majority) return
    this.restoreUsage([...attempt.votes.values()], now)
    this.lease = attempt.lease
    this.knownLease = attempt.lease
    this.leaseEndsAt = attempt.startedAt + this.options.settings.leaseMilliseconds
    this.renewal = { sentAt: attempt.startedAt, granted: new Set(attempt.votes.keys()) }
    this.attempt = undefined
    this.replaceLease = false
  }

  /**
   * Sets the usage data of a newly acquired lease: keeps the data held here if no other entry held the lease since,
   * else restores it from complete reports of the voters, else starts with all shares used up.
   */
  private restoreUsage (votes: readonly LeaseVote[], now: number): void {
    const unbroken = votes.every((vote) => !vote.previousUnknown && (vote.previous === undefined || sameLease(vote.previous, this.knownLease)))
    if (unbroken && this.knownLease !== undefined) return
    const previous = votes[0]?.previous
    const samePrevious = votes.every((vote) => !vote.previousUnknown && sameLease(vote.previous, previous))
    const reports = votes.flatMap((vote) => vote.previousLevels ?? [])
    const complete = samePrevious && reports.length === votes.length
    this.shares = complete ? SlotShares.fromReports(reports, now, this.options.settings.clockDriftRatio) : SlotShares.create(now)
  }

  private countRenewalVote (renewal: Renewal, from: string): void {
    renewal.granted.add(from)
    if (renewal.granted.size < this.majority) return
    this.leaseEndsAt = Math.max(this.leaseEndsAt, renewal.sentAt + this.options.settings.leaseMilliseconds)
  }
}

/** A member is preferred as witness if it voted within this many renewal intervals. */
const RECENT_VOTE_RENEWALS = 1.5

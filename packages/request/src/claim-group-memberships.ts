import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { ClaimGroup, ClaimGroups } from './claim-groups.ts'
import type { ClaimSettings } from './claim-settings.ts'

/** This entry's membership in the group of one slot. */
export interface ClaimGroupMembership {
  readonly slot: number
  group: ClaimGroup
  /** Whether this entry may vote on claims. Until then it may lack records that other members have. */
  isVoting: boolean
  /** First epoch for which the records are complete once this entry votes. */
  readonly sinceEpoch: number
  /** Last epoch in which this entry was a member; 0 while it still is. */
  untilEpoch: number
  /** Group of the previous epoch, if this entry knows it. */
  readonly formerGroup: ClaimGroup | undefined
  readonly formerEpoch: number
  /** Start of the quarantine, set once no entry can act on an earlier epoch. When it ends, all lost records have expired. */
  quarantineFromMilliseconds: number | undefined
  /** A previous process of this entry may have voted in this group, and its records are lost. */
  readonly mayHaveForgotten: boolean
  readonly copiedFromFormer: Set<string>
  readonly copiedFromCurrent: Set<string>
}

/** A copy that a membership needs before it can vote: the records of a slot, as of an epoch, from one entry. */
export interface RequiredCopy {
  readonly from: string
  readonly epoch: number
  readonly slot: number
}

/** Whether the entry is in the fleet's membership and, if so, whether this is the enrolled process or a restart of it. */
export const PROCESS_ENROLMENTS = { absent: 'absent', original: 'original', restarted: 'restarted' } as const
export type ProcessEnrolment = typeof PROCESS_ENROLMENTS[keyof typeof PROCESS_ENROLMENTS]

const FIRST_EPOCH = 1

/** Tracks the slots on which this entry votes, across membership changes and restarts. */
export class ClaimGroupMemberships {
  private readonly memberships = new Map<number, ClaimGroupMembership>()
  /** Slots whose group has changed. Cleared once no entry can act on an earlier epoch. */
  private readonly unsettled = new Set<number>()
  private groups: ClaimGroups | undefined
  private wasEnrolled = false
  private readonly startedMilliseconds: number

  private constructor (
    private readonly clock: Clock,
    private readonly settings: ClaimSettings,
    private readonly lease: EpochLease,
    private readonly self: string
  ) {
    this.startedMilliseconds = clock.monotonicMilliseconds()
  }

  static create (clock: Clock, settings: ClaimSettings, lease: EpochLease, self: string): ClaimGroupMemberships {
    return new ClaimGroupMemberships(clock, settings, lease, self)
  }

  /** Epoch of the latest membership; 0 before the first. */
  get epoch (): number {
    return this.groups?.epoch ?? 0
  }

  /** Returns the group of a slot, or undefined before the first membership. */
  groupOf (slot: number): ClaimGroup | undefined {
    return this.groups?.of(slot)
  }

  /** Returns the membership of this entry in a slot. It may have ended; see `untilEpoch`. */
  membershipOf (slot: number): ClaimGroupMembership | undefined {
    return this.memberships.get(slot)
  }

  /** Whether this entry holds a valid lease on its epoch. */
  isLeaseValid (): boolean {
    return this.lease.epoch() === this.epoch && this.lease.validUntilMilliseconds() > this.clock.monotonicMilliseconds()
  }

  /** Whether claims in this slot can be decided: no entry can still decide them with an earlier group. */
  isSettled (slot: number): boolean {
    if (!this.isLeaseValid()) return false
    if (this.unsettled.size > 0 && this.clock.monotonicMilliseconds() >= this.lease.exclusiveFromMilliseconds()) this.unsettled.clear()
    return !this.unsettled.has(slot)
  }

  /** Whether claims in every slot can be decided. */
  isSettledEverywhere (): boolean {
    return this.isSettled(0) && this.unsettled.size === 0
  }

  /** Applies the membership of a later epoch; older ones are ignored. */
  apply (groups: ClaimGroups, enrolment: ProcessEnrolment): void {
    const former = this.groups
    if (former !== undefined && groups.epoch <= former.epoch) return
    this.isSettled(0)
    this.groups = groups
    const mayHaveForgotten = enrolment === PROCESS_ENROLMENTS.restarted && !this.wasEnrolled
    for (let slot = 0; slot < this.settings.slots; slot += 1) this.applySlot(slot, groups, former, mayHaveForgotten)
    this.wasEnrolled = enrolment !== PROCESS_ENROLMENTS.absent
  }

  /** Returns the copies to be requested now. Memberships whose quarantine has ended start to vote. */
  requiredCopies (): RequiredCopy[] {
    const required: RequiredCopy[] = []
    for (const membership of this.memberships.values()) {
      if (membership.isVoting || membership.untilEpoch !== 0) continue
      this.startVotingAfterQuarantine(membership)
      if (membership.isVoting || !this.mayCopy(membership)) continue
      this.startVotingIfCopied(membership)
      if (!membership.isVoting) required.push(...this.copiesRequiredBy(membership))
    }
    return required
  }

  /** Records that a copy has arrived completely. */
  recordCopy (copy: RequiredCopy): void {
    const membership = this.memberships.get(copy.slot)
    if (membership === undefined || membership.isVoting) return
    if (copy.epoch === membership.formerEpoch && membership.formerGroup?.members.includes(copy.from)) membership.copiedFromFormer.add(copy.from)
    if (copy.epoch === this.epoch && membership.group.members.includes(copy.from)) membership.copiedFromCurrent.add(copy.from)
    this.startVotingIfCopied(membership)
  }

  /** Whether this entry's records of a slot are complete for an epoch, so that other members may copy them. */
  canServeCopy (slot: number, epoch: number): boolean {
    const membership = this.memberships.get(slot)
    if (membership === undefined || !membership.isVoting || epoch > this.epoch || epoch < membership.sinceEpoch) return false
    return membership.untilEpoch === 0 || epoch <= membership.untilEpoch
  }

  /** Number of slots in which this entry votes. */
  votingSlots (): number {
    return [...this.memberships.values()].filter((membership) => membership.isVoting && membership.untilEpoch === 0).length
  }

  /** Number of slots in which this entry is a member but does not vote yet. */
  recoveringSlots (): number {
    return [...this.memberships.values()].filter((membership) => !membership.isVoting && membership.untilEpoch === 0).length
  }

  private applySlot (slot: number, groups: ClaimGroups, former: ClaimGroups | undefined, mayHaveForgotten: boolean): void {
    const group = groups.of(slot)
    const formerGroup = former !== undefined && former.epoch === groups.epoch - 1 ? former.of(slot) : undefined
    if (formerGroup?.digest !== group.digest) this.unsettled.add(slot)
    const membership = this.memberships.get(slot)
    const isRetained = membership !== undefined && membership.untilEpoch === 0 && formerGroup !== undefined
    if (!group.members.includes(this.self)) {
      if (membership !== undefined && membership.untilEpoch === 0) membership.untilEpoch = groups.epoch - 1
      return
    }
    if (isRetained) this.updateGroup(membership, group)
    else this.memberships.set(slot, this.createMembership(slot, group, groups.epoch, mayHaveForgotten ? undefined : formerGroup, mayHaveForgotten))
  }

  private updateGroup (membership: ClaimGroupMembership, group: ClaimGroup): void {
    if (membership.group.digest !== group.digest) membership.copiedFromCurrent.clear()
    membership.group = group
  }

  private createMembership (
    slot: number, group: ClaimGroup, epoch: number, formerGroup: ClaimGroup | undefined, mayHaveForgotten: boolean
  ): ClaimGroupMembership {
    return {
      slot,
      group,
      isVoting: epoch === FIRST_EPOCH && !mayHaveForgotten,
      sinceEpoch: epoch,
      untilEpoch: 0,
      formerGroup,
      formerEpoch: formerGroup === undefined ? -1 : epoch - 1,
      quarantineFromMilliseconds: undefined,
      mayHaveForgotten,
      copiedFromFormer: new Set(),
      copiedFromCurrent: new Set()
    }
  }

  private mayCopy (membership: ClaimGroupMembership): boolean {
    const now = this.clock.monotonicMilliseconds()
    if (!this.isLeaseValid() || now < this.lease.exclusiveFromMilliseconds()) return false
    return !membership.mayHaveForgotten || now >= this.startedMilliseconds + this.settings.restartSilenceMilliseconds
  }

  private startVotingIfCopied (membership: ClaimGroupMembership): void {
    const hasFormerCopies = membership.formerGroup !== undefined && membership.copiedFromFormer.size >= membership.formerGroup.copiesNeeded
    if (hasFormerCopies || membership.copiedFromCurrent.size >= membership.group.copiesNeeded) membership.isVoting = true
  }

  private copiesRequiredBy (membership: ClaimGroupMembership): RequiredCopy[] {
    const { slot } = membership
    const fromCurrent = membership.group.members
      .filter((from) => from !== this.self && !membership.copiedFromCurrent.has(from))
      .map((from) => ({ from, epoch: this.epoch, slot }))
    const fromFormer = (membership.formerGroup?.members ?? [])
      .filter((from) => from !== this.self && !membership.copiedFromFormer.has(from))
      .map((from) => ({ from, epoch: membership.formerEpoch, slot }))
    return [...fromCurrent, ...fromFormer]
  }

  /** Lets a member vote without copies once every record that it could have lost has expired. */
  private startVotingAfterQuarantine (membership: ClaimGroupMembership): void {
    const now = this.clock.monotonicMilliseconds()
    if (membership.quarantineFromMilliseconds === undefined) {
      if (!this.isLeaseValid() || now < this.lease.exclusiveFromMilliseconds()) return
      membership.quarantineFromMilliseconds = now
    }
    const quarantineMilliseconds = this.settings.retentionMilliseconds * (1 + 3 * this.settings.clockDriftShare) + this.settings.restartSilenceMilliseconds
    if (now >= membership.quarantineFromMilliseconds + quarantineMilliseconds) membership.isVoting = true
  }
}

import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { ClaimGroup, ClaimGroups } from './claim-groups.ts'
import type { ClaimSettings } from './claim-settings.ts'

/** This entry's place in the group of one slot. */
export interface ClaimSeat {
  readonly slot: number
  group: ClaimGroup
  /** May grant and refuse; until then records may be missing that others know of. */
  isVoting: boolean
  /** First epoch for which what this seat knows is complete. */
  readonly sinceEpoch: number
  /** Last epoch in which the entry had this seat; 0 while it has it. */
  untilEpoch: number
  /** Group of the epoch before, when this entry has seen it. */
  readonly formerGroup: ClaimGroup | undefined
  readonly formerEpoch: number
  /** Start of the time after which nothing forgotten can count; set when no entry can act on an earlier epoch. */
  quarantineFromMilliseconds: number | undefined
  /** The process may have voted in this seat before it started, and forgotten. */
  readonly mayHaveForgotten: boolean
  readonly copiedFormer: Set<string>
  readonly copiedPresent: Set<string>
}

/** What a seat still needs: records of a slot, as of an epoch, from one entry. */
export interface CopyNeed {
  readonly from: string
  readonly epoch: number
  readonly slot: number
}

/** How a process stands in a membership: not at all, as the one that was enrolled, or as a later one of its name. */
export const CLAIM_ENROLMENTS = { absent: 'absent', original: 'original', restarted: 'restarted' } as const
export type ClaimEnrolment = typeof CLAIM_ENROLMENTS[keyof typeof CLAIM_ENROLMENTS]

const FIRST_EPOCH = 1

/** Which slots this entry votes on, through changes of membership and its own restart. */
export class ClaimSeats {
  private readonly seats = new Map<number, ClaimSeat>()
  /** Slots whose group changed, until no entry can act on an earlier epoch. */
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

  static create (clock: Clock, settings: ClaimSettings, lease: EpochLease, self: string): ClaimSeats {
    return new ClaimSeats(clock, settings, lease, self)
  }

  /** Epoch of the membership in force here; 0 before the first. */
  get epoch (): number {
    return this.groups?.epoch ?? 0
  }

  /** The group of a slot, or nothing before the first membership. */
  groupOf (slot: number): ClaimGroup | undefined {
    return this.groups?.of(slot)
  }

  /** The seat of this entry in a slot, which it may have left. */
  seatOf (slot: number): ClaimSeat | undefined {
    return this.seats.get(slot)
  }

  /** Whether this entry may act on its epoch now. */
  isLeaseValid (): boolean {
    return this.lease.epoch() === this.epoch && this.lease.validUntilMilliseconds() > this.clock.monotonicMilliseconds()
  }

  /** Whether a claim in this slot may be decided: no entry can still decide it with an earlier group. */
  isSettled (slot: number): boolean {
    if (!this.isLeaseValid()) return false
    if (this.unsettled.size > 0 && this.clock.monotonicMilliseconds() >= this.lease.exclusiveFromMilliseconds()) this.unsettled.clear()
    return !this.unsettled.has(slot)
  }

  /** Whether claims of every slot may be decided. */
  isSettledEverywhere (): boolean {
    return this.isSettled(0) && this.unsettled.size === 0
  }

  /** Takes a newer membership, and how this process stands in it. */
  apply (groups: ClaimGroups, enrolment: ClaimEnrolment): void {
    const former = this.groups
    if (former !== undefined && groups.epoch <= former.epoch) return
    this.isSettled(0)
    this.groups = groups
    const mayHaveForgotten = enrolment === CLAIM_ENROLMENTS.restarted && !this.wasEnrolled
    for (let slot = 0; slot < this.settings.slots; slot += 1) this.applySlot(slot, groups, former, mayHaveForgotten)
    this.wasEnrolled = enrolment !== CLAIM_ENROLMENTS.absent
  }

  /** Copies that are due now; seats whose quarantine is over begin to vote. */
  needs (): CopyNeed[] {
    const needs: CopyNeed[] = []
    for (const seat of this.seats.values()) {
      if (seat.isVoting || seat.untilEpoch !== 0) continue
      this.checkQuarantine(seat)
      if (seat.isVoting || !this.mayCopy(seat)) continue
      this.checkCopies(seat)
      if (!seat.isVoting) needs.push(...this.needsOf(seat))
    }
    return needs
  }

  /** Counts a whole copy of a slot's records as of an epoch. */
  countCopy (need: CopyNeed): void {
    const seat = this.seats.get(need.slot)
    if (seat === undefined || seat.isVoting) return
    if (need.epoch === seat.formerEpoch && seat.formerGroup?.members.includes(need.from)) seat.copiedFormer.add(need.from)
    if (need.epoch === this.epoch && seat.group.members.includes(need.from)) seat.copiedPresent.add(need.from)
    this.checkCopies(seat)
  }

  /** Whether this entry's records of a slot are complete for an epoch, so that others may copy them. */
  canGiveCopy (slot: number, epoch: number): boolean {
    const seat = this.seats.get(slot)
    if (seat === undefined || !seat.isVoting || epoch > this.epoch || epoch < seat.sinceEpoch) return false
    return seat.untilEpoch === 0 || epoch <= seat.untilEpoch
  }

  /** Slots in which this entry may vote. */
  votingSlots (): number {
    return [...this.seats.values()].filter((seat) => seat.isVoting && seat.untilEpoch === 0).length
  }

  /** Seats that still miss records. */
  recoveringSlots (): number {
    return [...this.seats.values()].filter((seat) => !seat.isVoting && seat.untilEpoch === 0).length
  }

  private applySlot (slot: number, groups: ClaimGroups, former: ClaimGroups | undefined, mayHaveForgotten: boolean): void {
    const group = groups.of(slot)
    const formerGroup = former !== undefined && former.epoch === groups.epoch - 1 ? former.of(slot) : undefined
    if (formerGroup?.digest !== group.digest) this.unsettled.add(slot)
    const seat = this.seats.get(slot)
    const stays = seat !== undefined && seat.untilEpoch === 0 && formerGroup !== undefined
    if (!group.members.includes(this.self)) {
      if (seat !== undefined && seat.untilEpoch === 0) seat.untilEpoch = groups.epoch - 1
      return
    }
    if (stays) this.keepSeat(seat, group)
    else this.seats.set(slot, this.openSeat(slot, group, groups.epoch, mayHaveForgotten ? undefined : formerGroup, mayHaveForgotten))
  }

  private keepSeat (seat: ClaimSeat, group: ClaimGroup): void {
    if (seat.group.digest !== group.digest) seat.copiedPresent.clear()
    seat.group = group
  }

  private openSeat (slot: number, group: ClaimGroup, epoch: number, formerGroup: ClaimGroup | undefined, mayHaveForgotten: boolean): ClaimSeat {
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
      copiedFormer: new Set(),
      copiedPresent: new Set()
    }
  }

  private mayCopy (seat: ClaimSeat): boolean {
    const now = this.clock.monotonicMilliseconds()
    if (!this.isLeaseValid() || now < this.lease.exclusiveFromMilliseconds()) return false
    return !seat.mayHaveForgotten || now >= this.startedMilliseconds + this.settings.restartSilenceMilliseconds
  }

  private checkCopies (seat: ClaimSeat): void {
    const formerEnough = seat.formerGroup !== undefined && seat.copiedFormer.size >= seat.formerGroup.copiesNeeded
    if (formerEnough || seat.copiedPresent.size >= seat.group.copiesNeeded) seat.isVoting = true
  }

  private needsOf (seat: ClaimSeat): CopyNeed[] {
    const { slot } = seat
    const present = seat.group.members
      .filter((from) => from !== this.self && !seat.copiedPresent.has(from))
      .map((from) => ({ from, epoch: this.epoch, slot }))
    const former = (seat.formerGroup?.members ?? [])
      .filter((from) => from !== this.self && !seat.copiedFormer.has(from))
      .map((from) => ({ from, epoch: seat.formerEpoch, slot }))
    return [...present, ...former]
  }

  /** After the time of retention nothing that could have been forgotten still counts. */
  private checkQuarantine (seat: ClaimSeat): void {
    const now = this.clock.monotonicMilliseconds()
    if (seat.quarantineFromMilliseconds === undefined) {
      if (!this.isLeaseValid() || now < this.lease.exclusiveFromMilliseconds()) return
      seat.quarantineFromMilliseconds = now
    }
    const lasts = this.settings.retentionMilliseconds * (1 + 3 * this.settings.clockDriftShare) + this.settings.restartSilenceMilliseconds
    if (now >= seat.quarantineFromMilliseconds + lasts) seat.isVoting = true
  }
}

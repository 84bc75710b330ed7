import type { LeaseAsk, LeaseRelease, LeaseVote, ShareMessage, SlotHandover, WitnessedGrant, WitnessSync } from '@hickoryspoke/protocol/generated/share'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { LeaseGroup, LeaseGroups } from './lease-groups.ts'
import type { ShareSettings } from './share-settings.ts'
import { SLOTS_PER_REGION } from './share-split.ts'
import { SlotMember } from './slot-member.ts'
import type { ShareLookup } from './slot-shares.ts'
import type { VoterIdentity } from './slot-voter.ts'

/** Dependencies of `LeaseTable`. */
export interface LeaseTableOptions {
  readonly settings: ShareSettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<ShareMessage>
  readonly lookup: ShareLookup
}

type PartialAsk = Omit<LeaseAsk, 'voterIncarnation'>

const INCARNATION_RANGE = 2 ** 48

/** A slot whose lease group includes or included this entry. */
interface SlotState {
  /** The member in the current lease group; undefined if this entry is not in it. */
  current: SlotMember | undefined
  /** Whether the current lease group is in force: no other entry can still act on an earlier group. */
  settled: boolean
  /** The member in the lease group of an earlier epoch, kept until the current group is in force. */
  previous: SlotMember | undefined
  /** Monotonic time in milliseconds until which the previous member may act. */
  previousActsUntil: number
  /** Whether the usage data of the previous member may be taken over. */
  previousCarriesOver: boolean
}

/** A member that may grant tokens, and the monotonic time in milliseconds until which it may. */
export interface ActiveMember {
  readonly member: SlotMember
  readonly untilMilliseconds: number
}

/** The slots whose lease groups include this entry, and this entry's part in their leases. */
export class LeaseTable {
  private readonly slots = new Map<number, SlotState>()
  private readonly incarnations = new Map<string, number>()
  private readonly lastAsks = new Map<string, PartialAsk>()
  private readonly identity: VoterIdentity
  private epoch: number | undefined

  private constructor (private readonly options: LeaseTableOptions) {
    const { settings, clock, random } = options
    const abstention = settings.leaseMilliseconds * (1 + settings.clockDriftRatio)
    this.identity = {
      incarnation: 1 + Math.floor(random.next() * INCARNATION_RANGE),
      abstainsUntil: clock.monotonicMilliseconds() + abstention
    }
  }

  static create (options: LeaseTableOptions): LeaseTable {
    return new LeaseTable(options)
  }

  /**
   * The member that may grant tokens of a slot, with the end of that right; undefined if this entry has none.
   * `mayActUntilMilliseconds` is the monotonic time at which this entry's epoch lease expires.
   */
  activeMember (slot: number, mayActUntilMilliseconds: number): ActiveMember | undefined {
    const entry = this.slots.get(slot)
    if (entry === undefined) return undefined
    const { current, previous, settled, previousActsUntil } = entry
    if (settled && current !== undefined) return { member: current, untilMilliseconds: Math.min(current.holdsUntil(), mayActUntilMilliseconds) }
    return previous === undefined ? undefined : { member: previous, untilMilliseconds: Math.min(previous.holdsUntil(), previousActsUntil) }
  }

  /** The entry to which this entry has promised the lease on a slot, if any. */
  holderOf (slot: number, nowMilliseconds: number): string | undefined {
    const entry = this.slots.get(slot)
    return entry?.current?.voter.holder(nowMilliseconds) ?? entry?.previous?.voter.holder(nowMilliseconds)
  }

  /** All members, including those of previous groups. */
  * all (): Iterable<SlotMember> {
    for (const { current, previous } of this.slots.values()) {
      if (current !== undefined) yield current
      if (previous !== undefined) yield previous
    }
  }

  /**
   * Applies the lease groups of a new epoch. Slots whose group is unchanged keep their lease. Members of previous groups
   * may act until `previousActsUntilMilliseconds`, when this entry's lease on the previous epoch expires.
   */
  applyGroups (groups: LeaseGroups, region: number, previousActsUntilMilliseconds: number): void {
    const consecutive = this.epoch !== undefined && groups.epoch === this.epoch + 1
    for (let slot = 0; slot < SLOTS_PER_REGION; slot += 1) {
      this.applyGroup(slot, groups.groupOf(region, slot), consecutive, previousActsUntilMilliseconds)
    }
    this.epoch = groups.epoch
  }

  /** Puts the current lease groups in force. Call it once no other entry can still act on earlier groups. */
  activateGroups (): void {
    const now = this.options.clock.monotonicMilliseconds()
    for (const [slot, entry] of this.slots) {
      if (entry.settled) continue
      entry.settled = true
      if (entry.previous !== undefined && entry.previousCarriesOver) entry.current?.continueFrom(entry.previous, now)
      entry.current?.deferAttempt(now)
      entry.previous = undefined
      if (entry.current === undefined) this.slots.delete(slot)
    }
  }

  /** Sends all asks that are due, batched into one message per peer. */
  check (): void {
    const now = this.options.clock.monotonicMilliseconds()
    const due: PartialAsk[] = []
    for (const entry of this.slots.values()) {
      for (const member of [entry.settled ? entry.current : undefined, entry.previous]) {
        const ask = member?.check(now, this.options.random)
        if (ask === undefined) continue
        this.lastAsks.set(askKey(ask), ask)
        due.push(ask)
      }
    }
    this.sendAsks(due)
  }

  /** Answers the lease asks of a peer. */
  receiveAsks (from: string, asks: readonly LeaseAsk[]): void {
    const now = this.options.clock.monotonicMilliseconds()
    const votes: LeaseVote[] = []
    for (const ask of asks) {
      const vote = this.findMember(ask.slot, ask.group)?.vote(from, ask, now)
      if (vote !== undefined) votes.push(vote)
    }
    if (votes.length > 0) this.options.network.send(from, { body: { $case: 'leaseVotes', value: { votes } } })
  }

  /** Counts the votes of a peer, and repeats the asks that it refused because it has restarted. */
  receiveVotes (from: string, votes: readonly LeaseVote[]): void {
    const now = this.options.clock.monotonicMilliseconds()
    const resend: PartialAsk[] = []
    for (const vote of votes) {
      const member = this.findMember(vote.slot, vote.group)
      if (member?.receiveVote(from, vote, now)) this.sendSync(from, member, now)
      const ask = this.lastAsks.get(askKey(vote))
      if (ask !== undefined && !vote.granted && vote.voterIncarnation !== this.incarnations.get(from)) resend.push(ask)
    }
    const incarnation = votes[0]?.voterIncarnation
    if (incarnation !== undefined) this.incarnations.set(from, incarnation)
    this.sendAsksTo(from, resend)
  }

  receiveRelease (from: string, release: LeaseRelease): void {
    if (release.lease !== undefined) this.findMember(release.slot, release.group)?.voter.release(from, release.lease)
  }

  receiveSync (from: string, sync: WitnessSync): void {
    const now = this.options.clock.monotonicMilliseconds()
    if (sync.levels !== undefined) this.findMember(sync.slot, sync.group)?.syncRecords(from, sync.levels, now)
  }

  /** Records a grant and forwards its answer to the asker. */
  receiveGrant (from: string, grant: WitnessedGrant): void {
    const recorded = this.findMember(grant.slot, grant.group)?.recordGrant(from, grant, this.options.clock.monotonicMilliseconds())
    if (recorded === true && grant.answer !== undefined) {
      this.options.network.send(grant.asker, { body: { $case: 'tokenAnswer', value: grant.answer } })
    }
  }

  receiveLeaving (from: string): void {
    for (const member of this.all()) member.markLeaving(from)
  }

  receiveHandover (handover: SlotHandover): void {
    this.findMember(handover.slot, handover.group)?.acceptHandover(handover, this.options.clock.monotonicMilliseconds())
    this.check()
  }

  private findMember (slot: number, group: number): SlotMember | undefined {
    const entry = this.slots.get(slot)
    if (entry?.current?.group.digest === group) return entry.current
    return entry?.previous?.group.digest === group ? entry.previous : undefined
  }

  private sendSync (to: string, member: SlotMember, now: number): void {
    const value = { slot: member.slot, group: member.group.digest, levels: member.heldLevels(now) }
    this.options.network.send(to, { body: { $case: 'witnessSync', value } })
  }

  private applyGroup (slot: number, group: LeaseGroup, consecutive: boolean, previousActsUntil: number): void {
    const { settings, network, lookup } = this.options
    const options = { settings, identity: this.identity, self: network.self, lookup }
    const entry = this.slots.get(slot)
    const stays = consecutive && entry !== undefined && entry.current?.group.digest === group.digest
    if (stays) return
    const isMember = group.members.includes(network.self)
    const current = isMember ? SlotMember.create(options, slot, group, !consecutive) : undefined
    const before = previousMemberOf(entry, consecutive, previousActsUntil)
    if (current === undefined && before.previous === undefined) this.slots.delete(slot)
    else this.slots.set(slot, { current, settled: false, ...before })
  }

  private sendAsks (asks: readonly PartialAsk[]): void {
    const byPeer = new Map<string, PartialAsk[]>()
    for (const ask of asks) {
      for (const peer of this.findMember(ask.slot, ask.group)?.group.members ?? []) {
        if (peer === this.options.network.self) continue
        const known = byPeer.get(peer)
        if (known === undefined) byPeer.set(peer, [ask])
        else known.push(ask)
      }
    }
    for (const [peer, peerAsks] of byPeer) this.sendAsksTo(peer, peerAsks)
  }

  private sendAsksTo (peer: string, asks: readonly PartialAsk[]): void {
    if (asks.length === 0) return
    const voterIncarnation = this.incarnations.get(peer) ?? 0
    const value = { asks: asks.map((ask) => ({ ...ask, voterIncarnation })) }
    this.options.network.send(peer, { body: { $case: 'leaseAsks', value } })
  }
}

function askKey (ask: { readonly slot: number, readonly group: number }): string {
  return `${ask.slot}/${ask.group}`
}

type PreviousMember = Pick<SlotState, 'previous' | 'previousActsUntil' | 'previousCarriesOver'>

/** The member that keeps acting for a slot whose group changes, until its right to act ends. */
function previousMemberOf (entry: SlotState | undefined, consecutive: boolean, previousActsUntil: number): PreviousMember {
  if (entry === undefined) return { previous: undefined, previousActsUntil: 0, previousCarriesOver: false }
  if (entry.settled) return { previous: entry.current, previousActsUntil, previousCarriesOver: consecutive }
  return { previous: entry.previous, previousActsUntil: entry.previousActsUntil, previousCarriesOver: false }
}

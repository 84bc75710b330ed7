import type { LeaseAsk, LeaseRelease, LeaseVote, ShareMessage, SlotHandover, WitnessedGrant, WitnessSync } from '@hickoryspoke/protocol/generated/share'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { HomeGroup, HomeGroups } from './home-groups.ts'
import type { ShareSettings } from './share-settings.ts'
import { SLOTS_PER_REGION } from './share-split.ts'
import { SlotMember } from './slot-lease.ts'
import type { ShareLookup } from './slot-shares.ts'
import type { VoterIdentity } from './slot-voter.ts'

/** What the lease table works with. */
export interface LeaseTableParts {
  readonly settings: ShareSettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<ShareMessage>
  readonly lookup: ShareLookup
}

type PartialAsk = Omit<LeaseAsk, 'voterIncarnation'>

const INCARNATION_RANGE = 2 ** 48

/** A slot of whose home group this entry is or was a member. */
interface TableSlot {
  /** The member of the present home group; absent when this entry is not in it. */
  current: SlotMember | undefined
  /** Whether no other entry can still act with an earlier home group. */
  settled: boolean
  /** The member of the home group of an earlier epoch, until the present group is settled. */
  former: SlotMember | undefined
  /** Monotonic time in milliseconds until which the former member may act. */
  formerActsUntil: number
  /** Whether what the former member knows may carry over. */
  formerCarriesOver: boolean
}

/** A member that may grant tokens, and until when. */
export interface ActingMember {
  readonly member: SlotMember
  readonly untilMilliseconds: number
}

/** The slots of whose home groups this entry is a member, and their leases. */
export class LeaseTable {
  private readonly slots = new Map<number, TableSlot>()
  private readonly incarnations = new Map<string, number>()
  private readonly lastAsks = new Map<string, PartialAsk>()
  private readonly identity: VoterIdentity
  private epoch: number | undefined

  private constructor (private readonly parts: LeaseTableParts) {
    const { settings, clock, random } = parts
    const silence = settings.leaseMilliseconds * (1 + settings.clockDriftShare)
    this.identity = {
      incarnation: 1 + Math.floor(random.next() * INCARNATION_RANGE),
      silentUntil: clock.monotonicMilliseconds() + silence
    }
  }

  static create (parts: LeaseTableParts): LeaseTable {
    return new LeaseTable(parts)
  }

  /** The member that may grant tokens of a slot now, within the epoch's limit in monotonic milliseconds. */
  acting (slot: number, mayActUntilMilliseconds: number): ActingMember | undefined {
    const entry = this.slots.get(slot)
    if (entry === undefined) return undefined
    const { current, former, settled, formerActsUntil } = entry
    if (settled && current !== undefined) return { member: current, untilMilliseconds: Math.min(current.holdsUntil(), mayActUntilMilliseconds) }
    return former === undefined ? undefined : { member: former, untilMilliseconds: Math.min(former.holdsUntil(), formerActsUntil) }
  }

  /** The entry to which this entry has promised a slot, if any. */
  holderOf (slot: number, nowMilliseconds: number): string | undefined {
    const entry = this.slots.get(slot)
    return entry?.current?.voter.holder(nowMilliseconds) ?? entry?.former?.voter.holder(nowMilliseconds)
  }

  /** Every member, former ones included. */
  * all (): Iterable<SlotMember> {
    for (const { current, former } of this.slots.values()) {
      if (current !== undefined) yield current
      if (former !== undefined) yield former
    }
  }

  /**
   * Takes the home groups of a new epoch; slots whose group stays keep their lease. A former member
   * may act until `formerActsUntilMilliseconds`, the end of this entry's right to act on the epoch before.
   */
  applyGroups (groups: HomeGroups, region: number, formerActsUntilMilliseconds: number): void {
    const consecutive = this.epoch !== undefined && groups.epoch === this.epoch + 1
    for (let slot = 0; slot < SLOTS_PER_REGION; slot += 1) {
      this.applyGroup(slot, groups.groupOf(region, slot), consecutive, formerActsUntilMilliseconds)
    }
    this.epoch = groups.epoch
  }

  /** Puts the present home groups in force, once no other entry can still act with earlier ones. */
  settle (): void {
    const now = this.parts.clock.monotonicMilliseconds()
    for (const [slot, entry] of this.slots) {
      if (entry.settled) continue
      entry.settled = true
      if (entry.former !== undefined && entry.formerCarriesOver) entry.current?.continueFrom(entry.former, now)
      entry.current?.holdBack(now)
      entry.former = undefined
      if (entry.current === undefined) this.slots.delete(slot)
    }
  }

  /** Sends the asks that are due, one message to each peer. */
  check (): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const due: PartialAsk[] = []
    for (const entry of this.slots.values()) {
      for (const member of [entry.settled ? entry.current : undefined, entry.former]) {
        const ask = member?.check(now, this.parts.random)
        if (ask === undefined) continue
        this.lastAsks.set(askName(ask), ask)
        due.push(ask)
      }
    }
    this.sendAsks(due)
  }

  /** Answers the asks of a peer. */
  receiveAsks (from: string, asks: readonly LeaseAsk[]): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const votes: LeaseVote[] = []
    for (const ask of asks) {
      const vote = this.find(ask.slot, ask.group)?.vote(from, ask, now)
      if (vote !== undefined) votes.push(vote)
    }
    if (votes.length > 0) this.parts.network.send(from, { body: { $case: 'leaseVotes', value: { votes } } })
  }

  /** Counts the votes of a peer; asks again where the peer has restarted. */
  receiveVotes (from: string, votes: readonly LeaseVote[]): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const again: PartialAsk[] = []
    for (const vote of votes) {
      const member = this.find(vote.slot, vote.group)
      if (member?.receiveVote(from, vote, now)) this.sendSync(from, member, now)
      const ask = this.lastAsks.get(askName(vote))
      if (ask !== undefined && !vote.granted && vote.voterIncarnation !== this.incarnations.get(from)) again.push(ask)
    }
    const incarnation = votes[0]?.voterIncarnation
    if (incarnation !== undefined) this.incarnations.set(from, incarnation)
    this.sendAsksTo(from, again)
  }

  receiveRelease (from: string, release: LeaseRelease): void {
    if (release.lease !== undefined) this.find(release.slot, release.group)?.voter.release(from, release.lease)
  }

  receiveSync (from: string, sync: WitnessSync): void {
    const now = this.parts.clock.monotonicMilliseconds()
    if (sync.levels !== undefined) this.find(sync.slot, sync.group)?.syncWitness(from, sync.levels, now)
  }

  /** Records a grant and passes its answer on to the asker. */
  receiveGrant (from: string, grant: WitnessedGrant): void {
    const recorded = this.find(grant.slot, grant.group)?.recordGrant(from, grant, this.parts.clock.monotonicMilliseconds())
    if (recorded === true && grant.answer !== undefined) {
      this.parts.network.send(grant.asker, { body: { $case: 'tokenAnswer', value: grant.answer } })
    }
  }

  receiveLeaving (from: string): void {
    for (const member of this.all()) member.forgetVoter(from)
  }

  receiveHandover (handover: SlotHandover): void {
    this.find(handover.slot, handover.group)?.inherit(handover, this.parts.clock.monotonicMilliseconds())
    this.check()
  }

  private find (slot: number, group: number): SlotMember | undefined {
    const entry = this.slots.get(slot)
    if (entry?.current?.group.digest === group) return entry.current
    return entry?.former?.group.digest === group ? entry.former : undefined
  }

  private sendSync (to: string, member: SlotMember, now: number): void {
    const value = { slot: member.slot, group: member.group.digest, levels: member.heldLevels(now) }
    this.parts.network.send(to, { body: { $case: 'witnessSync', value } })
  }

  private applyGroup (slot: number, group: HomeGroup, consecutive: boolean, formerActsUntil: number): void {
    const { settings, network, lookup } = this.parts
    const parts = { settings, identity: this.identity, self: network.self, lookup }
    const entry = this.slots.get(slot)
    const stays = consecutive && entry !== undefined && entry.current?.group.digest === group.digest
    if (stays) return
    const isMember = group.members.includes(network.self)
    const current = isMember ? SlotMember.create(parts, slot, group, !consecutive) : undefined
    const former = formerOf(entry, consecutive, formerActsUntil)
    if (current === undefined && former.former === undefined) this.slots.delete(slot)
    else this.slots.set(slot, { current, settled: false, ...former })
  }

  private sendAsks (asks: readonly PartialAsk[]): void {
    const byPeer = new Map<string, PartialAsk[]>()
    for (const ask of asks) {
      for (const peer of this.find(ask.slot, ask.group)?.group.members ?? []) {
        if (peer === this.parts.network.self) continue
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
    this.parts.network.send(peer, { body: { $case: 'leaseAsks', value } })
  }
}

function askName (ask: { readonly slot: number, readonly group: number }): string {
  return `${ask.slot}/${ask.group}`
}

type Former = Pick<TableSlot, 'former' | 'formerActsUntil' | 'formerCarriesOver'>

/** What remains of a slot whose group changes: the member that acted last, while it may. */
function formerOf (entry: TableSlot | undefined, consecutive: boolean, formerActsUntil: number): Former {
  if (entry === undefined) return { former: undefined, formerActsUntil: 0, formerCarriesOver: false }
  if (entry.settled) return { former: entry.current, formerActsUntil, formerCarriesOver: consecutive }
  return { former: entry.former, formerActsUntil: entry.formerActsUntil, formerCarriesOver: false }
}

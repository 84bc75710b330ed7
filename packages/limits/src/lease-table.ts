import type { LeaseAsk, LeaseRelease, LeaseVote, ShareMessage, SlotHandover } from '@hickoryspoke/protocol/generated/share'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { HomeGroups } from './home-groups.ts'
import type { ShareSettings } from './share-settings.ts'
import { SLOTS_PER_REGION } from './share-split.ts'
import { SlotMember } from './slot-lease.ts'
import type { VoterIdentity } from './slot-voter.ts'

/** What the lease table works with. */
export interface LeaseTableParts {
  readonly settings: ShareSettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<ShareMessage>
}

type PartialAsk = Omit<LeaseAsk, 'voterIncarnation'>

const INCARNATION_RANGE = 2 ** 48

/** The slots of whose home groups this entry is a member, and their leases. */
export class LeaseTable {
  private readonly members = new Map<number, SlotMember>()
  private readonly incarnations = new Map<string, number>()
  private readonly lastAsks = new Map<number, PartialAsk>()
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

  /** The slot as this entry holds or votes for it; undefined when it is not in the home group. */
  member (slot: number): SlotMember | undefined {
    return this.members.get(slot)
  }

  all (): Iterable<SlotMember> {
    return this.members.values()
  }

  /** Takes the home groups of a new epoch. Slots whose group stays keep their lease. */
  applyGroups (groups: HomeGroups, region: number): void {
    const consecutive = this.epoch !== undefined && groups.epoch === this.epoch + 1
    for (let slot = 0; slot < SLOTS_PER_REGION; slot += 1) this.applyGroup(groups, region, slot, consecutive)
    this.epoch = groups.epoch
  }

  /** Sends the asks that are due, one message to each peer. */
  check (): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const due: PartialAsk[] = []
    for (const member of this.members.values()) {
      const ask = member.check(now, this.parts.random)
      if (ask === undefined) continue
      this.lastAsks.set(ask.slot, ask)
      due.push(ask)
    }
    this.sendAsks(due)
  }

  /** Answers the asks of a peer. */
  receiveAsks (from: string, asks: readonly LeaseAsk[]): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const votes: LeaseVote[] = []
    for (const ask of asks) {
      const vote = this.members.get(ask.slot)?.voter.vote(from, ask, now)
      if (vote !== undefined) votes.push(vote)
    }
    if (votes.length > 0) this.parts.network.send(from, { body: { $case: 'leaseVotes', value: { votes } } })
  }

  /** Counts the votes of a peer; asks again where the peer has restarted. */
  receiveVotes (from: string, votes: readonly LeaseVote[]): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const again: PartialAsk[] = []
    for (const vote of votes) {
      this.members.get(vote.slot)?.receiveVote(from, vote, now)
      const ask = this.lastAsks.get(vote.slot)
      if (ask !== undefined && !vote.granted && vote.voterIncarnation !== this.incarnations.get(from)) again.push(ask)
    }
    const incarnation = votes[0]?.voterIncarnation
    if (incarnation !== undefined) this.incarnations.set(from, incarnation)
    this.sendAsksTo(from, again)
  }

  receiveRelease (from: string, release: LeaseRelease): void {
    if (release.lease !== undefined) this.members.get(release.slot)?.voter.release(from, release.lease)
  }

  receiveHandover (handover: SlotHandover): void {
    this.members.get(handover.slot)?.inherit(handover, this.parts.clock.monotonicMilliseconds())
    this.check()
  }

  private applyGroup (groups: HomeGroups, region: number, slot: number, consecutive: boolean): void {
    const { settings, clock, network } = this.parts
    const former = this.members.get(slot)
    const group = groups.groupOf(region, slot)
    if (consecutive && former?.group.digest === group.digest) return
    this.members.delete(slot)
    this.lastAsks.delete(slot)
    if (!group.members.includes(network.self)) return
    const member = SlotMember.create(settings, this.identity, network.self, slot, group, !consecutive)
    if (consecutive && former !== undefined) member.continueFrom(former, clock.monotonicMilliseconds())
    this.members.set(slot, member)
  }

  private sendAsks (asks: readonly PartialAsk[]): void {
    const byPeer = new Map<string, PartialAsk[]>()
    for (const ask of asks) {
      for (const peer of this.members.get(ask.slot)?.group.members ?? []) {
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

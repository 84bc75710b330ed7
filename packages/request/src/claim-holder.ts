import {
  ClaimState, ClaimVerdict, type ClaimAnswer, type ClaimAsk, type ClaimClose, type ClaimMessage, type ClaimReply
} from '@hickoryspoke/protocol/generated/claim'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { ClaimGroupMemberships } from './claim-group-memberships.ts'
import { slotOfClaim } from './claim-groups.ts'
import type { ClaimRecords, HeldClaim } from './claim-records.ts'

const STATE_VERDICTS: Readonly<Record<number, ClaimVerdict>> = {
  [ClaimState.CLAIM_STATE_HELD]: ClaimVerdict.CLAIM_VERDICT_HELD,
  [ClaimState.CLAIM_STATE_ANSWERED]: ClaimVerdict.CLAIM_VERDICT_ANSWERED,
  [ClaimState.CLAIM_STATE_UNKNOWN]: ClaimVerdict.CLAIM_VERDICT_UNKNOWN
}

/** Votes on claims and records them, granting each claim to at most one claimant. */
export class ClaimHolder {
  private constructor (
    private readonly clock: Clock,
    private readonly network: PeerNetwork<ClaimMessage>,
    private readonly memberships: ClaimGroupMemberships,
    private readonly records: ClaimRecords,
    private readonly slots: number
  ) {}

  static create (clock: Clock, network: PeerNetwork<ClaimMessage>, memberships: ClaimGroupMemberships, records: ClaimRecords, slots: number): ClaimHolder {
    return new ClaimHolder(clock, network, memberships, records, slots)
  }

  /** Grants a claim to its first claimant. Other claimants get the recorded state of the claim. */
  receiveAsk (from: string, ask: ClaimAsk): void {
    const slot = slotOfClaim(ask.claim, this.slots)
    if (!this.mayVote(slot, ask)) {
      this.reply(from, ask, ClaimVerdict.CLAIM_VERDICT_UNREADY)
      return
    }
    const now = this.clock.monotonicMilliseconds()
    const held = this.records.find(slot, ask.claim, now)
    if (held === undefined || isGrantableTo(held, ask.claimant)) this.grant(from, ask, slot, held, now)
    else this.refuse(from, ask, held)
  }

  /** Records the final state that a claimant reports. */
  receiveClose (close: ClaimClose): void {
    const slot = slotOfClaim(close.claim, this.slots)
    const now = this.clock.monotonicMilliseconds()
    const held = this.records.find(slot, close.claim, now)
    if (held !== undefined && held.claimant !== close.claimant && !overrules(held, close)) return
    if (held === undefined && this.records.isFull) return
    const { claimant, state, fingerprint } = close
    const record = this.records.put(slot, close.claim, { claimant, fingerprint, state, isCopied: false }, now)
    this.records.keepAnswer(record, close.answer)
  }

  private mayVote (slot: number, ask: ClaimAsk): boolean {
    const membership = this.memberships.membershipOf(slot)
    return membership !== undefined && membership.isVoting && membership.untilEpoch === 0 &&
      membership.group.digest === ask.group && this.memberships.isLeaseValid()
  }

  private grant (from: string, ask: ClaimAsk, slot: number, held: HeldClaim | undefined, now: number): void {
    if (held !== undefined && held.claimant === ask.claimant) return this.reply(from, ask, ClaimVerdict.CLAIM_VERDICT_GRANTED)
    if (ask.probe) return this.reply(from, ask, ClaimVerdict.CLAIM_VERDICT_FREE)
    if (this.records.isFull) return this.reply(from, ask, ClaimVerdict.CLAIM_VERDICT_UNREADY)
    const { claim, claimant, fingerprint } = ask
    this.records.put(slot, claim, { claimant, fingerprint, state: ClaimState.CLAIM_STATE_HELD, isCopied: false }, now)
    this.reply(from, ask, ClaimVerdict.CLAIM_VERDICT_GRANTED)
  }

  private refuse (from: string, ask: ClaimAsk, held: HeldClaim): void {
    const differs = held.fingerprint !== ask.fingerprint
    const verdict = differs ? ClaimVerdict.CLAIM_VERDICT_CONTENT_DIFFERS : STATE_VERDICTS[held.state]
    this.reply(from, ask, verdict ?? ClaimVerdict.CLAIM_VERDICT_UNREADY, differs ? undefined : held.answer)
  }

  private reply (from: string, ask: ClaimAsk, verdict: ClaimVerdict, answer?: ClaimAnswer): void {
    const value: ClaimReply = { claim: ask.claim, claimant: ask.claimant, verdict, answer }
    this.network.send(from, { body: { $case: 'reply', value } })
  }
}

/** Whether a recorded claim can be granted to a claimant: it already holds the claim, or another claimant released it. */
function isGrantableTo (held: HeldClaim, claimant: string): boolean {
  if (held.state === ClaimState.CLAIM_STATE_RELEASED) return held.claimant !== claimant
  return held.state === ClaimState.CLAIM_STATE_HELD && held.claimant === claimant && !held.isCopied
}

/**
 * Whether a report replaces a record of another claimant. The reporting claimant ran, so it had a majority; the
 * claimant recorded here cannot have had one and therefore did not run.
 */
function overrules (held: HeldClaim, close: ClaimClose): boolean {
  const ran = close.state === ClaimState.CLAIM_STATE_ANSWERED || close.state === ClaimState.CLAIM_STATE_UNKNOWN
  return ran && (held.state === ClaimState.CLAIM_STATE_HELD || held.state === ClaimState.CLAIM_STATE_RELEASED)
}

import { type TokenAnswer, type TokenAsk, TokenOutcome } from '@hickoryspoke/protocol/generated/share'
import type { Timer } from '@hickoryspoke/runtime/clock'
import type { LeaseTable, LeaseTableParts } from './lease-table.ts'
import type { SlotMember } from './slot-lease.ts'
import { type Share, slotOfShare } from './share-split.ts'
import type { TokenBucket } from './token-bucket.ts'

interface WaitingAsk {
  readonly from: string
  readonly ask: TokenAsk
  readonly receivedAt: number
}

interface WaitingLine {
  readonly asks: WaitingAsk[]
  timer: Timer
}

/** What the answering of asks works with. */
export interface ShareHolderParts extends LeaseTableParts {
  readonly leases: LeaseTable
  /** Availability zone of an entry; undefined when it is not enrolled. */
  readonly zoneOf: (name: string) => string | undefined
  /** Monotonic time in milliseconds until which this entry may act in the epoch. */
  readonly mayActUntil: () => number
}

interface Standing {
  readonly member: SlotMember
  readonly share: Share
  readonly bucket: TokenBucket
}

/** Answers asks for tokens of the shares whose lease this entry holds. */
export class ShareHolder {
  private readonly lines = new Map<number, WaitingLine>()

  private constructor (private readonly parts: ShareHolderParts) {}

  static create (parts: ShareHolderParts): ShareHolder {
    return new ShareHolder(parts)
  }

  /** Grants, refuses, or keeps an ask while a token can come free within its wait. */
  receive (from: string, ask: TokenAsk): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const line = this.lines.get(ask.shareKey)
    const waiting = { from, ask, receivedAt: now }
    if (line !== undefined && this.decideBehind(waiting, line, now)) return
    if (line === undefined && this.decide(waiting, now)) return
    this.keep(waiting, now)
  }

  /** Refuses all asks that wait, because this entry stops. */
  close (): void {
    for (const line of this.lines.values()) {
      line.timer.cancel()
      for (const waiting of line.asks) this.answer(waiting, { outcome: TokenOutcome.TOKEN_OUTCOME_NOT_HOLDER })
    }
    this.lines.clear()
  }

  /** Answers an ask at once where possible; false when it should wait. */
  private decide (waiting: WaitingAsk, now: number): boolean {
    const standing = this.standing(waiting, now)
    if (standing === undefined) return true
    if (standing.bucket.available(standing.share, now) >= 1) {
      this.grant(waiting, standing, now)
      return true
    }
    return this.refuseUnlessWorthWaiting(waiting, standing, 1, now)
  }

  private decideBehind (waiting: WaitingAsk, line: WaitingLine, now: number): boolean {
    const standing = this.standing(waiting, now)
    return standing === undefined || this.refuseUnlessWorthWaiting(waiting, standing, line.asks.length + 1, now)
  }

  /** The share as this entry holds it; when it does not, the ask is answered. */
  private standing (waiting: WaitingAsk, now: number): Standing | undefined {
    const { ask } = waiting
    const slot = slotOfShare(ask.shareKey)
    const acting = this.parts.leases.acting(slot, this.parts.mayActUntil())
    if (acting === undefined || now + this.longestUse(ask) > acting.untilMilliseconds) {
      this.answer(waiting, { outcome: TokenOutcome.TOKEN_OUTCOME_NOT_HOLDER, holder: this.otherHolder(slot, now) })
      return undefined
    }
    const share = this.parts.lookup(ask.shareKey)
    if (share === undefined) {
      this.answer(waiting, { outcome: TokenOutcome.TOKEN_OUTCOME_UNKNOWN_CUSTOMER })
      return undefined
    }
    const { member } = acting
    return { member, share, bucket: member.shares.bucket(ask.shareKey, share, now) }
  }

  private otherHolder (slot: number, now: number): string {
    const holder = this.parts.leases.holderOf(slot, now)
    return holder === undefined || holder === this.parts.network.self ? '' : holder
  }

  private longestUse (ask: TokenAsk): number {
    const longest = ask.ahead > 0 ? Math.max(ask.validityMilliseconds, ask.aheadValidityMilliseconds) : ask.validityMilliseconds
    return this.stretched(longest)
  }

  /** A duration at the asker as it may take at most on this entry's clock. */
  private stretched (milliseconds: number): number {
    return milliseconds * (1 + this.parts.settings.clockDriftShare)
  }

  private grant (waiting: WaitingAsk, standing: Standing, now: number): void {
    const { ask, receivedAt } = waiting
    const { bucket, share } = standing
    bucket.grant(1, now + this.stretched(ask.validityMilliseconds))
    const spare = bucket.available(share, now) - share.burst * (1 - this.parts.settings.aheadBurstShare)
    const ahead = Math.max(0, Math.min(ask.ahead, Math.floor(spare)))
    if (ahead > 0) bucket.grant(ahead, now + this.stretched(ask.aheadValidityMilliseconds))
    const answer = answerTo(ask, { outcome: TokenOutcome.TOKEN_OUTCOME_GRANTED, ahead, waitedMilliseconds: Math.floor(now - receivedAt) })
    this.sendGrant(waiting, standing, answer, now)
  }

  /** A grant reaches the asker through another member of the home group, so that it outlasts this entry. */
  private sendGrant (waiting: WaitingAsk, standing: Standing, answer: TokenAnswer, now: number): void {
    const { from, ask } = waiting
    const { member, share } = standing
    const zone = this.parts.zoneOf(from)
    const witness = member.witnessNear(zone, this.parts.zoneOf, now)
    const level = member.shares.noteGrant(ask.shareKey, share, now)
    if (witness === undefined) {
      this.send(from, answer)
      return
    }
    const value = { slot: member.slot, group: member.group.digest, lease: member.heldLease, level, asker: from, answer }
    this.parts.network.send(witness, { body: { $case: 'witnessedGrant', value } })
  }

  private refuseUnlessWorthWaiting (waiting: WaitingAsk, standing: Standing, tokens: number, now: number): boolean {
    const { ask } = waiting
    const { bucket, member, share } = standing
    const availableAt = bucket.availableAt(tokens, share, now)
    if (availableAt <= waiting.receivedAt + ask.waitMilliseconds) return false
    const retryAfterMilliseconds = Math.min(Math.ceil(availableAt - now), LONGEST_RETRY_AFTER_MILLISECONDS)
    this.answer(waiting, { outcome: TokenOutcome.TOKEN_OUTCOME_LIMITED, retryAfterMilliseconds, recovering: member.shares.recovering(share, now) })
    return true
  }

  private keep (waiting: WaitingAsk, now: number): void {
    const line = this.lines.get(waiting.ask.shareKey)
    if (line !== undefined) {
      line.asks.push(waiting)
      return
    }
    this.lines.set(waiting.ask.shareKey, { asks: [waiting], timer: this.scheduleNext(waiting.ask.shareKey, now) })
  }

  private scheduleNext (shareKey: number, now: number): Timer {
    const share = this.parts.lookup(shareKey)
    const member = this.parts.leases.acting(slotOfShare(shareKey), now)?.member
    const availableAt = share === undefined || member === undefined ? now : member.shares.bucket(shareKey, share, now).availableAt(1, share, now)
    const delay = Math.min(Math.max(SHORTEST_PAUSE_MILLISECONDS, availableAt - now), this.parts.settings.holderWaitMilliseconds)
    return this.parts.clock.schedule(delay, () => this.serveLine(shareKey))
  }

  private serveLine (shareKey: number): void {
    const line = this.lines.get(shareKey)
    if (line === undefined) return
    const now = this.parts.clock.monotonicMilliseconds()
    while (line.asks.length > 0 && this.decide(line.asks[0] as WaitingAsk, now)) line.asks.shift()
    if (line.asks.length === 0) this.lines.delete(shareKey)
    else line.timer = this.scheduleNext(shareKey, now)
  }

  private answer (waiting: WaitingAsk, answer: Partial<TokenAnswer>): void {
    this.send(waiting.from, answerTo(waiting.ask, answer))
  }

  private send (to: string, answer: TokenAnswer): void {
    this.parts.network.send(to, { body: { $case: 'tokenAnswer', value: answer } })
  }
}

function answerTo (ask: TokenAsk, answer: Partial<TokenAnswer>): TokenAnswer {
  return { ...EMPTY_ANSWER, ...answer, id: ask.id }
}

const SHORTEST_PAUSE_MILLISECONDS = 0.1
const LONGEST_RETRY_AFTER_MILLISECONDS = 3_600_000

const EMPTY_ANSWER: TokenAnswer = {
  id: 0,
  outcome: TokenOutcome.TOKEN_OUTCOME_UNSPECIFIED,
  ahead: 0,
  retryAfterMilliseconds: 0,
  recovering: false,
  holder: '',
  waitedMilliseconds: 0
}

import { type TokenAnswer, type TokenAsk, TokenOutcome } from '@hickoryspoke/protocol/generated/share'
import type { Timer } from '@hickoryspoke/runtime/clock'
import type { LeaseTable, LeaseTableOptions } from './lease-table.ts'
import { type Share, slotOfShare } from './share-split.ts'
import type { SlotMember } from './slot-member.ts'
import type { TokenBucket } from './token-bucket.ts'

interface WaitingAsk {
  readonly from: string
  readonly ask: TokenAsk
  readonly receivedAt: number
}

interface AskQueue {
  readonly asks: WaitingAsk[]
  timer: Timer
}

/** Dependencies of `TokenServer`. */
export interface TokenServerOptions extends LeaseTableOptions {
  readonly leases: LeaseTable
  /** Availability zone of an entry; undefined if the entry is not enrolled. */
  readonly zoneOf: (name: string) => string | undefined
  /** Monotonic time in milliseconds at which this entry's epoch lease expires. */
  readonly mayActUntil: () => number
}

interface HeldShare {
  readonly member: SlotMember
  readonly share: Share
  readonly bucket: TokenBucket
}

/** Answers requests for tokens of the shares whose lease this entry holds. */
export class TokenServer {
  private readonly lines = new Map<number, AskQueue>()

  private constructor (private readonly options: TokenServerOptions) {}

  static create (options: TokenServerOptions): TokenServer {
    return new TokenServer(options)
  }

  /** Grants or refuses a token, or queues the ask if a token becomes free within the asker's wait time. */
  receive (from: string, ask: TokenAsk): void {
    const now = this.options.clock.monotonicMilliseconds()
    const line = this.lines.get(ask.shareKey)
    const waiting = { from, ask, receivedAt: now }
    if (line !== undefined && this.decideBehindQueue(waiting, line, now)) return
    if (line === undefined && this.decide(waiting, now)) return
    this.enqueue(waiting, now)
  }

  /** Refuses all queued asks, because this entry is shutting down. */
  close (): void {
    for (const line of this.lines.values()) {
      line.timer.cancel()
      for (const waiting of line.asks) this.answer(waiting, { outcome: TokenOutcome.TOKEN_OUTCOME_NOT_HOLDER })
    }
    this.lines.clear()
  }

  /** Answers an ask if possible; returns false if it should be queued. */
  private decide (waiting: WaitingAsk, now: number): boolean {
    const standing = this.standing(waiting, now)
    if (standing === undefined) return true
    if (standing.bucket.available(standing.share, now) >= 1) {
      this.grant(waiting, standing, now)
      return true
    }
    return this.refuseUnlessWorthWaiting(waiting, standing, 1, now)
  }

  /** Refuses an ask that would wait too long behind the queued ones; returns false if it should be queued. */
  private decideBehindQueue (waiting: WaitingAsk, line: AskQueue, now: number): boolean {
    const standing = this.standing(waiting, now)
    return standing === undefined || this.refuseUnlessWorthWaiting(waiting, standing, line.asks.length + 1, now)
  }

  /** Finds the share that is asked for. If this entry may not grant its tokens, sends the answer and returns undefined. */
  private standing (waiting: WaitingAsk, now: number): HeldShare | undefined {
    const { ask } = waiting
    const slot = slotOfShare(ask.shareKey)
    const acting = this.options.leases.activeMember(slot, this.options.mayActUntil())
    if (acting === undefined || now + this.maximumUseMilliseconds(ask) > acting.untilMilliseconds) {
      this.answer(waiting, { outcome: TokenOutcome.TOKEN_OUTCOME_NOT_HOLDER, holder: this.otherHolder(slot, now) })
      return undefined
    }
    const share = this.options.lookup(ask.shareKey)
    if (share === undefined) {
      this.answer(waiting, { outcome: TokenOutcome.TOKEN_OUTCOME_UNKNOWN_CUSTOMER })
      return undefined
    }
    const { member } = acting
    return { member, share, bucket: member.shares.bucket(ask.shareKey, share, now) }
  }

  private otherHolder (slot: number, now: number): string {
    const holder = this.options.leases.holderOf(slot, now)
    return holder === undefined || holder === this.options.network.self ? '' : holder
  }

  private maximumUseMilliseconds (ask: TokenAsk): number {
    const longest = ask.ahead > 0 ? Math.max(ask.validityMilliseconds, ask.aheadValidityMilliseconds) : ask.validityMilliseconds
    return this.withClockDrift(longest)
  }

  /** Converts a duration on the asker's clock to the longest it may take on this entry's clock. */
  private withClockDrift (milliseconds: number): number {
    return milliseconds * (1 + this.options.settings.clockDriftRatio)
  }

  private grant (waiting: WaitingAsk, standing: HeldShare, now: number): void {
    const { ask, receivedAt } = waiting
    const { bucket, share } = standing
    bucket.grant(1, now + this.withClockDrift(ask.validityMilliseconds))
    const spare = bucket.available(share, now) - share.burst * (1 - this.options.settings.aheadBurstRatio)
    const ahead = Math.max(0, Math.min(ask.ahead, Math.floor(spare)))
    if (ahead > 0) bucket.grant(ahead, now + this.withClockDrift(ask.aheadValidityMilliseconds))
    const answer = answerTo(ask, { outcome: TokenOutcome.TOKEN_OUTCOME_GRANTED, ahead, waitedMilliseconds: Math.floor(now - receivedAt) })
    this.sendGrant(waiting, standing, answer, now)
  }

  /** Sends a grant to the asker through another member of the lease group, which records it so that it survives a crash of this entry. */
  private sendGrant (waiting: WaitingAsk, standing: HeldShare, answer: TokenAnswer, now: number): void {
    const { from, ask } = waiting
    const { member, share } = standing
    const zone = this.options.zoneOf(from)
    const witness = member.chooseWitness(zone, this.options.zoneOf, now)
    const level = member.shares.recordGrant(ask.shareKey, share, now)
    if (witness === undefined) {
      this.send(from, answer)
      return
    }
    const value = { slot: member.slot, group: member.group.digest, lease: member.heldLease, level, asker: from, answer }
    this.options.network.send(witness, { body: { $case: 'witnessedGrant', value } })
  }

  private refuseUnlessWorthWaiting (waiting: WaitingAsk, standing: HeldShare, tokens: number, now: number): boolean {
    const { ask } = waiting
    const { bucket, member, share } = standing
    const availableAt = bucket.availableAt(tokens, share, now)
    if (availableAt <= waiting.receivedAt + ask.waitMilliseconds) return false
    const retryAfterMilliseconds = Math.min(Math.ceil(availableAt - now), MAXIMUM_RETRY_AFTER_MILLISECONDS)
    this.answer(waiting, { outcome: TokenOutcome.TOKEN_OUTCOME_LIMITED, retryAfterMilliseconds, recovering: member.shares.recovering(share, now) })
    return true
  }

  private enqueue (waiting: WaitingAsk, now: number): void {
    const line = this.lines.get(waiting.ask.shareKey)
    if (line !== undefined) {
      line.asks.push(waiting)
      return
    }
    this.lines.set(waiting.ask.shareKey, { asks: [waiting], timer: this.scheduleNext(waiting.ask.shareKey, now) })
  }

  private scheduleNext (shareKey: number, now: number): Timer {
    const share = this.options.lookup(shareKey)
    const member = this.options.leases.activeMember(slotOfShare(shareKey), now)?.member
    const availableAt = share === undefined || member === undefined ? now : member.shares.bucket(shareKey, share, now).availableAt(1, share, now)
    const delay = Math.min(Math.max(MINIMUM_DELAY_MILLISECONDS, availableAt - now), this.options.settings.holderWaitMilliseconds)
    return this.options.clock.schedule(delay, () => this.serveQueue(shareKey))
  }

  private serveQueue (shareKey: number): void {
    const line = this.lines.get(shareKey)
    if (line === undefined) return
    const now = this.options.clock.monotonicMilliseconds()
    while (line.asks.length > 0 && this.decide(line.asks[0] as WaitingAsk, now)) line.asks.shift()
    if (line.asks.length === 0) this.lines.delete(shareKey)
    else line.timer = this.scheduleNext(shareKey, now)
  }

  private answer (waiting: WaitingAsk, answer: Partial<TokenAnswer>): void {
    this.send(waiting.from, answerTo(waiting.ask, answer))
  }

  private send (to: string, answer: TokenAnswer): void {
    this.options.network.send(to, { body: { $case: 'tokenAnswer', value: answer } })
  }
}

function answerTo (ask: TokenAsk, answer: Partial<TokenAnswer>): TokenAnswer {
  return { ...EMPTY_ANSWER, ...answer, id: ask.id }
}

const MINIMUM_DELAY_MILLISECONDS = 0.1
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 3_600_000

const EMPTY_ANSWER: TokenAnswer = {
  id: 0,
  outcome: TokenOutcome.TOKEN_OUTCOME_UNSPECIFIED,
  ahead: 0,
  retryAfterMilliseconds: 0,
  recovering: false,
  holder: '',
  waitedMilliseconds: 0
}

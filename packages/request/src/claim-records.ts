import { ClaimState, type ClaimAnswer, type ClaimRecord } from '@hickoryspoke/protocol/generated/claim'
import type { ClaimSettings } from './claim-settings.ts'

/** A holder's record of one claim. `expiresMilliseconds` is on the monotonic clock. */
export interface HeldClaim {
  /** Empty if copies from other holders name different claimants. */
  readonly claimant: string
  readonly fingerprint: string
  /** The record was copied from another holder. It blocks the claim for every claimant and does not count as a grant. */
  readonly isCopied: boolean
  state: ClaimState
  answer: ClaimAnswer | undefined
  expiresMilliseconds: number
}

/** The claim records of one entry, grouped by slot. Records are never evicted before they expire. */
export class ClaimRecords {
  private readonly slots = new Map<number, Map<string, HeldClaim>>()
  private count = 0
  private answerBytes = 0

  private constructor (private readonly settings: ClaimSettings) {}

  static create (settings: ClaimSettings): ClaimRecords {
    return new ClaimRecords(settings)
  }

  get size (): number {
    return this.count
  }

  get storedAnswerBytes (): number {
    return this.answerBytes
  }

  get isFull (): boolean {
    return this.count >= this.settings.maximumRecords
  }

  /** Returns the record of a claim unless it has expired. */
  find (slot: number, claim: string, nowMilliseconds: number): HeldClaim | undefined {
    const held = this.slots.get(slot)?.get(claim)
    return held !== undefined && held.expiresMilliseconds > nowMilliseconds ? held : undefined
  }

  /**
   * Creates or replaces the record of a claim. It is kept for the retention time, or for the remaining time of a copied record,
   * plus a margin for clock drift.
   */
  put (slot: number, claim: string, record: Omit<HeldClaim, 'expiresMilliseconds' | 'answer'>, nowMilliseconds: number, remainingMilliseconds?: number): HeldClaim {
    this.remove(slot, claim)
    const lifetimeMilliseconds = remainingMilliseconds ?? this.settings.retentionMilliseconds
    const held = { ...record, answer: undefined, expiresMilliseconds: nowMilliseconds + lifetimeMilliseconds * (1 + this.settings.clockDriftShare) }
    const records = this.slots.get(slot) ?? new Map<string, HeldClaim>()
    this.slots.set(slot, records.set(claim, held))
    this.count += 1
    return held
  }

  /** Stores a response with its claim, unless the limit on stored responses would be exceeded. */
  keepAnswer (held: HeldClaim, answer: ClaimAnswer | undefined): void {
    if (answer === undefined || held.answer !== undefined) return
    if (this.answerBytes + answer.body.length > this.settings.maximumAnswerBytes) return
    held.answer = answer
    this.answerBytes += answer.body.length
  }

  /** Returns the records of a slot to be copied to another holder, without expired and released claims. */
  copyOf (slot: number, nowMilliseconds: number): ClaimRecord[] {
    const copies: ClaimRecord[] = []
    for (const [claim, held] of this.slots.get(slot) ?? []) {
      const remainingMilliseconds = Math.ceil(held.expiresMilliseconds - nowMilliseconds)
      if (remainingMilliseconds <= 0 || held.state === ClaimState.CLAIM_STATE_RELEASED) continue
      copies.push({ claim, claimant: held.claimant, fingerprint: held.fingerprint, state: held.state, remainingMilliseconds })
    }
    return copies
  }

  /** Merges a record copied from another holder. Finished claims are kept; held claims of different claimants lose their claimant. */
  merge (slot: number, copy: ClaimRecord, nowMilliseconds: number): void {
    const existing = this.find(slot, copy.claim, nowMilliseconds)
    if (existing !== undefined && isEnded(existing.state)) return
    const { claim, fingerprint, state, remainingMilliseconds } = copy
    const isContested = existing?.state === ClaimState.CLAIM_STATE_HELD && !isEnded(state) && existing.claimant !== copy.claimant
    const claimant = isContested ? '' : copy.claimant
    this.put(slot, claim, { claimant, fingerprint, state, isCopied: true }, nowMilliseconds, remainingMilliseconds)
  }

  /** Removes expired records. */
  sweep (nowMilliseconds: number): void {
    for (const [slot, records] of this.slots) {
      for (const [claim, held] of records) {
        if (held.expiresMilliseconds > nowMilliseconds) break
        this.remove(slot, claim)
      }
      if (records.size === 0) this.slots.delete(slot)
    }
  }

  private remove (slot: number, claim: string): void {
    const records = this.slots.get(slot)
    const held = records?.get(claim)
    if (held === undefined) return
    records?.delete(claim)
    this.count -= 1
    this.answerBytes -= held.answer?.body.length ?? 0
  }
}

function isEnded (state: ClaimState): boolean {
  return state === ClaimState.CLAIM_STATE_ANSWERED || state === ClaimState.CLAIM_STATE_UNKNOWN
}

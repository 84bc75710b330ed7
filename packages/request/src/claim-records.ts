import { ClaimState, type ClaimAnswer, type ClaimRecord } from '@hickoryspoke/protocol/generated/claim'
import type { ClaimSettings } from './claim-settings.ts'

/** What a holder remembers of one claim. Times are monotonic milliseconds. */
export interface HeldClaim {
  /** Empty when copies from other holders named different ones. */
  readonly claimant: string
  readonly fingerprint: string
  /** Learnt from another holder: it forbids the claim to all, and is no grant to anyone. */
  readonly isCopied: boolean
  state: ClaimState
  answer: ClaimAnswer | undefined
  expiresMilliseconds: number
}

/** The claims that one entry remembers, by slot, within a bound; none is forgotten before its time. */
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

  /** The record of a claim, unless it has run out. */
  find (slot: number, claim: string, nowMilliseconds: number): HeldClaim | undefined {
    const held = this.slots.get(slot)?.get(claim)
    return held !== undefined && held.expiresMilliseconds > nowMilliseconds ? held : undefined
  }

  /** Remembers a claim for the time of retention, or for what remains of it. */
  put (slot: number, claim: string, record: Omit<HeldClaim, 'expiresMilliseconds' | 'answer'>, nowMilliseconds: number, remainingMilliseconds?: number): HeldClaim {
    this.remove(slot, claim)
    const lasts = remainingMilliseconds ?? this.settings.retentionMilliseconds
    const held = { ...record, answer: undefined, expiresMilliseconds: nowMilliseconds + lasts * (1 + this.settings.clockDriftShare) }
    const records = this.slots.get(slot) ?? new Map<string, HeldClaim>()
    this.slots.set(slot, records.set(claim, held))
    this.count += 1
    return held
  }

  /** Keeps an answer while there is room for it. */
  keepAnswer (held: HeldClaim, answer: ClaimAnswer | undefined): void {
    if (answer === undefined || held.answer !== undefined) return
    if (this.answerBytes + answer.body.length > this.settings.maximumAnswerBytes) return
    held.answer = answer
    this.answerBytes += answer.body.length
  }

  /** All records of a slot as they travel to another holder; claims that were given back are left out. */
  copyOf (slot: number, nowMilliseconds: number): ClaimRecord[] {
    const copies: ClaimRecord[] = []
    for (const [claim, held] of this.slots.get(slot) ?? []) {
      const remainingMilliseconds = Math.ceil(held.expiresMilliseconds - nowMilliseconds)
      if (remainingMilliseconds <= 0 || held.state === ClaimState.CLAIM_STATE_RELEASED) continue
      copies.push({ claim, claimant: held.claimant, fingerprint: held.fingerprint, state: held.state, remainingMilliseconds })
    }
    return copies
  }

  /** Takes what another holder remembers, where this one remembers nothing that says as much. */
  merge (slot: number, copy: ClaimRecord, nowMilliseconds: number): void {
    const known = this.find(slot, copy.claim, nowMilliseconds)
    if (known !== undefined && isEnded(known.state)) return
    const { claim, fingerprint, state, remainingMilliseconds } = copy
    const isContested = known?.state === ClaimState.CLAIM_STATE_HELD && !isEnded(state) && known.claimant !== copy.claimant
    const claimant = isContested ? '' : copy.claimant
    this.put(slot, claim, { claimant, fingerprint, state, isCopied: true }, nowMilliseconds, remainingMilliseconds)
  }

  /** Drops what has run out. */
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

import { type TokenAnswer, type TokenAsk, TokenOutcome } from '@hickoryspoke/protocol/generated/share'
import type { Timer } from '@hickoryspoke/runtime/clock'
import { randomBelow } from '@hickoryspoke/runtime/random'
import type { LeaseTableParts } from './lease-table.ts'

/** What one ask to one entry came to. */
export type AskOutcome =
  | { readonly kind: 'granted', readonly ahead: number, readonly sentAt: number }
  | { readonly kind: 'limited', readonly retryAfterMilliseconds: number, readonly recovering: boolean, readonly sentAt: number }
  | { readonly kind: 'not_holder', readonly holder: string }
  | { readonly kind: 'silent' }

/** One ask to one entry. */
export interface AskRequest {
  readonly to: string
  readonly shareKey: number
  readonly ahead: number
}

interface PendingAsk {
  readonly to: string
  readonly validityMilliseconds: number
  readonly sentAt: number
  readonly finish: (outcome: AskOutcome) => void
  readonly timer: Timer
}

const ID_LIMIT = 2 ** 32
const SMOOTHING = 0.05
const FIRST_ROUND_TRIP_MILLISECONDS = 8
const LATE_ANSWER_GROWTH = 1.5

/** Sends asks to other entries and matches their answers. */
export class ShareAsker {
  private readonly pending = new Map<number, PendingAsk>()
  private readonly roundTrips = new Map<string, number>()
  private nextId: number

  private constructor (private readonly parts: LeaseTableParts) {
    this.nextId = 1 + randomBelow(parts.random, ID_LIMIT - 1)
  }

  static create (parts: LeaseTableParts): ShareAsker {
    return new ShareAsker(parts)
  }

  get pendingCount (): number {
    return this.pending.size
  }

  /** Asks one entry for a token; resolves at the latest when an answer could no longer be used. */
  ask (request: AskRequest): Promise<AskOutcome> {
    const { settings, clock, network } = this.parts
    const validityMilliseconds = this.validity(request.to)
    const id = this.takeId()
    const value: TokenAsk = {
      id,
      shareKey: request.shareKey,
      validityMilliseconds,
      waitMilliseconds: settings.holderWaitMilliseconds,
      ahead: request.ahead,
      aheadValidityMilliseconds: request.ahead > 0 ? settings.aheadValidityMilliseconds : 0
    }
    return new Promise((resolve) => {
      const timer = clock.schedule(settings.holderWaitMilliseconds + validityMilliseconds, () => this.giveUp(id))
      this.pending.set(id, { to: request.to, validityMilliseconds, sentAt: clock.monotonicMilliseconds(), finish: resolve, timer })
      network.send(request.to, { body: { $case: 'tokenAsk', value } })
    })
  }

  /** Settles the ask that an answer belongs to; a repeated or late answer is dropped. */
  receive (answer: TokenAnswer): void {
    const pending = this.pending.get(answer.id)
    if (pending === undefined) return
    this.pending.delete(answer.id)
    pending.timer.cancel()
    const took = this.parts.clock.monotonicMilliseconds() - pending.sentAt - answer.waitedMilliseconds
    if (answer.outcome === TokenOutcome.TOKEN_OUTCOME_GRANTED) this.learnRoundTrip(pending.to, Math.max(0, took))
    pending.finish(took <= pending.validityMilliseconds ? outcomeOf(answer, pending.sentAt) : SILENT)
  }

  close (): void {
    for (const pending of this.pending.values()) {
      pending.timer.cancel()
      pending.finish(SILENT)
    }
    this.pending.clear()
  }

  private giveUp (id: number): void {
    const pending = this.pending.get(id)
    if (pending === undefined) return
    this.pending.delete(id)
    this.learnRoundTrip(pending.to, pending.validityMilliseconds * LATE_ANSWER_GROWTH)
    pending.finish(SILENT)
  }

  /** The shorter a token may stay unused, the sooner its place in the burst is free again. */
  private validity (to: string): number {
    const { settings } = this.parts
    const roundTrip = this.roundTrips.get(to) ?? FIRST_ROUND_TRIP_MILLISECONDS
    const wanted = Math.ceil(roundTrip * settings.validityRoundTrips)
    return Math.min(settings.longestValidityMilliseconds, Math.max(settings.shortestValidityMilliseconds, wanted))
  }

  private learnRoundTrip (to: string, took: number): void {
    const known = this.roundTrips.get(to) ?? took
    const next = took > known ? took : known + SMOOTHING * (took - known)
    this.roundTrips.set(to, Math.min(next, this.parts.settings.longestValidityMilliseconds))
  }

  private takeId (): number {
    const id = this.nextId
    this.nextId = id + 1 < ID_LIMIT ? id + 1 : 1
    return id
  }
}

const SILENT: AskOutcome = { kind: 'silent' }

const OUTCOMES: Partial<Record<TokenOutcome, (answer: TokenAnswer, sentAt: number) => AskOutcome>> = {
  [TokenOutcome.TOKEN_OUTCOME_GRANTED]: (answer, sentAt) => ({ kind: 'granted', ahead: answer.ahead, sentAt }),
  [TokenOutcome.TOKEN_OUTCOME_LIMITED]: (answer, sentAt) => ({
    kind: 'limited',
    retryAfterMilliseconds: answer.retryAfterMilliseconds,
    recovering: answer.recovering,
    sentAt
  }),
  [TokenOutcome.TOKEN_OUTCOME_NOT_HOLDER]: (answer) => ({ kind: 'not_holder', holder: answer.holder })
}

function outcomeOf (answer: TokenAnswer, sentAt: number): AskOutcome {
  return OUTCOMES[answer.outcome]?.(answer, sentAt) ?? { kind: 'not_holder', holder: '' }
}

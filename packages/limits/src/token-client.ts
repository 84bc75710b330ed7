import { type TokenAnswer, type TokenAsk, TokenOutcome } from '@hickoryspoke/protocol/generated/share'
import type { Timer } from '@hickoryspoke/runtime/clock'
import { randomBelow } from '@hickoryspoke/runtime/random'
import type { LeaseTableOptions } from './lease-table.ts'

/** Result of asking one entry for a token. */
export type AskOutcome =
  | { readonly kind: 'granted', readonly ahead: number, readonly sentAt: number }
  | { readonly kind: 'limited', readonly retryAfterMilliseconds: number, readonly recovering: boolean, readonly sentAt: number }
  | { readonly kind: 'not_holder', readonly holder: string }
  | { readonly kind: 'silent' }

/** A request for a token to one entry. `ahead` is the number of further tokens wanted in advance. */
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
const ROUND_TRIP_SMOOTHING = 0.05
const INITIAL_ROUND_TRIP_MILLISECONDS = 8
/** After a timeout, the round trip is assumed to be this multiple of the validity that was too short. */
const TIMEOUT_ROUND_TRIP_FACTOR = 1.5

/** Asks lease holders for tokens and matches their answers to the pending requests. */
export class TokenClient {
  private readonly pending = new Map<number, PendingAsk>()
  private readonly roundTrips = new Map<string, number>()
  private nextId: number

  private constructor (private readonly options: LeaseTableOptions) {
    this.nextId = 1 + randomBelow(options.random, ID_LIMIT - 1)
  }

  static create (options: LeaseTableOptions): TokenClient {
    return new TokenClient(options)
  }

  get pendingCount (): number {
    return this.pending.size
  }

  /** Asks one entry for a token. Resolves with `silent` when an answer would come too late to be used. */
  ask (request: AskRequest): Promise<AskOutcome> {
    const { settings, clock, network } = this.options
    const validityMilliseconds = this.validity(request.to)
    const id = this.allocateId()
    const value: TokenAsk = {
      id,
      shareKey: request.shareKey,
      validityMilliseconds,
      waitMilliseconds: settings.holderWaitMilliseconds,
      ahead: request.ahead,
      aheadValidityMilliseconds: request.ahead > 0 ? settings.aheadValidityMilliseconds : 0
    }
    return new Promise((resolve) => {
      const timer = clock.schedule(settings.holderWaitMilliseconds + validityMilliseconds, () => this.expire(id))
      this.pending.set(id, { to: request.to, validityMilliseconds, sentAt: clock.monotonicMilliseconds(), finish: resolve, timer })
      network.send(request.to, { body: { $case: 'tokenAsk', value } })
    })
  }

  /** Resolves the pending request that an answer belongs to; a duplicate or late answer is dropped. */
  receive (answer: TokenAnswer): void {
    const pending = this.pending.get(answer.id)
    if (pending === undefined) return
    this.pending.delete(answer.id)
    pending.timer.cancel()
    const elapsed = this.options.clock.monotonicMilliseconds() - pending.sentAt - answer.waitedMilliseconds
    if (answer.outcome === TokenOutcome.TOKEN_OUTCOME_GRANTED) this.recordRoundTrip(pending.to, Math.max(0, elapsed))
    pending.finish(elapsed <= pending.validityMilliseconds ? outcomeOf(answer, pending.sentAt) : SILENT)
  }

  close (): void {
    for (const pending of this.pending.values()) {
      pending.timer.cancel()
      pending.finish(SILENT)
    }
    this.pending.clear()
  }

  private expire (id: number): void {
    const pending = this.pending.get(id)
    if (pending === undefined) return
    this.pending.delete(id)
    this.recordRoundTrip(pending.to, pending.validityMilliseconds * TIMEOUT_ROUND_TRIP_FACTOR)
    pending.finish(SILENT)
  }

  /** Validity to request for a token, from the round trip to the entry. A shorter validity lets the token's place in the burst free up sooner. */
  private validity (to: string): number {
    const { settings } = this.options
    const roundTrip = this.roundTrips.get(to) ?? INITIAL_ROUND_TRIP_MILLISECONDS
    const wanted = Math.ceil(roundTrip * settings.validityRoundTrips)
    return Math.min(settings.maximumValidityMilliseconds, Math.max(settings.minimumValidityMilliseconds, wanted))
  }

  private recordRoundTrip (to: string, elapsed: number): void {
    const known = this.roundTrips.get(to) ?? elapsed
    const next = elapsed > known ? elapsed : known + ROUND_TRIP_SMOOTHING * (elapsed - known)
    this.roundTrips.set(to, Math.min(next, this.options.settings.maximumValidityMilliseconds))
  }

  private allocateId (): number {
    const id = this.nextId
    this.nextId = id + 1 < ID_LIMIT ? id + 1 : 1
    return id
  }
}

const SILENT: AskOutcome = { kind: 'silent' }

const OUTCOME_CONVERTERS: Partial<Record<TokenOutcome, (answer: TokenAnswer, sentAt: number) => AskOutcome>> = {
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
  return OUTCOME_CONVERTERS[answer.outcome]?.(answer, sentAt) ?? { kind: 'not_holder', holder: '' }
}

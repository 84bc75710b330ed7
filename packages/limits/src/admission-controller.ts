import { sleep } from '@hickoryspoke/runtime/clock'
import { pickOne, randomBelow } from '@hickoryspoke/runtime/random'
import { type Admission, REFUSAL_REASON, type RefusalReason } from './admission.ts'
import type { CustomerRecord } from './customer-directory.ts'
import type { LeaseGroups } from './lease-groups.ts'
import type { LeaseTableOptions } from './lease-table.ts'
import { LocalTokens } from './local-tokens.ts'
import { regionOfShare, slotOfShare } from './share-split.ts'
import type { AskOutcome, TokenClient } from './token-client.ts'

/** Dependencies of `AdmissionController`. */
export interface AdmissionControllerOptions extends LeaseTableOptions {
  readonly asker: TokenClient
  readonly groups: () => LeaseGroups | undefined
  /** Lease groups of the previous epoch, whose lease holders may still grant tokens for a while. */
  readonly previousGroups: () => LeaseGroups | undefined
  /** Monotonic time in milliseconds at which this entry's epoch lease expires. */
  readonly mayActUntil: () => number
}

type ShareVerdict =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'limited', readonly retryAfterMilliseconds: number, readonly recovering: boolean }
  | { readonly kind: 'unavailable' }

const ADMITTED: ShareVerdict = { kind: 'admitted' }
const UNAVAILABLE: ShareVerdict = { kind: 'unavailable' }
const UNAVAILABLE_RETRY_AFTER_MILLISECONDS = 1000
const MAXIMUM_ENTRIES_ASKED = 4

/** Decides for each request received by this entry whether its customer has a token left. */
export class AdmissionController {
  private readonly localTokens = new Map<number, LocalTokens>()
  /** Entry that last answered as lease holder, by region and slot. */
  private readonly knownHolders = new Map<string, string>()

  private constructor (private readonly options: AdmissionControllerOptions) {}

  static create (options: AdmissionControllerOptions): AdmissionController {
    return new AdmissionController(options)
  }

  /**
   * Tries the customer's shares in turn, those of the own region first. Retries for a bounded time
   * while no share has a reachable lease holder or a new holder is still recovering.
   */
  async decide (customer: CustomerRecord, shareKeys: readonly number[], localShareCount: number): Promise<Admission> {
    const { clock, settings } = this.options
    const deadline = clock.monotonicMilliseconds() + settings.unavailableWaitMilliseconds
    const order = orderShares(shareKeys, localShareCount, randomBelow(this.options.random, Math.max(1, localShareCount)))
    for (let tries = 0; ; tries += 1) {
      const verdict = await this.tryShares(order)
      if (verdict.kind === 'admitted') return { admitted: true }
      const pause = this.pauseAfter(verdict, tries)
      const outOfTime = clock.monotonicMilliseconds() + pause > deadline
      if (verdict.kind === 'limited' && (outOfTime || !verdict.recovering)) return refusal(REFUSAL_REASON.limited, verdict.retryAfterMilliseconds)
      if (!this.mayAct()) return refusal(REFUSAL_REASON.notInEpoch, UNAVAILABLE_RETRY_AFTER_MILLISECONDS)
      if (outOfTime) return refusal(REFUSAL_REASON.unavailable, UNAVAILABLE_RETRY_AFTER_MILLISECONDS)
      await sleep(clock, pause)
    }
  }

  /** Stops sending requests to an entry that is leaving. */
  forgetHolder (name: string): void {
    for (const [slotKey, holder] of this.knownHolders) if (holder === name) this.knownHolders.delete(slotKey)
  }

  /** Removes the state of shares that hold no usable tokens and had no recent requests. */
  sweep (): void {
    const now = this.options.clock.monotonicMilliseconds()
    for (const [shareKey, tokens] of this.localTokens) {
      if (tokens.isIdle(now)) this.localTokens.delete(shareKey)
    }
  }

  /** Number of shares for which this entry keeps state. */
  get size (): number {
    return this.localTokens.size
  }

  private mayAct (): boolean {
    return this.options.clock.monotonicMilliseconds() < this.options.mayActUntil()
  }

  private pauseAfter (verdict: ShareVerdict, tries: number): number {
    const { initialRetryMilliseconds, maximumRetryMilliseconds } = this.options.settings
    if (verdict.kind === 'limited') return Math.max(initialRetryMilliseconds, verdict.retryAfterMilliseconds)
    return Math.min(maximumRetryMilliseconds, initialRetryMilliseconds * 2 ** tries)
  }

  /** Makes one pass over the shares: the first that has a token admits, otherwise the best verdict of all is returned. */
  private async tryShares (order: readonly number[]): Promise<ShareVerdict> {
    let best: ShareVerdict = UNAVAILABLE
    for (const shareKey of order) {
      const verdict = await this.tryShare(shareKey)
      if (verdict.kind === 'admitted') return verdict
      best = betterVerdict(best, verdict)
    }
    return best
  }

  private async tryShare (shareKey: number): Promise<ShareVerdict> {
    const now = this.options.clock.monotonicMilliseconds()
    const tokens = this.tokensOf(shareKey, now)
    tokens.recordRequest(now)
    if (tokens.take(now)) return this.mayAct() ? ADMITTED : UNAVAILABLE
    if (now < tokens.refusedUntil) {
      const retryAfterMilliseconds = tokens.refusedUntil - now + tokens.retryAfterMargin
      return { kind: 'limited', retryAfterMilliseconds, recovering: false }
    }
    const outcome = await this.askHolder(shareKey, tokens)
    return this.apply(outcome, tokens)
  }

  private apply (outcome: AskOutcome, tokens: LocalTokens): ShareVerdict {
    const { clock, settings } = this.options
    if (outcome.kind === 'granted') {
      tokens.put(outcome.ahead, outcome.sentAt + settings.aheadValidityMilliseconds)
      return this.mayAct() ? ADMITTED : UNAVAILABLE
    }
    if (outcome.kind !== 'limited') return UNAVAILABLE
    if (!outcome.recovering) {
      tokens.refusedUntil = outcome.sentAt + outcome.retryAfterMilliseconds - settings.holderWaitMilliseconds
      tokens.retryAfterMargin = settings.holderWaitMilliseconds
    }
    const elapsed = clock.monotonicMilliseconds() - outcome.sentAt
    return { kind: 'limited', retryAfterMilliseconds: Math.max(1, outcome.retryAfterMilliseconds - elapsed), recovering: outcome.recovering }
  }

  /** Asks the presumed lease holder, then the entry it names as holder or another group member, up to `MAX_ENTRIES_ASKED` entries. */
  private async askHolder (shareKey: number, tokens: LocalTokens): Promise<AskOutcome> {
    const { asker, settings } = this.options
    const slotKey = this.slotKey(shareKey)
    const asked = new Set<string>()
    let outcome: AskOutcome = { kind: 'silent' }
    let to = this.knownHolders.get(slotKey) ?? this.nextMember(shareKey, asked)
    while (to !== undefined && asked.size < MAXIMUM_ENTRIES_ASKED) {
      asked.add(to)
      outcome = await asker.ask({ to, shareKey, ahead: tokens.expectedRequests(settings.aheadValidityMilliseconds) })
      if (outcome.kind === 'granted' || outcome.kind === 'limited') {
        this.knownHolders.set(slotKey, to)
        return outcome
      }
      this.knownHolders.delete(slotKey)
      const hint = outcome.kind === 'not_holder' ? outcome.holder : ''
      to = hint !== '' && !asked.has(hint) ? hint : this.nextMember(shareKey, asked)
    }
    return outcome
  }

  private nextMember (shareKey: number, asked: ReadonlySet<string>): string | undefined {
    const current = membersOf(this.options.groups(), shareKey)
    const remaining = current.filter((member) => !asked.has(member))
    if (remaining.length === current.length) return remaining[0]
    if (remaining.length > 0) return pickOne(this.options.random, remaining)
    return membersOf(this.options.previousGroups(), shareKey).find((member) => !asked.has(member))
  }

  private slotKey (shareKey: number): string {
    const regions = this.options.groups()?.regions.length ?? 1
    return `${regionOfShare(shareKey, regions)}/${slotOfShare(shareKey)}`
  }

  private tokensOf (shareKey: number, now: number): LocalTokens {
    const known = this.localTokens.get(shareKey)
    if (known !== undefined) return known
    const tokens = LocalTokens.create(now)
    this.localTokens.set(shareKey, tokens)
    return tokens
  }
}

function refusal (reason: RefusalReason, retryAfterMilliseconds: number): Admission {
  return { admitted: false, reason, retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds) }
}

function membersOf (groups: LeaseGroups | undefined, shareKey: number): readonly string[] {
  if (groups === undefined) return []
  return groups.groupOf(regionOfShare(shareKey, groups.regions.length), slotOfShare(shareKey)).members
}

/** Orders the shares: those of the own region first, rotated to begin at `start`, then the others. */
function orderShares (shareKeys: readonly number[], localCount: number, start: number): number[] {
  const local = shareKeys.slice(0, localCount)
  return [...local.slice(start), ...local.slice(0, start), ...shareKeys.slice(localCount)]
}

/** The more favourable of two verdicts: `limited` before `unavailable`, and the shorter retry time of two limited ones. */
function betterVerdict (left: ShareVerdict, right: ShareVerdict): ShareVerdict {
  if (left.kind !== 'limited') return right
  if (right.kind !== 'limited') return left
  const sooner = right.retryAfterMilliseconds < left.retryAfterMilliseconds ? right : left
  return { ...sooner, recovering: left.recovering || right.recovering }
}

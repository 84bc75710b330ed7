import { sleep } from '@hickoryspoke/runtime/clock'
import { pickOne, randomBelow } from '@hickoryspoke/runtime/random'
import { type Admission, REFUSAL_REASON, type RefusalReason } from './admission.ts'
import type { KnownCustomer } from './customer-directory.ts'
import type { HomeGroups } from './home-groups.ts'
import type { LeaseTableParts } from './lease-table.ts'
import type { AskOutcome, ShareAsker } from './share-asker.ts'
import { regionOfShare, slotOfShare } from './share-split.ts'
import { TokenPurse } from './token-purse.ts'

/** What decisions work with. */
export interface AdmissionDeskParts extends LeaseTableParts {
  readonly asker: ShareAsker
  readonly groups: () => HomeGroups | undefined
  /** The groups of the epoch before, whose holders may act for a while. */
  readonly formerGroups: () => HomeGroups | undefined
  /** Monotonic time in milliseconds until which this entry may act in the epoch. */
  readonly mayActUntil: () => number
}

type ShareVerdict =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'limited', readonly retryAfterMilliseconds: number, readonly recovering: boolean }
  | { readonly kind: 'unavailable' }

const ADMITTED: ShareVerdict = { kind: 'admitted' }
const UNAVAILABLE: ShareVerdict = { kind: 'unavailable' }
const UNAVAILABLE_RETRY_AFTER_MILLISECONDS = 1000
const MOST_HOPS = 4

/** Decides for each request of this entry whether its customer has a token left. */
export class AdmissionDesk {
  private readonly purses = new Map<number, TokenPurse>()
  /** The entry that last proved to hold a slot of a region. */
  private readonly holders = new Map<string, string>()

  private constructor (private readonly parts: AdmissionDeskParts) {}

  static create (parts: AdmissionDeskParts): AdmissionDesk {
    return new AdmissionDesk(parts)
  }

  /** Tries the customer's shares in turn, the nearest first, and waits a bounded time while a lease moves. */
  async decide (customer: KnownCustomer, shareKeys: readonly number[], nearShares: number): Promise<Admission> {
    const { clock, settings } = this.parts
    const deadline = clock.monotonicMilliseconds() + settings.unavailableWaitMilliseconds
    const order = rotate(shareKeys, nearShares, randomBelow(this.parts.random, Math.max(1, nearShares)))
    for (let tries = 0; ; tries += 1) {
      const verdict = await this.tryAll(order)
      if (verdict.kind === 'admitted') return { admitted: true }
      const pause = this.pauseAfter(verdict, tries)
      const outOfTime = clock.monotonicMilliseconds() + pause > deadline
      if (verdict.kind === 'limited' && (outOfTime || !verdict.recovering)) return refusal(REFUSAL_REASON.limited, verdict.retryAfterMilliseconds)
      if (!this.mayAct()) return refusal(REFUSAL_REASON.notInEpoch, UNAVAILABLE_RETRY_AFTER_MILLISECONDS)
      if (outOfTime) return refusal(REFUSAL_REASON.unavailable, UNAVAILABLE_RETRY_AFTER_MILLISECONDS)
      await sleep(clock, pause)
    }
  }

  /** Asks an entry that leaves nothing more. */
  forgetHolder (name: string): void {
    for (const [slotName, holder] of this.holders) if (holder === name) this.holders.delete(slotName)
  }

  /** Forgets purses that hold nothing. */
  sweep (): void {
    const now = this.parts.clock.monotonicMilliseconds()
    for (const [shareKey, purse] of this.purses) {
      if (purse.idle(now)) this.purses.delete(shareKey)
    }
  }

  /** Shares for which this entry keeps something. */
  get size (): number {
    return this.purses.size
  }

  private mayAct (): boolean {
    return this.parts.clock.monotonicMilliseconds() < this.parts.mayActUntil()
  }

  private pauseAfter (verdict: ShareVerdict, tries: number): number {
    const { firstRetryMilliseconds, longestRetryMilliseconds } = this.parts.settings
    if (verdict.kind === 'limited') return Math.max(firstRetryMilliseconds, verdict.retryAfterMilliseconds)
    return Math.min(longestRetryMilliseconds, firstRetryMilliseconds * 2 ** tries)
  }

  /** One pass over the shares: admitted by the first that can, else the earliest time to try again. */
  private async tryAll (order: readonly number[]): Promise<ShareVerdict> {
    let best: ShareVerdict = UNAVAILABLE
    for (const shareKey of order) {
      const verdict = await this.tryShare(shareKey)
      if (verdict.kind === 'admitted') return verdict
      best = milder(best, verdict)
    }
    return best
  }

  private async tryShare (shareKey: number): Promise<ShareVerdict> {
    const now = this.parts.clock.monotonicMilliseconds()
    const purse = this.purse(shareKey, now)
    purse.noteDemand(now)
    if (purse.take(now)) return this.mayAct() ? ADMITTED : UNAVAILABLE
    if (now < purse.refusedUntil) {
      const retryAfterMilliseconds = purse.refusedUntil - now + purse.refusedWait
      return { kind: 'limited', retryAfterMilliseconds, recovering: false }
    }
    const outcome = await this.askHolder(shareKey, purse)
    return this.apply(outcome, purse)
  }

  private apply (outcome: AskOutcome, purse: TokenPurse): ShareVerdict {
    const { clock, settings } = this.parts
    if (outcome.kind === 'granted') {
      purse.put(outcome.ahead, outcome.sentAt + settings.aheadValidityMilliseconds)
      return this.mayAct() ? ADMITTED : UNAVAILABLE
    }
    if (outcome.kind !== 'limited') return UNAVAILABLE
    if (!outcome.recovering) {
      purse.refusedUntil = outcome.sentAt + outcome.retryAfterMilliseconds - settings.holderWaitMilliseconds
      purse.refusedWait = settings.holderWaitMilliseconds
    }
    const elapsed = clock.monotonicMilliseconds() - outcome.sentAt
    return { kind: 'limited', retryAfterMilliseconds: Math.max(1, outcome.retryAfterMilliseconds - elapsed), recovering: outcome.recovering }
  }

  /** Asks the entry believed to hold the share's lease, and follows at most a few hints. */
  private async askHolder (shareKey: number, purse: TokenPurse): Promise<AskOutcome> {
    const { asker, settings } = this.parts
    const slotName = this.slotName(shareKey)
    const asked = new Set<string>()
    let outcome: AskOutcome = { kind: 'silent' }
    let to = this.holders.get(slotName) ?? this.nextMember(shareKey, asked)
    while (to !== undefined && asked.size < MOST_HOPS) {
      asked.add(to)
      outcome = await asker.ask({ to, shareKey, ahead: purse.expected(settings.aheadValidityMilliseconds) })
      if (outcome.kind === 'granted' || outcome.kind === 'limited') {
        this.holders.set(slotName, to)
        return outcome
      }
      this.holders.delete(slotName)
      const hint = outcome.kind === 'not_holder' ? outcome.holder : ''
      to = hint !== '' && !asked.has(hint) ? hint : this.nextMember(shareKey, asked)
    }
    return outcome
  }

  private nextMember (shareKey: number, asked: ReadonlySet<string>): string | undefined {
    const present = membersOf(this.parts.groups(), shareKey)
    const rest = present.filter((member) => !asked.has(member))
    if (rest.length === present.length) return rest[0]
    if (rest.length > 0) return pickOne(this.parts.random, rest)
    return membersOf(this.parts.formerGroups(), shareKey).find((member) => !asked.has(member))
  }

  private slotName (shareKey: number): string {
    const regions = this.parts.groups()?.regions.length ?? 1
    return `${regionOfShare(shareKey, regions)}/${slotOfShare(shareKey)}`
  }

  private purse (shareKey: number, now: number): TokenPurse {
    const known = this.purses.get(shareKey)
    if (known !== undefined) return known
    const purse = TokenPurse.create(now)
    this.purses.set(shareKey, purse)
    return purse
  }
}

function refusal (reason: RefusalReason, retryAfterMilliseconds: number): Admission {
  return { admitted: false, reason, retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds) }
}

function membersOf (groups: HomeGroups | undefined, shareKey: number): readonly string[] {
  if (groups === undefined) return []
  return groups.groupOf(regionOfShare(shareKey, groups.regions.length), slotOfShare(shareKey)).members
}

/** Shares of the own region from a random one on, then the others. */
function rotate (shareKeys: readonly number[], near: number, start: number): number[] {
  const own = shareKeys.slice(0, near)
  return [...own.slice(start), ...own.slice(0, start), ...shareKeys.slice(near)]
}

/** The verdict that gives the request the better prospect. */
function milder (left: ShareVerdict, right: ShareVerdict): ShareVerdict {
  if (left.kind !== 'limited') return right
  if (right.kind !== 'limited') return left
  const sooner = right.retryAfterMilliseconds < left.retryAfterMilliseconds ? right : left
  return { ...sooner, recovering: left.recovering || right.recovering }
}

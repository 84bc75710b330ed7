import { ClaimVerdict, type ClaimAnswer, type ClaimAsk, type ClaimMessage, type ClaimReply } from '@hickoryspoke/protocol/generated/claim'
import type { Clock, Timer } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import type { ClaimGroup } from './claim-groups.ts'
import type { ClaimSettings } from './claim-settings.ts'

/** Outcome of one quorum round. */
export type RoundResult =
  | { readonly kind: 'majority' }
  | { readonly kind: 'held' }
  | { readonly kind: 'answered', readonly answer: ClaimAnswer | undefined }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'content_differs' }
  | { readonly kind: 'free' }
  | { readonly kind: 'unavailable' }

const V = ClaimVerdict
const FAVOURABLE: ReadonlySet<ClaimVerdict> = new Set([V.CLAIM_VERDICT_GRANTED, V.CLAIM_VERDICT_FREE])

/** One quorum round: a claimant asks the holders of a claim for their votes. */
export class ClaimRound {
  private readonly verdicts = new Map<string, ClaimVerdict>()
  private answer: ClaimAnswer | undefined
  private finish: ((result: RoundResult) => void) | undefined
  private resendTimer: Timer | undefined

  private constructor (
    private readonly clock: Clock,
    private readonly network: PeerNetwork<ClaimMessage>,
    private readonly settings: ClaimSettings,
    private readonly group: ClaimGroup,
    private readonly ask: ClaimAsk
  ) {}

  static create (clock: Clock, network: PeerNetwork<ClaimMessage>, settings: ClaimSettings, group: ClaimGroup, ask: ClaimAsk): ClaimRound {
    return new ClaimRound(clock, network, settings, group, ask)
  }

  /** Asks all holders, and again those without a final reply, until the outcome is determined or the round times out. */
  async run (): Promise<RoundResult> {
    const timer = this.clock.schedule(this.settings.roundMilliseconds, () => this.settle(this.outcomeWithoutMajority()))
    const result = await new Promise<RoundResult>((resolve) => {
      this.finish = resolve
      this.sendToPending()
    })
    timer.cancel()
    this.resendTimer?.cancel()
    return result
  }

  /** Counts the reply of a holder. Replies from entries outside the group are ignored. */
  receive (from: string, reply: ClaimReply): void {
    if (this.finish === undefined || !this.group.members.includes(from)) return
    this.verdicts.set(from, reply.verdict)
    this.answer ??= reply.answer
    const result = this.finalOutcome()
    if (result !== undefined) this.settle(result)
  }

  private sendToPending (): void {
    for (const member of this.group.members) {
      if (this.finish === undefined) return
      if (!this.verdicts.has(member) || this.verdicts.get(member) === V.CLAIM_VERDICT_UNREADY) this.network.send(member, { body: { $case: 'ask', value: this.ask } })
    }
    if (this.finish === undefined) return
    this.resendTimer = this.clock.schedule(this.settings.resendMilliseconds, () => this.sendToPending())
  }

  private count (wanted: (verdict: ClaimVerdict) => boolean): number {
    let count = 0
    for (const verdict of this.verdicts.values()) if (wanted(verdict)) count += 1
    return count
  }

  /** Returns the outcome once it is determined: a majority, a stored response, or no majority possible with the replies still to come. */
  private finalOutcome (): RoundResult | undefined {
    const granted = this.count((verdict) => verdict === V.CLAIM_VERDICT_GRANTED)
    if (granted >= this.group.majority) return { kind: 'majority' }
    if (this.answer !== undefined) return { kind: 'answered', answer: this.answer }
    const free = this.count((verdict) => verdict === V.CLAIM_VERDICT_FREE)
    if (free >= this.group.majority) return { kind: 'free' }
    const ready = this.count((verdict) => verdict !== V.CLAIM_VERDICT_UNREADY)
    const favourable = this.count((verdict) => FAVOURABLE.has(verdict))
    const open = this.group.members.length - ready
    if (favourable + open >= this.group.majority && open > 0) return undefined
    return this.outcomeWithoutMajority()
  }

  private outcomeWithoutMajority (): RoundResult {
    const has = (wanted: ClaimVerdict): boolean => this.count((verdict) => verdict === wanted) > 0
    if (this.answer !== undefined) return { kind: 'answered', answer: this.answer }
    if (has(V.CLAIM_VERDICT_ANSWERED)) return { kind: 'answered', answer: undefined }
    if (has(V.CLAIM_VERDICT_UNKNOWN)) return { kind: 'unknown' }
    if (has(V.CLAIM_VERDICT_CONTENT_DIFFERS)) return { kind: 'content_differs' }
    if (has(V.CLAIM_VERDICT_HELD)) return { kind: 'held' }
    return { kind: 'unavailable' }
  }

  private settle (result: RoundResult): void {
    this.finish?.(result)
    this.finish = undefined
  }
}

/** The entry's side of placing requests: asks the dispatcher, and falls back to a local placer while there is none. */
import {
  DenialReason, PlacementOutcome,
  type Denial, type Placement, type PlacementEnd, type PlacementQuestion, type RunningRequest, type UpstreamNotice
} from '@hickoryspoke/protocol/generated/dispatch'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { Failure } from '@hickoryspoke/runtime/failure'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { Err, Ok, type Result } from 'ts-results-es'
import type { LocalPlacer } from './local-placer.ts'
import { spreadReturn } from './return-time.ts'

/** The request was denied an upstream, so this placement attempt did not send it anywhere. */
export class PlacementDenied extends Failure {
  readonly code = 'placement_denied'

  private constructor (readonly reason: DenialReason, readonly retryAfterMilliseconds: number) {
    super(`placement denied (reason ${reason})`)
  }

  static create (reason: DenialReason, retryAfterMilliseconds: number): PlacementDenied {
    return new PlacementDenied(reason, retryAfterMilliseconds)
  }
}

/** The upstream for a request. */
export interface PlacedRequest extends Placement {
  /** Whether this entry chose it, and not the dispatcher. */
  readonly local: boolean
}

/** Dependencies of a `PlacementClient`. */
export interface PlacementClientOptions {
  readonly clock: Clock
  readonly placer: LocalPlacer
  /** Whether this entry knows that the upstream is leaving. A dispatcher that just began to lead may not know it yet. */
  readonly isLeaving: (instance: string) => boolean
  /** Sends a question to the dispatcher; false when none can be reached. */
  readonly ask: (question: PlacementQuestion) => boolean
  /** Sends the end of a placement to the dispatcher; false when none can be reached. */
  readonly sendEnd: (end: PlacementEnd) => boolean
  /** Spreads the times at which callers are told to return while there is no dispatcher; absent where all are told the same. */
  readonly spread?: RandomSource | undefined
}

/** The end of a placement, as reported by the request that used it. */
export type ReportedEnd = Omit<PlacementEnd, 'notice'>

/** A placement or a denial; undefined when the question was cancelled or the dispatcher was lost. */
type Reply = Result<Placement, PlacementDenied> | undefined

/** After this time without a dispatcher, an entry places requests by itself. */
const LOCAL_FALLBACK_MILLISECONDS = 120
const RETRY_INTERVAL_MILLISECONDS = 20
const RETRY_AFTER_MILLISECONDS = 500
/** Ends of placements kept for the next dispatcher; beyond this, the oldest are dropped. */
const MAXIMUM_UNSENT_ENDS = 500
const MAXIMUM_TICKET = 0x7fffffff

/** Tracks questions that wait for a reply and placements that have not ended. */
export class PlacementClient {
  private readonly waiting = new Map<number, (reply: Reply) => void>()
  private readonly placed = new Map<number, PlacedRequest>()
  /** Called when the placement with this ticket is overdue. */
  private readonly overdueListeners = new Map<number, () => void>()
  private readonly unsentEnds: ReportedEnd[] = []
  private lastTicket = 0
  /** When the dispatcher was lost; undefined while there is one. */
  private lostAt: number | undefined

  private constructor (private readonly options: PlacementClientOptions) {
    this.lostAt = options.clock.monotonicMilliseconds()
  }

  static create (options: PlacementClientOptions): PlacementClient {
    return new PlacementClient(options)
  }

  /** Returns a ticket, which identifies a request of this entry to the dispatcher. */
  nextTicket (): number {
    this.lastTicket = this.lastTicket % MAXIMUM_TICKET + 1
    return this.lastTicket
  }

  /** Placements that have not ended, which a new dispatcher must count. */
  running (): RunningRequest[] {
    return [...this.placed.values()].map(({ ticket, instance }) => ({ ticket, instance }))
  }

  /** Whether any question waits for a reply. */
  get isWaiting (): boolean {
    return this.waiting.size > 0
  }

  /** Time since the dispatcher was lost, in milliseconds; 0 while there is one. */
  get withoutDispatcherMilliseconds (): number {
    return this.lostAt === undefined ? 0 : this.options.clock.monotonicMilliseconds() - this.lostAt
  }

  /** Call when a dispatcher was reached. It may still count requests that ended during connection setup, so unsent ends are sent now. */
  connected (): void {
    this.lostAt = undefined
    for (const end of this.unsentEnds.splice(0)) this.sendOrKeepEnd(end)
  }

  /** Call when the dispatcher was lost. Waiting questions are asked again or placed locally. */
  lost (): void {
    this.lostAt = this.options.clock.monotonicMilliseconds()
    for (const settle of [...this.waiting.values()]) settle(undefined)
  }

  receivePlacement (placement: Placement): void {
    const settle = this.waiting.get(placement.ticket)
    if (settle !== undefined) return settle(Ok(placement))
    this.sendOrKeepEnd(unusedPlacementEnd(placement.ticket, placement.instance))
  }

  receiveDenial (denial: Denial): void {
    this.waiting.get(denial.ticket)?.(Err(PlacementDenied.create(denial.reason, denial.retryAfterMilliseconds)))
  }

  receiveOverdue (ticket: number): void {
    this.overdueListeners.get(ticket)?.()
  }

  /** Resolves when the dispatcher says that the placed request takes several times as long as usual; never if it ends before. */
  whenOverdue (ticket: number): Promise<void> {
    return new Promise((resolve) => this.overdueListeners.set(ticket, resolve))
  }

  /** Obtains an upstream for a request; the signal cancels the wait. */
  async place (question: PlacementQuestion, signal: AbortSignal): Promise<Result<PlacedRequest, PlacementDenied>> {
    const { clock } = this.options
    const until = clock.monotonicMilliseconds() + question.patienceMilliseconds
    const unwanted: string[] = []
    while (!signal.aborted && clock.monotonicMilliseconds() < until) {
      const reply = await this.askDispatcher(excludeUnwanted(question, unwanted), signal)
      if (reply?.isOk() === true && !this.mayUse(reply.value.instance, question.allowedRegions)) {
        unwanted.push(reply.value.instance)
        this.sendOrKeepEnd(unusedPlacementEnd(reply.value.ticket, reply.value.instance))
        continue
      }
      if (reply !== undefined) return reply.map((placement) => this.acceptPlacement(question, placement))
      if (this.withoutDispatcherMilliseconds >= LOCAL_FALLBACK_MILLISECONDS) return this.placeLocally(question)
      await sleep(clock, RETRY_INTERVAL_MILLISECONDS, signal)
    }
    return Err(this.deny(question, DenialReason.DENIAL_REASON_OVERLOADED))
  }

  /** Records what the head of a response says. The end of a long response may come much later. */
  recordNotice (instance: string, notice: UpstreamNotice): void {
    this.options.placer.recordNotice(instance, notice)
  }

  /** Ends a placement and reports its outcome to the local placer and to the dispatcher. */
  end (end: ReportedEnd): void {
    const placed = this.placed.get(end.ticket)
    if (placed === undefined) return
    this.placed.delete(end.ticket)
    this.overdueListeners.delete(end.ticket)
    const endWithInstance = { ...end, instance: placed.instance }
    this.options.placer.recordEnd(placed.instance, endWithInstance, placed.local)
    this.sendOrKeepEnd(endWithInstance)
  }

  /**
   * Whether the upstream wants requests as far as this entry knows, and is in one of the allowed regions, if there are any. A
   * dispatcher may not know yet that it does not, and one of an earlier version knows no regions.
   */
  mayUse (instance: string, allowedRegions: readonly string[] = []): boolean {
    const { isLeaving, placer } = this.options
    return !isLeaving(instance) && !placer.isUnwanted(instance) && placer.isAllowed(instance, allowedRegions)
  }

  private sendOrKeepEnd (end: ReportedEnd): void {
    if (this.options.sendEnd({ ...end, notice: this.options.placer.noticeOf(end.instance) })) return
    this.unsentEnds.push(end)
    if (this.unsentEnds.length > MAXIMUM_UNSENT_ENDS) this.unsentEnds.shift()
  }

  private askDispatcher (question: PlacementQuestion, signal: AbortSignal): Promise<Reply> {
    return new Promise((resolve) => {
      const { ticket } = question
      const settle = (reply: Reply): void => {
        this.waiting.delete(ticket)
        signal.removeEventListener('abort', giveUp)
        resolve(reply)
      }
      const giveUp = (): void => {
        this.sendOrKeepEnd(unusedPlacementEnd(ticket, ''))
        settle(undefined)
      }
      this.waiting.set(ticket, settle)
      signal.addEventListener('abort', giveUp, { once: true })
      if (!this.options.ask(question)) settle(undefined)
    })
  }

  private placeLocally (question: PlacementQuestion): Result<PlacedRequest, PlacementDenied> {
    const { placer } = this.options
    if (question.attempt === 0 && !question.charged && !placer.admit(question.customer)) {
      return Err(this.deny(question, DenialReason.DENIAL_REASON_RATE))
    }
    if (question.attempt > 0) return Err(this.deny(question, DenialReason.DENIAL_REASON_BUDGET))
    const upstream = placer.choose(question)
    if (upstream === undefined) return Err(this.deny(question, DenialReason.DENIAL_REASON_NO_UPSTREAM))
    const { instance, address } = upstream.announced
    return Ok(this.addPlacement({ ticket: question.ticket, instance, address }, true))
  }

  private deny ({ patienceMilliseconds }: PlacementQuestion, reason: DenialReason): PlacementDenied {
    const { spread } = this.options
    return PlacementDenied.create(reason, spread === undefined ? RETRY_AFTER_MILLISECONDS : spreadReturn(spread.next(), patienceMilliseconds))
  }

  private acceptPlacement (question: PlacementQuestion, placement: Placement): PlacedRequest {
    if (question.attempt === 0 && question.customer !== '') this.options.placer.countAdmission(question.customer)
    return this.addPlacement(placement, false)
  }

  private addPlacement (placement: Placement, local: boolean): PlacedRequest {
    const placed = { ...placement, local }
    this.placed.set(placement.ticket, placed)
    return placed
  }
}

/** The question without the upstreams that want no requests. Once one was given back, the first question has charged the customer's rate. */
function excludeUnwanted (question: PlacementQuestion, unwanted: readonly string[]): PlacementQuestion {
  if (unwanted.length === 0) return question
  return { ...question, excluded: [...question.excluded, ...unwanted], charged: true }
}

/** The end of a placement or question that is not used. */
function unusedPlacementEnd (ticket: number, instance: string): ReportedEnd {
  return { ticket, outcome: PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED, milliseconds: 0, load: undefined, statedLimit: undefined, instance }
}

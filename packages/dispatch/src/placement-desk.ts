/** An entry's side of placing requests: asks the dispatcher, and places by itself while there is none. */
import {
  DenialReason, PlacementOutcome,
  type Denial, type Placement, type PlacementEnd, type PlacementQuestion, type RunningRequest
} from '@hickoryspoke/protocol/generated/dispatch'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'
import type { LocalPlacer } from './local-placer.ts'

/** The request gets no upstream; it has not been sent by this question. */
export class PlacementDenied extends Failure {
  readonly code = 'placement_denied'

  private constructor (readonly reason: DenialReason, readonly retryAfterMilliseconds: number) {
    super(`no upstream (reason ${reason})`)
  }

  static create (reason: DenialReason, retryAfterMilliseconds: number): PlacementDenied {
    return new PlacementDenied(reason, retryAfterMilliseconds)
  }
}

/** Where a request goes, and who chose. */
export interface PlacedRequest extends Placement {
  readonly local: boolean
}

/** What the desk works with. */
export interface PlacementDeskParts {
  readonly clock: Clock
  readonly placer: LocalPlacer
  /** Sends to the dispatcher; false when none can be reached. */
  readonly ask: (question: PlacementQuestion) => boolean
  /** Tells the dispatcher how a placement ended; false when none can be reached. */
  readonly tellEnd: (end: PlacementEnd) => boolean
}

type Reply = Result<Placement, PlacementDenied> | undefined

/** Without a dispatcher for this long, an entry places by itself. */
const WITHOUT_DISPATCHER_MILLISECONDS = 120
const CHECK_MILLISECONDS = 20
const RETRY_AFTER_MILLISECONDS = 500
/** Ends kept for the next dispatcher; the oldest go first. */
const MAXIMUM_UNTOLD = 500
const TICKET_LIMIT = 0x7fffffff

/** Questions that wait and placements that have not ended. */
export class PlacementDesk {
  private readonly waiting = new Map<number, (reply: Reply) => void>()
  private readonly placed = new Map<number, PlacedRequest>()
  private readonly untold: PlacementEnd[] = []
  private lastTicket = 0
  private lostAt: number | undefined

  private constructor (private readonly parts: PlacementDeskParts) {
    this.lostAt = parts.clock.monotonicMilliseconds()
  }

  static create (parts: PlacementDeskParts): PlacementDesk {
    return new PlacementDesk(parts)
  }

  /** A number for a new request. */
  nextTicket (): number {
    this.lastTicket = this.lastTicket % TICKET_LIMIT + 1
    return this.lastTicket
  }

  /** What an arriving dispatcher must count. */
  running (): RunningRequest[] {
    return [...this.placed.values()].map(({ ticket, instance }) => ({ ticket, instance }))
  }

  /** How long there has been no dispatcher, in milliseconds. */
  get unattendedMilliseconds (): number {
    return this.lostAt === undefined ? 0 : this.parts.clock.monotonicMilliseconds() - this.lostAt
  }

  /** A dispatcher is there. It may count requests that ended while the connection was being made. */
  attended (): void {
    this.lostAt = undefined
    for (const end of this.untold.splice(0)) this.tell(end)
  }

  lost (): void {
    this.lostAt = this.parts.clock.monotonicMilliseconds()
    for (const settle of [...this.waiting.values()]) settle(undefined)
  }

  takePlacement (placement: Placement): void {
    const settle = this.waiting.get(placement.ticket)
    if (settle !== undefined) return settle(Ok(placement))
    this.tell(unused(placement.ticket, placement.instance))
  }

  takeDenial (denial: Denial): void {
    this.waiting.get(denial.ticket)?.(Err(PlacementDenied.create(denial.reason, denial.retryAfterMilliseconds)))
  }

  /** An upstream for a request; the signal ends the wait. */
  async place (question: PlacementQuestion, signal: AbortSignal): Promise<Result<PlacedRequest, PlacementDenied>> {
    const { clock } = this.parts
    const until = clock.monotonicMilliseconds() + question.patienceMilliseconds
    while (!signal.aborted && clock.monotonicMilliseconds() < until) {
      const reply = await this.askDispatcher(question, signal)
      if (reply !== undefined) return reply.map((placement) => this.takeReply(question, placement))
      if (this.unattendedMilliseconds >= WITHOUT_DISPATCHER_MILLISECONDS) return this.placeLocally(question)
      await sleep(clock, CHECK_MILLISECONDS, signal)
    }
    return Err(PlacementDenied.create(DenialReason.DENIAL_REASON_OVERLOADED, RETRY_AFTER_MILLISECONDS))
  }

  /** Ends a placement; both views learn from it. */
  end (end: PlacementEnd): void {
    const placed = this.placed.get(end.ticket)
    if (placed === undefined) return
    this.placed.delete(end.ticket)
    const told = { ...end, instance: placed.instance }
    this.parts.placer.learn(placed.instance, told, placed.local)
    this.tell(told)
  }

  private tell (end: PlacementEnd): void {
    if (this.parts.tellEnd(end)) return
    this.untold.push(end)
    if (this.untold.length > MAXIMUM_UNTOLD) this.untold.shift()
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
        this.tell(unused(ticket, ''))
        settle(undefined)
      }
      this.waiting.set(ticket, settle)
      signal.addEventListener('abort', giveUp, { once: true })
      if (!this.parts.ask(question)) settle(undefined)
    })
  }

  private placeLocally (question: PlacementQuestion): Result<PlacedRequest, PlacementDenied> {
    const { placer } = this.parts
    if (question.attempt === 0 && !question.charged && !placer.admit(question.customer)) {
      return Err(PlacementDenied.create(DenialReason.DENIAL_REASON_RATE, RETRY_AFTER_MILLISECONDS))
    }
    if (question.attempt > 0) return Err(PlacementDenied.create(DenialReason.DENIAL_REASON_BUDGET, RETRY_AFTER_MILLISECONDS))
    const upstream = placer.choose(question)
    if (upstream === undefined) return Err(PlacementDenied.create(DenialReason.DENIAL_REASON_NO_UPSTREAM, RETRY_AFTER_MILLISECONDS))
    const { instance, address } = upstream.announced
    return Ok(this.hold({ ticket: question.ticket, instance, address }, true))
  }

  private takeReply (question: PlacementQuestion, placement: Placement): PlacedRequest {
    if (question.attempt === 0 && question.customer !== '') this.parts.placer.countPlaced(question.customer)
    return this.hold(placement, false)
  }

  private hold (placement: Placement, local: boolean): PlacedRequest {
    const placed = { ...placement, local }
    this.placed.set(placement.ticket, placed)
    return placed
  }
}

/** The end of a placement that was not used. */
function unused (ticket: number, instance: string): PlacementEnd {
  return { ticket, outcome: PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED, milliseconds: 0, load: undefined, instance }
}

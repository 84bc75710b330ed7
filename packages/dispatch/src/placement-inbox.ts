/**
 * Messages about placements that wait to be handled. They are handled in slices of limited time, between which the process
 * does its other work, so that an overload of placements delays neither heartbeats nor changes of the configuration.
 * Ends go first, as they free slots and cost no later work. A question that waited too long is expired.
 */
import type { PlacementEnd, PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { ClientSession } from './client-session.ts'

/** Handles what an inbox releases. */
export interface PlacementInboxListener {
  question (session: ClientSession, question: PlacementQuestion): void
  end (session: ClientSession, end: PlacementEnd): void
  /** The question waited longer than its limit. */
  expired (session: ClientSession, question: PlacementQuestion): void
  /** A question is about to be handled after it waited for this time. */
  waited? (milliseconds: number): void
}

/** Dependencies of a `PlacementInbox`. */
export interface PlacementInboxOptions {
  readonly clock: Clock
  readonly listener: PlacementInboxListener
  /** Runs a task in a later turn of the event loop, after the input that has already arrived. */
  readonly defer?: (task: () => void) => void
}

interface PendingQuestion {
  readonly session: ClientSession
  readonly question: PlacementQuestion
  readonly receivedAt: number
}

interface PendingEnd {
  readonly session: ClientSession
  readonly end: PlacementEnd
}

/** Time in a turn of the event loop that is spent on ends, and again on questions, so that neither starves. */
const SLICE_MILLISECONDS = 3
/** A question is handled within this time or not at all. Short, since the caller's time runs, and a longer wait serves nobody more. */
const MAXIMUM_WAIT_MILLISECONDS = 200

/** Placement messages of all clients, in order of arrival. */
export class PlacementInbox {
  /** Insertion order is the order of arrival. */
  private readonly questions = new Map<string, PendingQuestion>()
  private ends: PendingEnd[] = []
  private isScheduled = false

  private constructor (private readonly options: PlacementInboxOptions) {}

  static create (options: PlacementInboxOptions): PlacementInbox {
    return new PlacementInbox(options)
  }

  /** Number of questions that wait. */
  get length (): number {
    return this.questions.size
  }

  /** Adds a question, to be handled in its turn. */
  addQuestion (session: ClientSession, question: PlacementQuestion): void {
    this.questions.set(keyOf(session, question.ticket), { session, question, receivedAt: this.options.clock.monotonicMilliseconds() })
    this.schedule()
  }

  /** Adds an end. One that withdraws a question of its own stream which still waits here only removes that question. */
  addEnd (session: ClientSession, end: PlacementEnd): void {
    const key = keyOf(session, end.ticket)
    if (this.questions.get(key)?.session === session) {
      this.questions.delete(key)
      return
    }
    this.ends.push({ session, end })
    this.schedule()
  }

  /** Forgets the questions of a client that is gone; it asks again where it connects next. */
  removeQuestionsOf (session: ClientSession): void {
    for (const [key, pending] of this.questions) {
      if (pending.session === session) this.questions.delete(key)
    }
  }

  /** Forgets everything. */
  clear (): void {
    this.questions.clear()
    this.ends = []
  }

  private schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    const defer = this.options.defer ?? setImmediate
    defer(() => {
      this.isScheduled = false
      this.work()
    })
  }

  /** Handles messages for one slice of each kind. */
  private work (): void {
    const { clock } = this.options
    this.handleEnds(clock.monotonicMilliseconds() + SLICE_MILLISECONDS)
    this.handleQuestions(clock.monotonicMilliseconds() + SLICE_MILLISECONDS)
    if (this.ends.length > 0 || this.questions.size > 0) this.schedule()
  }

  private handleEnds (until: number): void {
    const { clock, listener } = this.options
    let handled = 0
    for (const { session, end } of this.ends) {
      if (handled > 0 && clock.monotonicMilliseconds() >= until) break
      handled += 1
      listener.end(session, end)
    }
    this.ends = this.ends.slice(handled)
  }

  private handleQuestions (until: number): void {
    const { clock, listener } = this.options
    for (const [key, { session, question, receivedAt }] of this.questions) {
      const now = clock.monotonicMilliseconds()
      if (now >= until) return
      this.questions.delete(key)
      listener.waited?.(now - receivedAt)
      if (now - receivedAt > MAXIMUM_WAIT_MILLISECONDS) listener.expired(session, question)
      else listener.question(session, question)
    }
  }
}

function keyOf ({ connection }: ClientSession, ticket: number): string {
  return `${connection.entry}/${ticket}`
}

/**
 * Tells when a client asks the leader for a sign of life, and when it gives the leader up. The leader owes messages while a
 * question is open or requests wait, so a client without either asks it less often. Times are monotonic milliseconds.
 */

/** A client to which the leader owes a message asks for a sign of life after this time without one. */
const QUIET_QUESTION_MILLISECONDS = 250
/** The same for a client to which it owes none. It notices later that the leader is lost, and its next request waits for that. */
const IDLE_QUESTION_MILLISECONDS = 500
/** A leader that owes a message is given up after this time without one. */
const SILENCE_TIMEOUT_MILLISECONDS = 650

/** The state of one stream. */
export class StreamLiveness {
  /** When the first question since the last message was sent; undefined if none was. */
  private askedAt: number | undefined

  private constructor (private receivedAt: number, private readonly isWaiting: () => boolean) {}

  /** `isWaiting` tells whether requests wait for the leader. */
  static create (now: number, isWaiting: () => boolean): StreamLiveness {
    return new StreamLiveness(now, isWaiting)
  }

  /** When the last message was received; at first when the stream was opened. */
  get lastReceivedAt (): number {
    return this.receivedAt
  }

  /** Something was sent that the leader answers. Returns whether it is the first since the last message. */
  asked (now: number): boolean {
    const isFirst = this.askedAt === undefined
    this.askedAt ??= now
    return isFirst
  }

  /** A message arrived. */
  received (now: number): void {
    this.receivedAt = now
    this.askedAt = undefined
  }

  /** Whether the leader is to be given up. */
  isLost (now: number): boolean {
    return now >= this.lostAt()
  }

  /** When to ask for a sign of life, if the leader was last asked for one at `questionAt`. */
  questionDueAt (questionAt: number): number {
    const quiet = this.owesSince() === undefined ? IDLE_QUESTION_MILLISECONDS : QUIET_QUESTION_MILLISECONDS
    return Math.max(this.receivedAt, this.askedAt ?? -Infinity, questionAt) + quiet
  }

  /** When the leader is lost if no message arrives; Infinity while it owes none. */
  lostAt (): number {
    return (this.owesSince() ?? Infinity) + SILENCE_TIMEOUT_MILLISECONDS
  }

  /** Since when the leader owes a message; undefined while it owes none. */
  private owesSince (): number | undefined {
    return this.askedAt ?? (this.isWaiting() ? this.receivedAt : undefined)
  }
}

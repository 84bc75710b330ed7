/**
 * Tells when a client asks the leader for a sign of life, and when it gives the leader up. A leader owes messages only while
 * something waits for them, so a client without requests asks it less often.
 */

/** A client whose requests wait for the leader asks it for a sign of life after this time without a message. */
const QUIET_QUESTION_MILLISECONDS = 250
/** The same for a client without requests. It notices later that the leader is lost, and its next request waits for that. */
const IDLE_QUESTION_MILLISECONDS = 500
/** A leader from which something is expected is given up after this time without a message. */
const SILENCE_TIMEOUT_MILLISECONDS = 650

/** The state of one stream. Times are monotonic milliseconds. */
export class StreamLiveness {
  /** Since when the leader owes a message; undefined while it owes none. */
  private owesSince: number | undefined

  private constructor (private receivedAt: number) {}

  static create (now: number): StreamLiveness {
    return new StreamLiveness(now)
  }

  /** When the last message was received; at first when the stream was opened. */
  get lastReceivedAt (): number {
    return this.receivedAt
  }

  /** Something was sent that the leader answers. Returns whether it owed nothing before. */
  expect (now: number): boolean {
    const wasIdle = this.owesSince === undefined
    this.owesSince ??= now
    return wasIdle
  }

  /** A message arrived; `isWaiting` tells whether requests still wait for the leader. */
  receive (now: number, isWaiting: boolean): void {
    this.receivedAt = now
    this.owesSince = isWaiting ? now : undefined
  }

  /** Whether to ask for a sign of life, if the last question was sent at `askedAt`. */
  isQuiet (now: number, askedAt: number): boolean {
    return now >= this.quietAt(askedAt)
  }

  /** Whether the leader is to be given up. */
  isLost (now: number): boolean {
    return this.owesSince !== undefined && now - this.owesSince > SILENCE_TIMEOUT_MILLISECONDS
  }

  /** When to look again. */
  nextCheckAt (askedAt: number): number {
    const quietAt = this.quietAt(askedAt)
    return this.owesSince === undefined ? quietAt : Math.min(quietAt, this.owesSince + SILENCE_TIMEOUT_MILLISECONDS + 1)
  }

  private quietAt (askedAt: number): number {
    const quiet = this.owesSince === undefined ? IDLE_QUESTION_MILLISECONDS : QUIET_QUESTION_MILLISECONDS
    return Math.max(this.receivedAt, askedAt, this.owesSince ?? 0) + quiet
  }
}

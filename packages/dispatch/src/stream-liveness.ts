/**
 * Tells when a client asks the leader for a sign of life, and when it gives the leader up. A leader owes messages only while
 * something waits for them, so that a client without requests needs no more than the question that it asks anyway.
 */

/** A client whose requests wait for the leader asks it for a sign of life after this time without a message. */
const QUIET_QUESTION_MILLISECONDS = 250
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
    return this.owesSince !== undefined && now >= this.quietAt(askedAt)
  }

  /** Whether the leader is to be given up. */
  isLost (now: number): boolean {
    return this.owesSince !== undefined && now - this.owesSince > SILENCE_TIMEOUT_MILLISECONDS
  }

  /** When to look again; Infinity while the leader owes nothing. */
  nextCheckAt (askedAt: number): number {
    if (this.owesSince === undefined) return Infinity
    return Math.min(this.quietAt(askedAt), this.owesSince + SILENCE_TIMEOUT_MILLISECONDS + 1)
  }

  private quietAt (askedAt: number): number {
    return Math.max(this.receivedAt, askedAt, this.owesSince ?? 0) + QUIET_QUESTION_MILLISECONDS
  }
}

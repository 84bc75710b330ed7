import { Failure } from '@hickoryspoke/runtime/failure'

/** Reasons for refusing a request that waits for, or wants, a slot of a pool. */
export const QUEUE_REFUSAL_REASON = {
  /** The request could not finish before its deadline. */
  deadline: 'deadline',
  /** The queue is full, and the request belongs to the customer whose queue is longest for its weight. */
  full: 'full',
  /** The caller disconnected. */
  cancelled: 'cancelled',
  /** The entry is shutting down. */
  closed: 'closed'
} as const

/** One of `QUEUE_REFUSAL_REASON`. */
export type QueueRefusalReason = typeof QUEUE_REFUSAL_REASON[keyof typeof QUEUE_REFUSAL_REASON]

/** A request that was refused a slot of a pool and has not been run. */
export class QueueRefusal extends Failure {
  readonly code = 'queue_refusal'

  private constructor (readonly reason: QueueRefusalReason, readonly retryAfterMilliseconds: number) {
    super(`refused before the pool: ${reason}`)
  }

  static create (reason: QueueRefusalReason, retryAfterMilliseconds: number): QueueRefusal {
    return new QueueRefusal(reason, retryAfterMilliseconds)
  }
}

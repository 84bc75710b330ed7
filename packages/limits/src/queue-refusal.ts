import { Failure } from '@hickoryspoke/runtime/failure'

/** Why a request gets no place; it has not run. */
export const QUEUE_REFUSAL_REASON = {
  /** It could not finish before its deadline. */
  deadline: 'deadline',
  /** The queue is full and the customer has no claim to a place. */
  full: 'full',
  /** The caller went away. */
  cancelled: 'cancelled',
  /** The entry stops. */
  closed: 'closed'
} as const

/** One of `QUEUE_REFUSAL_REASON`. */
export type QueueRefusalReason = typeof QUEUE_REFUSAL_REASON[keyof typeof QUEUE_REFUSAL_REASON]

/** A request that was refused before a pool, without having run. */
export class QueueRefusal extends Failure {
  readonly code = 'queue_refusal'

  private constructor (readonly reason: QueueRefusalReason, readonly retryAfterMilliseconds: number) {
    super(`refused before the pool: ${reason}`)
  }

  static create (reason: QueueRefusalReason, retryAfterMilliseconds: number): QueueRefusal {
    return new QueueRefusal(reason, retryAfterMilliseconds)
  }
}

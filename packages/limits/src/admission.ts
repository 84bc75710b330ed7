import { Failure } from '@hickoryspoke/runtime/failure'

/** Reasons for not admitting a request. */
export const REFUSAL_REASON = {
  /** The customer has used up its rate and burst. */
  limited: 'limited',
  /** No entry that may grant the customer's tokens answered in time. */
  unavailable: 'unavailable',
  /** This entry has no membership, or its epoch lease has expired. */
  notInEpoch: 'not_in_epoch',
  /** The accepted configuration has no such customer. */
  unknownCustomer: 'unknown_customer',
  /** Too many decisions are pending at this entry. */
  overloaded: 'overloaded'
} as const

/** One of `REFUSAL_REASON`. */
export type RefusalReason = typeof REFUSAL_REASON[keyof typeof REFUSAL_REASON]

/** Result of an admission check. A refused request has not been run. */
export type Admission =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly retryAfterMilliseconds: number, readonly reason: RefusalReason }

/** A request that was not admitted, as the error of a `Result`. */
export class AdmissionRefused extends Failure {
  readonly code = 'admission_refused'

  private constructor (readonly reason: RefusalReason, readonly retryAfterMilliseconds: number) {
    super(`not admitted: ${reason}`)
  }

  static create (reason: RefusalReason, retryAfterMilliseconds: number): AdmissionRefused {
    return new AdmissionRefused(reason, retryAfterMilliseconds)
  }
}

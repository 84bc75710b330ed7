/** Refusals that follow from what the dispatcher or an upstream said. */
import type { PlacementDenied } from '@hickoryspoke/dispatch/placement-client'
import { DenialReason } from '@hickoryspoke/protocol/generated/dispatch'
import type { AttemptFailure } from './attempt-failure.ts'
import { Refusal, type RefusalCode } from './refusal.ts'

const RETRY_AFTER_MILLISECONDS = 500

const REFUSAL_BY_DENIAL: Readonly<Record<DenialReason, RefusalCode>> = {
  [DenialReason.DENIAL_REASON_UNSPECIFIED]: 'overloaded',
  [DenialReason.DENIAL_REASON_RATE]: 'rate_exceeded',
  [DenialReason.DENIAL_REASON_OVERLOADED]: 'overloaded',
  [DenialReason.DENIAL_REASON_NO_UPSTREAM]: 'no_healthy_upstream',
  [DenialReason.DENIAL_REASON_CRASHING]: 'crash_check_pending',
  [DenialReason.DENIAL_REASON_BUDGET]: 'overloaded'
}

/** The refusal of a request that was denied an upstream. */
export function refusalOfDenial (denied: PlacementDenied): Refusal {
  return Refusal.create(REFUSAL_BY_DENIAL[denied.reason], undefined, denied.retryAfterMilliseconds)
}

/** The refusal of a request whose last attempt failed; undefined for an upstream's error response that was not relayed. */
export function refusalOfFailure (failure: AttemptFailure | undefined, mayHaveRun: boolean): Refusal {
  if (failure === undefined) return Refusal.create('upstream_failed')
  return failure.provenNotRun ? correctRunState(retryableRefusal('upstream_refused'), mayHaveRun) : Refusal.create(failure.refusal)
}

/** A refusal after which the caller may soon try again. */
export function retryableRefusal (code: RefusalCode, message?: string): Refusal {
  return Refusal.create(code, message, RETRY_AFTER_MILLISECONDS, true)
}

/** Replaces a refusal that claims "not run" if an earlier attempt may have run. */
export function correctRunState (refusal: Refusal, mayHaveRun: boolean): Refusal {
  return mayHaveRun ? Refusal.create('upstream_failed') : refusal
}

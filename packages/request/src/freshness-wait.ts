/** Lets requests wait while an entry recovers, until its configuration is confirmed as the newest. */
import type { ActiveConfiguration } from '@hickoryspoke/dispatch/active-configuration'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'

/** A request that waits. Times are monotonic milliseconds. */
export interface FreshnessWait {
  readonly clock: Clock
  readonly inForce: ActiveConfiguration
  readonly startedAt: number
  /** How long the caller waits for the response; undefined if it did not say. */
  readonly patienceMilliseconds: number | undefined
  /** Whether the request can no longer be served. */
  readonly isOver: () => boolean
}

/** A configuration that has been stale for longer than this is not expected to become fresh within a request's wait. */
const RECOVERABLE_STALENESS_MILLISECONDS = 2_500
/** Share of the caller's timeout for which a request may wait until the configuration is fresh. */
const RECOVERY_WAIT_FRACTION = 0.4
const MINIMUM_RECOVERY_WAIT_MILLISECONDS = 300
const FRESH_CHECK_MILLISECONDS = 20

/** Resolves with true once the configuration is fresh, or with false when it is not expected to be in time. */
export async function waitUntilFresh ({ clock, inForce, startedAt, patienceMilliseconds, isOver }: FreshnessWait): Promise<boolean> {
  const callerTimeout = patienceMilliseconds ?? MINIMUM_RECOVERY_WAIT_MILLISECONDS
  const waitUntil = startedAt + Math.max(MINIMUM_RECOVERY_WAIT_MILLISECONDS, RECOVERY_WAIT_FRACTION * callerTimeout)
  while (!inForce.isFresh()) {
    const isUnrecoverable = inForce.staleMilliseconds() > RECOVERABLE_STALENESS_MILLISECONDS
    if (isUnrecoverable || clock.monotonicMilliseconds() >= waitUntil || isOver()) return false
    await sleep(clock, FRESH_CHECK_MILLISECONDS)
  }
  return true
}

/** Log lines of the dispatcher's decisions, with the state they were based on. */
import { PlacementOutcome, type PlacementEnd, type UpstreamNotice } from '@hickoryspoke/protocol/generated/dispatch'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { InstanceStanding } from './instance-standing.ts'
import type { ActivePlacement } from './placements.ts'

const EVIDENCE_EVENT = 'evidence on an upstream changed'

/** Logs a failed request, or a change of an upstream's standing. */
export function logEvidence (logger: Logger, entry: string, pool: string, end: PlacementEnd, standing: InstanceStanding, now: number): void {
  const { instance, outcome, milliseconds } = end
  logger.info(EVIDENCE_EVENT, { upstream: instance, pool, entry, outcome: outcomeName(outcome), milliseconds, ...standingFields(standing, now) })
}

/** Logs that a request which has not ended yet changed an upstream's standing, since it takes longer than usual. */
export function logOverdue (logger: Logger, { instance, poolName, connection, placedAt }: ActivePlacement, standing: InstanceStanding, now: number): void {
  const milliseconds = Math.round(now - placedAt)
  logger.info(EVIDENCE_EVENT, { upstream: instance, pool: poolName, entry: connection.entry, outcome: 'overdue', milliseconds, ...standingFields(standing, now) })
}

/** Logs that an upstream stated another limit on the requests that it accepts, or none any more. */
export function logLimit (logger: Logger, entry: string, pool: string, end: PlacementEnd, { limit, inFlight }: InstanceStanding): void {
  logger.info('limit of an upstream changed', {
    upstream: end.instance,
    pool,
    entry,
    ticket: end.ticket,
    requestsPerSecond: limit.requestsPerSecond ?? 'unlimited',
    inFlight
  })
}

/** Logs that an upstream told an entry that it wants no requests. */
export function logNotice (logger: Logger, entry: string, pool: string, upstream: string, { leaving, unavailableMilliseconds }: UpstreamNotice): void {
  logger.info('an upstream wants no requests', { upstream, pool, entry, leaving, unavailableMilliseconds })
}

function standingFields (standing: InstanceStanding, now: number): Record<string, unknown> {
  return {
    standing: standing.standing(now),
    failureProbability: Number(standing.failureProbability(now).toFixed(2)),
    inFlight: standing.inFlight
  }
}

function outcomeName (outcome: PlacementOutcome): string {
  return (PlacementOutcome[outcome] ?? 'unknown').replace('PLACEMENT_OUTCOME_', '').toLowerCase()
}

/** The limits of an entry's callers together, their log lines and their metrics. */
import { ClientLimiter } from '@hickoryspoke/runtime/client-limiter'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { MemoryBudget } from '@hickoryspoke/runtime/memory-budget'
import { DEFAULT_PROCESS_LIMITS, entryCapacity, type ProcessLimits } from '@hickoryspoke/runtime/process-capacity'
import type { Logger } from '@hickoryspoke/telemetry/logger'

/** Limits that follow from what the process may use; without a statement, those of the smallest machines. */
export function createCallerLimiter (clock: Clock, limits: ProcessLimits = DEFAULT_PROCESS_LIMITS, logger?: Logger): ClientLimiter {
  return createClientLimiter(clock, entryCapacity(limits), logger)
}

/** What the clients of one server may use together. */
export interface ClientCapacity {
  readonly callerConnections: number
  readonly requests: number
  readonly heldBytes: number
}

/** Limits on the clients of one server, which log when they are reached. */
export function createClientLimiter (clock: Clock, { callerConnections, requests, heldBytes }: ClientCapacity, logger?: Logger): ClientLimiter {
  return ClientLimiter.create({
    clock,
    maximumConnections: callerConnections,
    maximumRequests: requests,
    budget: MemoryBudget.create({ clock, bytes: heldBytes }),
    report: (state) => logger?.warn('callers beyond the limits', { ...state })
  })
}

/** Writes replica events to the log. */
import type { ReplicaEvent } from '@hickoryspoke/replication/replica-event'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { LogFields, Logger } from '@hickoryspoke/telemetry/logger'

/** Writes an event as one log line. */
export function logReplicaEvent (logger: Logger, event: ReplicaEvent): void {
  const { kind, ...fields } = event as { kind: string } & Record<string, unknown>
  const plain = Object.entries(fields).map(([name, value]) => [name, toLogValue(value)])
  logger.info(`replica ${kind}`, Object.fromEntries(plain) as LogFields)
}

function toLogValue (value: unknown): string | number | boolean {
  if (typeof value === 'number' || typeof value === 'boolean') return value
  if (value instanceof Error) return describeError(value)
  return JSON.stringify(value) ?? 'none'
}

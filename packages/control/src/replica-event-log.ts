/** Writes replica events to the log. */
import type { Replica } from '@hickoryspoke/replication/replica'
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

/** Logs a failure of the storage. The process must end then, since a replica must not go on without its disk. */
export async function logStorageFailure (logger: Logger, replica: Replica): Promise<void> {
  const failure = await replica.whenStopped()
  if (failure !== undefined) logger.error('storage failed', { code: failure.code, reason: failure.message })
}

/** What a `ClientLimiter` refused or let wait, for logs and metrics. */

import type { Clock } from './clock.ts'

/** What was refused or had to wait. */
export const ShedKind = {
  Connection: 'connection',
  SilentConnection: 'silent_connection',
  IdleConnection: 'idle_connection',
  ReadAhead: 'read_ahead',
  Pipeline: 'pipeline',
  Body: 'body',
  StalledBody: 'stalled_body',
  StalledReader: 'stalled_reader'
} as const
export type ShedKind = typeof ShedKind[keyof typeof ShedKind]

export type ShedCounts = Record<ShedKind, number>

/** Totals for the log: what is held now, and how often each thing happened since the start. */
export interface LimiterState extends Readonly<Record<ShedKind, number>> {
  readonly kind: ShedKind
  readonly connections: number
  readonly requests: number
  readonly waitingConnections: number
  readonly heldBytes: number
  readonly limitBytes: number
}

const LOG_INTERVAL_MILLISECONDS = 1_000

/** Counts what was refused or had to wait, and reports it at most once a second. */
export class ShedLog {
  readonly counts: ShedCounts = {
    connection: 0, silent_connection: 0, idle_connection: 0, read_ahead: 0, pipeline: 0, body: 0, stalled_body: 0, stalled_reader: 0
  }

  private reportedAt = -Infinity

  private constructor (private readonly clock: Clock, private readonly report: (kind: ShedKind) => void) {}

  static create (clock: Clock, report: (kind: ShedKind) => void): ShedLog {
    return new ShedLog(clock, report)
  }

  record (kind: ShedKind): void {
    this.counts[kind] += 1
    const now = this.clock.monotonicMilliseconds()
    if (now - this.reportedAt < LOG_INTERVAL_MILLISECONDS) return
    this.reportedAt = now
    this.report(kind)
  }
}

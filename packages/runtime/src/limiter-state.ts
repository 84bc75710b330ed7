/** What a `ClientLimiter` refused or let wait, for logs and metrics. */

/** What was refused or had to wait. */
export const ShedKind = { Connection: 'connection', SilentConnection: 'silent_connection', ReadAhead: 'read_ahead', Pipeline: 'pipeline', Body: 'body', StalledBody: 'stalled_body', StalledReader: 'stalled_reader' } as const
export type ShedKind = typeof ShedKind[keyof typeof ShedKind]

/** Totals for the log: what is held now, and how often each thing happened since the start. */
export interface LimiterState extends Readonly<Record<ShedKind, number>> {
  readonly kind: ShedKind
  readonly connections: number
  readonly requests: number
  readonly waitingConnections: number
  readonly heldBytes: number
  readonly limitBytes: number
}

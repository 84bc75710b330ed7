/** An entry as the dispatcher sees it. */
import type { DispatchMessage, RunningRequest } from '@hickoryspoke/protocol/generated/dispatch'
import type { AdmissionReport } from './customer-rate-limiter.ts'
import type { RequestingEntry } from './pool-dispatcher.ts'

/** A connected entry, with a way to send to it. */
export interface EntryConnection extends RequestingEntry {
  send (message: DispatchMessage): void
}

/** Requests that an earlier dispatcher or the entry itself placed or admitted, reported when the entry connects. */
export interface EntryHandover extends AdmissionReport {
  readonly running: readonly RunningRequest[]
}

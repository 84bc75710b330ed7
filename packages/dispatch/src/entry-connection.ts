/** An entry as the dispatcher sees it. */
import type { DispatchMessage, RunningRequest, UpstreamLimit } from '@hickoryspoke/protocol/generated/dispatch'
import type { AdmissionReport } from './customer-rate-limiter.ts'
import type { RequestingEntry } from './pool-dispatcher.ts'

/** A connected entry, with a way to send to it. */
export interface EntryConnection extends RequestingEntry {
  send (message: DispatchMessage): void
}

/** What an entry reports when it connects: requests that an earlier dispatcher or the entry itself placed or admitted, and limits of upstreams. */
export interface EntryHandover extends AdmissionReport {
  readonly running: readonly RunningRequest[]
  readonly limits: readonly UpstreamLimit[]
}

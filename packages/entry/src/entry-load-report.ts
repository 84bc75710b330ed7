/** Logs now and then what an entry spends its processor time on, so that the cost of an idle entry can be told from that of its requests. */
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { LogFields, Logger } from '@hickoryspoke/telemetry/logger'

/** Dependencies of the report. */
export interface EntryLoadReportOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Processor time used by the process so far, in milliseconds. */
  readonly processorMilliseconds: () => number
  /** Number of requests that have ended. */
  readonly endedRequests: () => number
  /** Messages exchanged with the leader since the previous call. */
  readonly readMessageCounts: () => LogFields
}

const REPORT_INTERVAL_MILLISECONDS = 10_000

/** Reports until the signal aborts. */
export async function reportEntryLoad (options: EntryLoadReportOptions, signal: AbortSignal): Promise<void> {
  const { clock, logger, processorMilliseconds, endedRequests, readMessageCounts } = options
  let processorBefore = processorMilliseconds()
  let endedBefore = endedRequests()
  await repeatEvery(clock, REPORT_INTERVAL_MILLISECONDS, signal, () => {
    const processorNow = processorMilliseconds()
    const endedNow = endedRequests()
    logger.info('entry load', { processorMilliseconds: Math.round(processorNow - processorBefore), requests: endedNow - endedBefore, ...readMessageCounts() })
    processorBefore = processorNow
    endedBefore = endedNow
  })
}

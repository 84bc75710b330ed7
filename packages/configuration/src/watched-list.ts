/** A list of strings from a file that may change while the process runs, reloaded periodically and on request. */
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Result } from 'ts-results-es'

const CHECK_INTERVAL_MILLISECONDS = 2_000

/** Reads the list from its file. */
export type ListReader = () => Promise<Result<readonly string[], Failure>>

/** The list as last read. `values` is updated in place, so holders of the array see the changes. */
export class WatchedList {
  private constructor (readonly values: string[], private readonly read: ListReader, private readonly logger: Logger) {}

  static create (initial: readonly string[], read: ListReader, logger: Logger): WatchedList {
    return new WatchedList([...initial], read, logger)
  }

  /** Reloads the file now. If it cannot be read, the previous values stay. */
  async refresh (): Promise<void> {
    const list = await this.read()
    if (list.isErr()) {
      this.logger.warn('settings reload failed', { reason: list.error.message })
      return
    }
    if (list.value.join() === this.values.join()) return
    this.values.splice(0, this.values.length, ...list.value)
    this.logger.info('settings reloaded', { seeds: list.value.join() })
  }

  /** Reloads the file periodically until the signal aborts. */
  async watch (clock: Clock, signal: AbortSignal): Promise<void> {
    await repeatEvery(clock, CHECK_INTERVAL_MILLISECONDS, signal, async () => await this.refresh())
  }
}

/** A list from a file that may change while a process runs, with or without a signal. */
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Result } from 'ts-results-es'

const CHECK_MILLISECONDS = 2_000

/** Reads the file again; a file that cannot be read changes nothing. */
export type ListReader = () => Promise<Result<readonly string[], Failure>>

/** The list as it was read last. The array is changed in place. */
export class WatchedList {
  private constructor (readonly values: string[], private readonly read: ListReader, private readonly logger: Logger) {}

  static create (initial: readonly string[], read: ListReader, logger: Logger): WatchedList {
    return new WatchedList([...initial], read, logger)
  }

  /** Reads the file again now. */
  async refresh (): Promise<void> {
    const list = await this.read()
    if (list.isErr()) {
      this.logger.warn('settings could not be read again', { reason: list.error.message })
      return
    }
    if (list.value.join() === this.values.join()) return
    this.values.splice(0, this.values.length, ...list.value)
    this.logger.info('settings reloaded', { seeds: list.value.join() })
  }

  /** Reads the file again from time to time until the signal aborts. */
  async watch (clock: Clock, signal: AbortSignal): Promise<void> {
    await repeatEvery(clock, CHECK_MILLISECONDS, signal, async () => await this.refresh())
  }
}

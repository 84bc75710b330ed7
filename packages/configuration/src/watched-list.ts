/** A list of strings from a file that may change while the process runs, reloaded periodically and on request. */
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Result } from 'ts-results-es'

const CHECK_INTERVAL_MILLISECONDS = 2_000

/** The file that holds the list, among other things. */
export interface ListFile {
  /** Reads the text of the file. */
  read (): Promise<Result<string, Failure>>
  /** Returns the list in a text of the file. */
  parse (text: string): Result<readonly string[], Failure>
}

/** The list as last read. `values` is updated in place, so holders of the array see the changes. */
export class WatchedList {
  /** The text that was parsed last; undefined before the first. */
  private parsedText: string | undefined

  private constructor (readonly values: string[], private readonly file: ListFile, private readonly logger: Logger) {}

  static create (initial: readonly string[], file: ListFile, logger: Logger): WatchedList {
    return new WatchedList([...initial], file, logger)
  }

  /** Reloads the file now. If it cannot be read, the previous values stay. A text that was parsed before is not parsed again. */
  async refresh (): Promise<void> {
    const text = await this.file.read()
    if (text.isOk() && text.value === this.parsedText) return
    this.parsedText = text.isOk() ? text.value : undefined
    const list = text.andThen((value) => this.file.parse(value))
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

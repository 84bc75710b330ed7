/**
 * Runs a program until a signal stops it. Signals that follow do not cut the stop short, and the time allowed for it runs
 * from the first, also when that one arrives while the program starts.
 */
import type { Clock } from '@hickoryspoke/runtime/clock'
import { describeError, type Failure } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Result } from 'ts-results-es'
import { ExitCode, reportFailure, stopWithTimeout, type RunningProgram } from './program.ts'

/** Signals that stop a program that a terminal may run: SIGHUP says that the terminal is gone. */
export const TERMINAL_STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT', 'SIGHUP']
/** Signals that stop a program for which SIGHUP means that its settings have changed. */
export const SERVICE_STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT']

/** Where signals come from: the process, or an emitter of a test. */
export interface SignalSource {
  on (signal: NodeJS.Signals, listener: (signal: NodeJS.Signals) => void): unknown
  off (signal: NodeJS.Signals, listener: (signal: NodeJS.Signals) => void): unknown
}

/** What a stop logs to, and the time allowed for it, from the first signal. */
export interface StopSettings {
  readonly logger: Logger
  readonly limitMilliseconds: number
}

/** Dependencies of a `GracefulStop`. */
export interface GracefulStopOptions {
  readonly name: string
  readonly clock: Clock
  readonly logger: Logger
  readonly signals: SignalSource
  readonly stopSignals: readonly NodeJS.Signals[]
  /** Ends the process. */
  readonly exit: (code: ExitCode) => void
}

/** Limit of a stop that begins before the program's settings are known. */
const EARLY_LIMIT_MILLISECONDS = 5_000
/** Repeated signals are logged up to this number. */
const MAXIMUM_LOGGED_REPEATS = 20

/** The life of a program from before its start to the end of its one graceful stop. */
export class GracefulStop {
  private settings: StopSettings
  private program: RunningProgram | undefined
  private hasBegun = false
  private hasFailed = false
  private repeats = 0
  private readonly started: Promise<void>
  private reportStarted = (): void => {}

  private constructor (private readonly options: GracefulStopOptions) {
    this.settings = { logger: options.logger, limitMilliseconds: EARLY_LIMIT_MILLISECONDS }
    this.started = new Promise((resolve) => { this.reportStarted = resolve })
  }

  /** Handles the signals from now on. The process exits with `Done` if the program did not fail and its stop ended in time, otherwise with `Failed`. */
  static create (options: GracefulStopOptions): GracefulStop {
    const stop = new GracefulStop(options)
    for (const signal of options.stopSignals) options.signals.on(signal, stop.receive)
    return stop
  }

  /** Uses the settings of the program for lines that are logged, and for a stop that begins, from now on. */
  configure (settings: StopSettings): void {
    this.settings = settings
  }

  /** Starts the program unless a signal arrived before. After a signal during the start it is stopped as soon as it has started. */
  async run<Program extends RunningProgram> (start: () => Promise<Result<Program, Failure>>): Promise<void> {
    if (!this.hasBegun) {
      const started = await start()
      if (started.isErr()) {
        reportFailure(this.options.name, started.error, ExitCode.Failed)
        return this.release(ExitCode.Failed)
      }
      this.program = started.value
      void this.program.whenFailed?.().then((failure) => this.fail(failure))
    }
    this.reportStarted()
  }

  /** Leaves the signals alone, as nothing runs that has to be stopped. The process exits if a signal has arrived. */
  release (exitCode: ExitCode): void {
    for (const signal of this.options.stopSignals) this.options.signals.off(signal, this.receive)
    if (this.hasBegun) this.options.exit(exitCode)
  }

  private readonly receive = (signal: NodeJS.Signals): void => {
    if (this.hasBegun) {
      this.logRepeat(signal)
      return
    }
    this.begin({ signal })
  }

  /** Stops a program that cannot go on. A stop that has begun goes on, but the process exits with `Failed`. */
  private fail (failure: Failure | undefined): void {
    if (failure === undefined) return
    this.hasFailed = true
    if (!this.hasBegun) this.begin({ failure: failure.code })
  }

  private begin (cause: { readonly signal: string } | { readonly failure: string }): void {
    this.hasBegun = true
    this.settings.logger.info('stopping', { ...cause, unfinished: this.unfinished() })
    void this.stop()
  }

  private logRepeat (signal: NodeJS.Signals): void {
    this.repeats += 1
    if (this.repeats > MAXIMUM_LOGGED_REPEATS) return
    this.settings.logger.warn('signal repeated during a stop', { signal, repeats: this.repeats, unfinished: this.unfinished() })
  }

  private async stop (): Promise<void> {
    const { exit } = this.options
    try {
      exit(await this.stopInTime() && !this.hasFailed ? ExitCode.Done : ExitCode.Failed)
    } catch (thrown) {
      this.settings.logger.error('stop failed', { reason: describeError(thrown), unfinished: this.unfinished() })
      exit(ExitCode.Failed)
    }
  }

  private async stopInTime (): Promise<boolean> {
    const { limitMilliseconds } = this.settings
    const hasStopped = await stopWithTimeout({
      stop: async () => await this.stopOnceStarted(),
      unfinished: () => this.unfinished()
    }, this.options.clock, limitMilliseconds)
    const { logger } = this.settings
    if (hasStopped) logger.info('stopped', { repeats: this.repeats })
    else logger.error('the stop did not end in time', { limitMilliseconds, repeats: this.repeats, unfinished: this.unfinished() })
    return hasStopped
  }

  private async stopOnceStarted (): Promise<void> {
    await this.started
    await this.program?.stop()
  }

  private unfinished (): string {
    return this.program?.unfinished() ?? 'the start of the program'
  }
}

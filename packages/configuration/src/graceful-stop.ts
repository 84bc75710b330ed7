/** Stops a program on a signal. Signals that follow do not cut the stop short, and the time allowed for it runs from the first. */
import type { Clock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { ExitCode, stopWithTimeout, type RunningProgram } from './program.ts'

/** Signals that stop a program that a terminal may run: SIGHUP says that the terminal is gone. */
export const TERMINAL_STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT', 'SIGHUP']
/** Signals that stop a program for which SIGHUP means that its settings have changed. */
export const SERVICE_STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT']

/** Where signals come from: the process, or an emitter of a test. */
export interface SignalSource {
  on (signal: NodeJS.Signals, listener: (signal: NodeJS.Signals) => void): unknown
}

/** Dependencies and settings of a `GracefulStop`. */
export interface GracefulStopOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly signals: SignalSource
  readonly stopSignals: readonly NodeJS.Signals[]
  /** Time allowed for a stop, from the first signal. */
  readonly limitMilliseconds: number
  /** Ends the process. */
  readonly exit: (code: ExitCode) => void
}

/** Repeated signals are logged up to this number. */
const MAXIMUM_LOGGED_REPEATS = 20

/** One graceful stop of a program, begun by the first signal. */
export class GracefulStop {
  private hasBegun = false
  private repeats = 0

  private constructor (private readonly program: RunningProgram, private readonly options: GracefulStopOptions) {}

  /** Stops the program on a signal. The process exits with `Done` if the stop ended in time, otherwise with `Failed`. */
  static create (program: RunningProgram, options: GracefulStopOptions): GracefulStop {
    const stop = new GracefulStop(program, options)
    for (const signal of options.stopSignals) options.signals.on(signal, (received) => stop.receive(received))
    return stop
  }

  private receive (signal: NodeJS.Signals): void {
    if (this.hasBegun) {
      this.logRepeat(signal)
      return
    }
    this.hasBegun = true
    this.options.logger.info('stopping', { signal, unfinished: this.program.unfinished() })
    void this.stop()
  }

  private logRepeat (signal: NodeJS.Signals): void {
    this.repeats += 1
    if (this.repeats > MAXIMUM_LOGGED_REPEATS) return
    this.options.logger.warn('signal repeated during a stop', { signal, repeats: this.repeats, unfinished: this.program.unfinished() })
  }

  private async stop (): Promise<void> {
    const { logger, exit } = this.options
    try {
      exit(await this.stopInTime() ? ExitCode.Done : ExitCode.Failed)
    } catch (thrown) {
      logger.error('stop failed', { reason: describeError(thrown), unfinished: this.program.unfinished() })
      exit(ExitCode.Failed)
    }
  }

  private async stopInTime (): Promise<boolean> {
    const { clock, logger, limitMilliseconds } = this.options
    const hasStopped = await stopWithTimeout(this.program, clock, limitMilliseconds)
    if (hasStopped) logger.info('stopped', { repeats: this.repeats })
    else logger.error('the stop did not end in time', { limitMilliseconds, repeats: this.repeats, unfinished: this.program.unfinished() })
    return hasStopped
  }
}

/** Tries several ways to connect, the next one when the last has failed or takes long, and uses the first connection that is made. */
import type { Clock, Timer } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import { Err } from 'ts-results-es'
import { ConnectFailure, type ConnectResult } from './connector.ts'

/** One way to connect. It is responsible for its own timeout. */
export interface ConnectionAttempt {
  /** How long the previous attempt may take before this one starts beside it, in milliseconds. */
  readonly startAfterMilliseconds: number
  connect (signal: AbortSignal): Promise<ConnectResult>
}

/** A race ends with the first connection, or with the failures of all attempts. */
export interface RaceOptions {
  readonly clock: Clock
  readonly attempts: readonly ConnectionAttempt[]
  readonly timeoutMilliseconds: number
  /** Whether further attempts are pointless after this failure. */
  readonly isDecided: (failure: ConnectFailure) => boolean
}

/** One race. */
export class ConnectionRace {
  private readonly losers = new AbortController()
  private readonly failures: ConnectFailure[] = []
  private started = 0
  private nextStart: Timer | undefined
  private isOver = false

  private constructor (private readonly options: RaceOptions, private readonly resolve: (result: ConnectResult) => void) {}

  /** Runs a race. Fails with the last failure, or with `connect_timeout` or `connect_aborted`. */
  static run (options: RaceOptions, signal: AbortSignal): Promise<ConnectResult> {
    if (signal.aborted) return Promise.resolve(Err(ConnectFailure.create('connect_aborted', 'the connection attempt was aborted')))
    return new Promise((resolve) => {
      const race = new ConnectionRace(options, (result) => {
        timer.cancel()
        signal.removeEventListener('abort', abort)
        resolve(result)
      })
      const abort = (): void => race.finish(Err(ConnectFailure.create('connect_aborted', 'the connection attempt was aborted')))
      const expire = (): void => race.finish(Err(ConnectFailure.create('connect_timeout', 'no connection was made in time')))
      const timer = options.clock.schedule(options.timeoutMilliseconds, expire)
      signal.addEventListener('abort', abort, { once: true })
      race.startNext()
    })
  }

  private startNext (): void {
    this.nextStart?.cancel()
    const attempt = this.options.attempts[this.started]
    if (attempt === undefined) return
    this.started += 1
    const fail = (thrown: unknown): void => this.receive(Err(ConnectFailure.create('connect_refused', describeError(thrown))))
    void attempt.connect(this.losers.signal).then((result) => this.receive(result), fail)
    const following = this.options.attempts[this.started]
    if (following !== undefined) this.nextStart = this.options.clock.schedule(following.startAfterMilliseconds, () => this.startNext())
  }

  private receive (result: ConnectResult): void {
    if (this.isOver) {
      if (result.isOk()) result.value.socket.destroy()
      return
    }
    if (result.isOk()) return this.finish(result)
    this.failures.push(result.error)
    const isLast = this.failures.length === this.options.attempts.length
    if (isLast || this.options.isDecided(result.error)) return this.finish(result)
    this.startNext()
  }

  private finish (result: ConnectResult): void {
    if (this.isOver) return
    this.isOver = true
    this.nextStart?.cancel()
    this.losers.abort()
    this.resolve(result)
  }
}

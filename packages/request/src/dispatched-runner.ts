/** Runs and logs the requests of an entry whose upstreams are chosen by a dispatcher. */
import type { LogFields, Logger } from '@hickoryspoke/telemetry/logger'
import type { DispatchedOutcome, RelayedResponse } from './attempt-history.ts'
import type { CallerExchange } from './caller-exchange.ts'
import { DispatchedRun, type DispatchedRunOptions } from './dispatched-run.ts'
import { Refusal } from './refusal.ts'
import { RequestLifecycle, RUNNER_PHASES, type DrainReport } from './request-lifecycle.ts'
import { StopDeadline } from './stop-deadline.ts'
import { describeError } from '@hickoryspoke/runtime/failure'

/** Notified of each finished request. */
export interface DispatchedObserver {
  finished (end: DispatchedOutcome, milliseconds: number): void
}

/** Accepts the requests of one entry and tracks those in flight. */
export class DispatchedRunner {
  private readonly lifecycle: RequestLifecycle
  private readonly running = new Set<DispatchedRun>()
  private readonly stop: StopDeadline
  private sequence = 0

  private constructor (private readonly options: DispatchedRunOptions, private readonly logger: Logger, private readonly observer: DispatchedObserver) {
    this.lifecycle = RequestLifecycle.create(options.clock)
    this.stop = StopDeadline.create(options.clock)
  }

  static create (options: DispatchedRunOptions, logger: Logger, observer: DispatchedObserver): DispatchedRunner {
    return new DispatchedRunner(options, logger, observer)
  }

  /** Number of requests in flight. */
  get inFlight (): number {
    return this.lifecycle.running.length
  }

  /** Number of requests that have ended. */
  get ended (): number {
    return this.sequence - this.inFlight
  }

  /** Announces that requests in flight are cut off after this time, so that those that wait for an upstream do not wait longer. */
  announceStop (cutMilliseconds: number): void {
    this.stop.announce(cutMilliseconds)
    for (const run of this.running) run.hurry()
  }

  async drain (limitMilliseconds: number): Promise<DrainReport> {
    return await this.lifecycle.drain(limitMilliseconds)
  }

  /** Runs one request and sends its response. Never rejects. */
  async run (exchange: CallerExchange): Promise<void> {
    const startedAt = this.options.clock.monotonicMilliseconds()
    const run = DispatchedRun.create(this.options, exchange, this.stop)
    this.sequence += 1
    const key = `${this.sequence}`
    const end = await this.runTracked(key, run, exchange)
    const milliseconds = this.options.clock.monotonicMilliseconds() - startedAt
    this.observer.finished(end, milliseconds)
    this.log(run, end, milliseconds)
    if (end.code === 'answered') this.followDelivery(run, end, exchange)
  }

  /** The signal aborts if the connection ends before the complete response has left the process. */
  private followDelivery (run: DispatchedRun, end: DispatchedOutcome, exchange: CallerExchange): void {
    exchange.signal.addEventListener('abort', () => {
      this.logger.warn('response not delivered', { request: run.requestId, route: run.route?.name, customer: run.customer, status: end.status })
    }, { once: true })
  }

  private async runTracked (key: string, run: DispatchedRun, exchange: CallerExchange): Promise<DispatchedOutcome> {
    if (this.lifecycle.phase !== RUNNER_PHASES.serving) return run.refuse(Refusal.create('draining'))
    this.lifecycle.begin(key, () => exchange.answer.abort())
    this.running.add(run)
    try {
      return await run.execute()
    } catch (thrown) {
      this.logger.error('request failed with an internal error', { request: run.requestId, reason: describeError(thrown) })
      return run.refuse(Refusal.create('internal_error'))
    } finally {
      this.running.delete(run)
      this.lifecycle.end(key)
    }
  }

  private log (run: DispatchedRun, end: DispatchedOutcome, milliseconds: number): void {
    const { inForce, placementClient } = this.options
    this.logger.info('request ended', {
      request: run.requestId,
      route: run.route?.name,
      customer: run.customer,
      outcome: end.code,
      status: end.status,
      attempts: end.attempts,
      ticket: end.ticket,
      failure: end.failure,
      upstream: end.instance,
      relayedBy: end.relayedBy,
      statedRequestsPerSecond: end.statedRequestsPerSecond,
      chosenBy: end.local ? 'entry' : 'dispatcher',
      milliseconds: Math.round(milliseconds),
      ...responseFields(end.response),
      configuration: inForce.number,
      configurationAge: Math.round(Math.min(inForce.ageMilliseconds(), 999_999)),
      unattended: Math.round(placementClient.withoutDispatcherMilliseconds)
    })
  }
}

function responseFields (response: RelayedResponse | undefined): LogFields {
  if (response === undefined) return {}
  const { headMilliseconds, callerMilliseconds, bodyBytes, announcedBytes } = response
  return { headMilliseconds: Math.round(headMilliseconds), callerMilliseconds: Math.round(callerMilliseconds), bodyBytes, announcedBytes }
}

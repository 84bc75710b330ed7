/** Runs each request of a caller through the dispatcher's choice to its one end, and logs it. */
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { CallerExchange } from './caller-exchange.ts'
import { DispatchedRun, type DispatchedEnd, type DispatchedParts } from './dispatched-run.ts'
import { Refusal } from './refusal.ts'
import { RequestLifecycle, RUNNER_PHASES, type DrainReport } from './request-lifecycle.ts'
import { describeError } from '@hickoryspoke/runtime/failure'

/** Learns of each request's end. */
export interface DispatchedObserver {
  finished (end: DispatchedEnd, milliseconds: number): void
}

/** Requests of one entry. */
export class DispatchedRunner {
  private readonly lifecycle: RequestLifecycle
  private sequence = 0

  private constructor (private readonly parts: DispatchedParts, private readonly logger: Logger, private readonly observer: DispatchedObserver) {
    this.lifecycle = RequestLifecycle.create(parts.clock)
  }

  static create (parts: DispatchedParts, logger: Logger, observer: DispatchedObserver): DispatchedRunner {
    return new DispatchedRunner(parts, logger, observer)
  }

  /** Requests in flight. */
  get inFlight (): number {
    return this.lifecycle.running.length
  }

  async drain (limitMilliseconds: number): Promise<DrainReport> {
    return await this.lifecycle.drain(limitMilliseconds)
  }

  /** Runs one request and gives its answer. Never throws. */
  async run (exchange: CallerExchange): Promise<void> {
    const startedAt = this.parts.clock.monotonicMilliseconds()
    const run = DispatchedRun.create(this.parts, exchange)
    this.sequence += 1
    const key = `${this.sequence}`
    const end = await this.runToEnd(key, run, exchange)
    const milliseconds = this.parts.clock.monotonicMilliseconds() - startedAt
    this.observer.finished(end, milliseconds)
    this.log(run, end, milliseconds)
  }

  private async runToEnd (key: string, run: DispatchedRun, exchange: CallerExchange): Promise<DispatchedEnd> {
    if (this.lifecycle.phase !== RUNNER_PHASES.serving) return run.refuse(Refusal.create('draining'))
    this.lifecycle.begin(key, () => exchange.answer.breakOff())
    try {
      return await run.toEnd()
    } catch (thrown) {
      this.logger.error('request failed inside the entry', { request: run.requestId, reason: describeError(thrown) })
      return run.refuse(Refusal.create('internal_error'))
    } finally {
      this.lifecycle.end(key)
    }
  }

  private log (run: DispatchedRun, end: DispatchedEnd, milliseconds: number): void {
    const { inForce, desk } = this.parts
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
      chosenBy: end.local ? 'entry' : 'dispatcher',
      milliseconds: Math.round(milliseconds),
      configuration: inForce.number,
      configurationAge: Math.round(Math.min(inForce.ageMilliseconds(), 999_999)),
      unattended: Math.round(desk.withoutDispatcherMilliseconds)
    })
  }
}

import type { Clock, Timer } from '@hickoryspoke/runtime/clock'
import { AttemptFailure } from './attempt-failure.ts'
import type { CallerExchange } from './caller-exchange.ts'
import type { GatedRequest } from './request-gate.ts'

/** The deadline of a request, from the timeout of its route, and the signal that aborts its attempts. */
export class RequestDeadline {
  private readonly controller = new AbortController()
  private readonly timer: Timer
  readonly atMilliseconds: number

  private constructor (private readonly clock: Clock, request: GatedRequest, private readonly exchange: CallerExchange) {
    const limit = request.route.timeout_milliseconds
    this.atMilliseconds = clock.monotonicMilliseconds() + limit
    this.timer = clock.schedule(limit, () => this.controller.abort(AttemptFailure.create('deadline_over')))
    if (!request.idempotent) return
    exchange.signal.addEventListener('abort', this.onCallerGone)
    if (exchange.signal.aborted) this.onCallerGone()
  }

  static create (clock: Clock, request: GatedRequest, exchange: CallerExchange): RequestDeadline {
    return new RequestDeadline(clock, request, exchange)
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  remainingMilliseconds (): number {
    return Math.max(0, Math.floor(this.atMilliseconds - this.clock.monotonicMilliseconds()))
  }

  /** Stops the timer once the response head has arrived. Stalled bodies are detected by the relay. */
  headArrived (): void {
    this.timer.cancel()
  }

  clear (): void {
    this.timer.cancel()
    this.exchange.signal.removeEventListener('abort', this.onCallerGone)
  }

  private readonly onCallerGone = (): void => {
    this.controller.abort(AttemptFailure.create('caller_gone'))
  }
}

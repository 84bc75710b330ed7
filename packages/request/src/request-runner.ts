import type { Timer } from '@hickoryspoke/runtime/clock'
import { randomBelow } from '@hickoryspoke/runtime/random'
import type { CallerExchange } from './caller-exchange.ts'
import { PoolPolicies } from './pool-policy.ts'
import { Refusal } from './refusal.ts'
import { RequestGate } from './request-gate.ts'
import { RequestLifecycle, RUNNER_PHASES, type DrainReport, type RunnerPhase } from './request-lifecycle.ts'
import { RequestRun, type RequestOutcome, type RequestRunOptions } from './request-run.ts'
import type { RequestRunnerOptions } from './request-runner-options.ts'
import { StopDeadline } from './stop-deadline.ts'

const REQUEST_ID_PARTS = 4
const REQUEST_ID_PART_LIMIT = 0x1000000

/** Accepts the requests of one entry, and runs each to its outcome. */
export class RequestRunner {
  private readonly runOptions: RequestRunOptions
  private readonly lifecycle: RequestLifecycle
  private readonly stop: StopDeadline
  private readonly runs = new Set<RequestRun>()
  /** Runs when it is too late to send requests; undefined while the entry is not stopping. */
  private lastSend: Timer | undefined

  private constructor (private readonly options: RequestRunnerOptions) {
    this.lifecycle = RequestLifecycle.create(options.clock)
    this.stop = StopDeadline.create(options.clock)
    const gate = RequestGate.create(options.tables, options.freshness)
    this.runOptions = { ...options, gate, policies: options.policies ?? PoolPolicies.create(), stop: this.stop }
  }

  static create (options: RequestRunnerOptions): RequestRunner {
    return new RequestRunner(options)
  }

  get phase (): RunnerPhase {
    return this.lifecycle.phase
  }

  /** Identifiers of the requests in flight. */
  get running (): string[] {
    return this.lifecycle.running
  }

  /** Announces that requests in flight are cut off after this time. Those that still wait for an upstream shortly before are refused. */
  announceStop (cutMilliseconds: number): void {
    this.stop.announce(cutMilliseconds)
    this.lastSend = this.options.clock.schedule(Math.max(0, this.stop.sendMilliseconds), () => {
      for (const run of this.runs) run.stopWaiting()
    })
  }

  /** Refuses new requests and resolves once those in flight have finished or the limit has passed. */
  async drain (limitMilliseconds: number): Promise<DrainReport> {
    const report = await this.lifecycle.drain(limitMilliseconds)
    this.lastSend?.cancel()
    return report
  }

  /** Runs one request. Resolves once its response has been sent or the caller has disconnected. Never rejects. */
  async run (exchange: CallerExchange): Promise<void> {
    const requestId = this.newRequestId()
    const started = this.options.clock.monotonicMilliseconds()
    const run = RequestRun.create(this.runOptions, exchange, requestId)
    const finished = await this.runTracked(run, exchange, requestId)
    this.options.observer?.finished({
      ...finished,
      requestId,
      customer: run.customer,
      pool: run.pool,
      method: exchange.method,
      milliseconds: this.options.clock.monotonicMilliseconds() - started
    })
  }

  private async runTracked (run: RequestRun, exchange: CallerExchange, requestId: string): Promise<RequestOutcome> {
    if (this.phase !== RUNNER_PHASES.serving) return run.refuse(Refusal.create('draining'))
    this.lifecycle.begin(requestId, () => exchange.answer.abort())
    this.runs.add(run)
    const finished = await run.execute()
    this.runs.delete(run)
    this.lifecycle.end(requestId)
    return finished
  }

  private newRequestId (): string {
    const parts = Array.from({ length: REQUEST_ID_PARTS }, () => randomBelow(this.options.random, REQUEST_ID_PART_LIMIT))
    return parts.map((part) => part.toString(16).padStart(6, '0')).join('')
  }
}

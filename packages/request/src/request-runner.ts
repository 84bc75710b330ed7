import { randomBelow } from '@hickoryspoke/runtime/random'
import type { CallerExchange } from './caller-exchange.ts'
import { PoolPolicies } from './pool-policy.ts'
import { Refusal } from './refusal.ts'
import { RequestGate } from './request-gate.ts'
import { RequestLifecycle, RUNNER_PHASES, type DrainReport, type RunnerPhase } from './request-lifecycle.ts'
import { RequestRun } from './request-run.ts'
import type { RequestRunnerOptions } from './request-runner-options.ts'

const REQUEST_ID_PARTS = 4
const REQUEST_ID_PART_LIMIT = 0x1000000

/** Accepts the requests of one entry, and runs each to its outcome. */
export class RequestRunner {
  private readonly gate: RequestGate
  private readonly lifecycle: RequestLifecycle
  private readonly policies: PoolPolicies

  private constructor (private readonly options: RequestRunnerOptions) {
    this.gate = RequestGate.create(options.tables, options.freshness)
    this.lifecycle = RequestLifecycle.create(options.clock)
    this.policies = options.policies ?? PoolPolicies.create()
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

  /** Refuses new requests and resolves once those in flight have finished or the limit has passed. */
  async drain (limitMilliseconds: number): Promise<DrainReport> {
    return await this.lifecycle.drain(limitMilliseconds)
  }

  /** Runs one request. Resolves once its response has been sent or the caller has disconnected. Never rejects. */
  async run (exchange: CallerExchange): Promise<void> {
    const requestId = this.newRequestId()
    const started = this.options.clock.monotonicMilliseconds()
    const run = RequestRun.create(this.options, this.gate, this.policies, exchange, requestId)
    const isServing = this.phase === RUNNER_PHASES.serving
    if (isServing) this.lifecycle.begin(requestId, () => exchange.answer.abort())
    const finished = isServing ? await run.execute() : run.refuse(Refusal.create('draining'))
    this.lifecycle.end(requestId)
    this.options.observer?.finished({
      ...finished,
      requestId,
      customer: run.customer,
      pool: run.pool,
      method: exchange.method,
      milliseconds: this.options.clock.monotonicMilliseconds() - started
    })
  }

  private newRequestId (): string {
    const parts = Array.from({ length: REQUEST_ID_PARTS }, () => randomBelow(this.options.random, REQUEST_ID_PART_LIMIT))
    return parts.map((part) => part.toString(16).padStart(6, '0')).join('')
  }
}

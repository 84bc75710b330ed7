import { randomBelow } from '@hickoryspoke/runtime/random'
import type { CallerExchange } from './caller-exchange.ts'
import { PoolPolicies } from './pool-policy.ts'
import { Refusal } from './refusal.ts'
import { RequestGate } from './request-gate.ts'
import { RequestLifecycle, RUNNER_PHASES, type DrainReport, type RunnerPhase } from './request-lifecycle.ts'
import { RequestRun } from './request-run.ts'
import type { RequestRunnerParts } from './request-runner-parts.ts'

const REQUEST_ID_PARTS = 4
const REQUEST_ID_PART_LIMIT = 0x1000000

/** Runs each request of a caller to its one typed end. */
export class RequestRunner {
  private readonly gate: RequestGate
  private readonly lifecycle: RequestLifecycle
  private readonly policies: PoolPolicies

  private constructor (private readonly parts: RequestRunnerParts) {
    this.gate = RequestGate.create(parts.tables, parts.freshness)
    this.lifecycle = RequestLifecycle.create(parts.clock)
    this.policies = parts.policies ?? PoolPolicies.create()
  }

  static create (parts: RequestRunnerParts): RequestRunner {
    return new RequestRunner(parts)
  }

  get phase (): RunnerPhase {
    return this.lifecycle.phase
  }

  /** Identifiers of the requests in flight. */
  get running (): string[] {
    return this.lifecycle.running
  }

  /** Takes no more requests, and resolves when those in flight have ended or the limit is over. */
  async drain (limitMilliseconds: number): Promise<DrainReport> {
    return await this.lifecycle.drain(limitMilliseconds)
  }

  /** Runs one request and gives its answer; resolves when the caller has it or has left. Never throws. */
  async run (exchange: CallerExchange): Promise<void> {
    const requestId = this.newRequestId()
    const started = this.parts.clock.monotonicMilliseconds()
    const run = RequestRun.create(this.parts, this.gate, this.policies, exchange, requestId)
    const isServing = this.phase === RUNNER_PHASES.serving
    if (isServing) this.lifecycle.begin(requestId, () => exchange.answer.breakOff())
    const finished = isServing ? await run.toEnd() : run.refuse(Refusal.create('draining'))
    this.lifecycle.end(requestId)
    this.parts.observer?.finished({
      ...finished,
      requestId,
      customer: run.customer,
      pool: run.pool,
      method: exchange.method,
      milliseconds: this.parts.clock.monotonicMilliseconds() - started
    })
  }

  private newRequestId (): string {
    const parts = Array.from({ length: REQUEST_ID_PARTS }, () => randomBelow(this.parts.random, REQUEST_ID_PART_LIMIT))
    return parts.map((part) => part.toString(16).padStart(6, '0')).join('')
  }
}

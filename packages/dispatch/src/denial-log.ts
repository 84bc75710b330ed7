/** Log lines of denied requests. Their number is bounded, so that a leader under overload does not spend its processor time on them. */
import { DenialReason, type Denial, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { PoolSnapshot } from './pool-dispatcher.ts'

/** The entries log each denied request as well, so what is lost here is the state of the pool only. */
const MAXIMUM_LINES = 100
const WINDOW_MILLISECONDS = 1_000

/** Logs denials; a line states how many were left out before it. */
export class DenialLog {
  private windowBeganAt = -Infinity
  private lines = 0
  private leftOut = 0

  private constructor (private readonly clock: Clock, private readonly logger: Logger) {}

  static create (clock: Clock, logger: Logger): DenialLog {
    return new DenialLog(clock, logger)
  }

  /** `snapshot` is called only for a line that is written. */
  record (entry: string, question: PlacementQuestion, denial: Denial, snapshot: () => PoolSnapshot): void {
    if (!this.takeLine()) {
      this.leftOut += 1
      return
    }
    const { waiting, inFlight, limited, standings } = snapshot()
    this.logger.info('request denied', {
      entry,
      ticket: question.ticket,
      reason: reasonName(denial.reason),
      pool: question.pool,
      customer: question.customer,
      priority: question.priority,
      attempt: question.attempt,
      retryAfter: denial.retryAfterMilliseconds,
      waiting,
      inFlight,
      limited,
      ...standings,
      leftOut: this.leftOut === 0 ? undefined : this.leftOut
    })
    this.leftOut = 0
  }

  private takeLine (): boolean {
    const now = this.clock.monotonicMilliseconds()
    if (now - this.windowBeganAt >= WINDOW_MILLISECONDS) {
      this.windowBeganAt = now
      this.lines = 0
    }
    this.lines += 1
    return this.lines <= MAXIMUM_LINES
  }
}

/** Name of a reason in log lines. */
export function reasonName (reason: DenialReason): string {
  return (DenialReason[reason] ?? 'unknown').replace('DENIAL_REASON_', '').toLowerCase()
}

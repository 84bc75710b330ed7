import { AttemptKind, type AttemptOutcome } from './attempt-outcome.ts'

const LATENCY_SMOOTHING = 0.1
const FAILURE_PENALTY = 0.35
const MINIMUM_HEALTH_SCORE = 0.02
const SCORE_RECOVERY_MILLISECONDS = 4_000
const REFUSAL_MEMORY_MILLISECONDS = 1_000
const REFUSAL_COST_FACTOR = 4

const FAILED: ReadonlySet<AttemptKind> = new Set([
  AttemptKind.ConnectFailed, AttemptKind.Reset, AttemptKind.Timeout, AttemptKind.Truncated, AttemptKind.ServerError, AttemptKind.Overdue
])

/** Load and health of one upstream as this entry observes it: its own requests in flight, their latency and their failures. */
export class UpstreamLoad {
  inFlight = 0
  private latencyMilliseconds: number | undefined
  private scoreAfterFailure = 1
  private failedMilliseconds = -Infinity
  private refusedMilliseconds = -Infinity

  static create (): UpstreamLoad {
    return new UpstreamLoad()
  }

  record (outcome: AttemptOutcome, now: number): void {
    if (outcome.kind === AttemptKind.Answered) this.latencyMilliseconds = smooth(this.latencyMilliseconds, outcome.milliseconds)
    if (outcome.kind === AttemptKind.Overdue) this.latencyMilliseconds = smooth(this.latencyMilliseconds, outcome.milliseconds)
    if (outcome.kind === AttemptKind.RefusedNotRun) this.refusedMilliseconds = now
    if (!FAILED.has(outcome.kind) || outcome.blamedOnRequest === true) return
    this.scoreAfterFailure = Math.max(MINIMUM_HEALTH_SCORE, this.healthScore(now) * FAILURE_PENALTY)
    this.failedMilliseconds = now
  }

  /** Multiplier for the upstream's weight: lowered by each failure seen here, to no less than 0.02, and back at 1 four seconds after the last. */
  healthScore (now: number): number {
    const passed = (now - this.failedMilliseconds) / SCORE_RECOVERY_MILLISECONDS
    return passed >= 1 ? 1 : Math.min(1, this.scoreAfterFailure + (1 - this.scoreAfterFailure) * passed)
  }

  /** Expected cost of one more request; lower is better. */
  cost (usualMilliseconds: number, reportedLoad: number, now: number): number {
    const latency = this.latencyMilliseconds ?? usualMilliseconds
    const refused = now < this.refusedMilliseconds + REFUSAL_MEMORY_MILLISECONDS ? REFUSAL_COST_FACTOR : 1
    return (this.inFlight + 1) * Math.max(1, latency) * (1 + Math.min(2, reportedLoad)) * refused
  }
}

function smooth (before: number | undefined, milliseconds: number): number {
  return before === undefined ? milliseconds : before + (milliseconds - before) * LATENCY_SMOOTHING
}

/**
 * Whether questions for upstreams wait for the process of the dispatcher. It answers bursts that take more processor time than
 * the control VM has: the choice by expected cost takes more time than the plain one, and would let questions expire.
 */
import type { Clock } from '@hickoryspoke/runtime/clock'

/** A question that waited longer than this was delayed by others. */
const DELAYED_MILLISECONDS = 30
/** The process counts as short of processor time for this long after such a question, so that decisions do not alternate. */
const SHORTAGE_MILLISECONDS = 1_000

/** Observes how long questions waited before they were handled. */
export class QuestionDelay {
  private delayedAt = -Infinity

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): QuestionDelay {
    return new QuestionDelay(clock)
  }

  /** Whether a question was delayed lately. */
  get isShort (): boolean {
    return this.clock.monotonicMilliseconds() - this.delayedAt < SHORTAGE_MILLISECONDS
  }

  /** Records how long a question waited. */
  record (waitedMilliseconds: number): void {
    if (waitedMilliseconds > DELAYED_MILLISECONDS) this.delayedAt = this.clock.monotonicMilliseconds()
  }
}

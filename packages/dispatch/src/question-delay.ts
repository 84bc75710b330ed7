/**
 * Whether the dispatcher's process is short of processor time, seen from how long questions wait before it handles them. In a
 * burst, the choice by expected cost would take so much longer than the plain one that questions expire.
 */
import type { Clock } from '@hickoryspoke/runtime/clock'

/** A question that waited longer than this was delayed by others. */
const DELAYED_MILLISECONDS = 30
/** A delay counts for this long. Bursts last for seconds, and each return to the dearer choice within one delays questions again. */
const DELAY_COUNTS_MILLISECONDS = 10_000

/** Observes how long questions waited before they were handled. */
export class QuestionDelay {
  private delayedAt = -Infinity

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): QuestionDelay {
    return new QuestionDelay(clock)
  }

  /** Whether a question was delayed within the last seconds. */
  get wasDelayedLately (): boolean {
    return this.clock.monotonicMilliseconds() - this.delayedAt < DELAY_COUNTS_MILLISECONDS
  }

  /** Records how long a question waited. */
  record (waitedMilliseconds: number): void {
    if (waitedMilliseconds > DELAYED_MILLISECONDS) this.delayedAt = this.clock.monotonicMilliseconds()
  }
}

/** Which upstreams the dispatcher suspects, sent on when that changes and kept where a next dispatcher may begin. */
import type { Suspicion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'

/** What was heard, and when in monotonic milliseconds. */
export interface HeardSuspicions {
  readonly at: number
  readonly suspicions: readonly Suspicion[]
}

/** Between two lists, so that many changes at once cost one message. */
const INTERVAL_MILLISECONDS = 1_000

/** News of one process, as the one that tells or as one that hears. */
export class SuspicionNews {
  private toldAt = -Infinity
  private told = ''
  private last: HeardSuspicions | undefined

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): SuspicionNews {
    return new SuspicionNews(clock)
  }

  /** What was heard last. */
  get heard (): HeardSuspicions | undefined {
    return this.last
  }

  hear (suspicions: readonly Suspicion[]): void {
    this.last = { at: this.clock.monotonicMilliseconds(), suspicions }
  }

  /** The list to tell now; undefined while the same upstreams are suspected as before, or too soon. */
  next (current: () => Suspicion[]): Suspicion[] | undefined {
    const now = this.clock.monotonicMilliseconds()
    if (now - this.toldAt < INTERVAL_MILLISECONDS) return undefined
    const suspicions = current()
    const names = suspicions.map(({ instance }) => instance).sort().join()
    if (names === this.told) return undefined
    this.toldAt = now
    this.told = names
    return suspicions
  }
}

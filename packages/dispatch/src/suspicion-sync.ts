/** Passes the dispatcher's suspicions on to entries and other control VMs, and keeps received ones in case this process leads next. */
import type { Suspicion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'

/** A received list, and when it was received in monotonic milliseconds. */
export interface ReceivedSuspicions {
  readonly at: number
  readonly suspicions: readonly Suspicion[]
}

/** Minimum interval between two lists, so that a burst of changes costs one message. */
const INTERVAL_MILLISECONDS = 1_000

/** Sends suspicions while this process leads, and receives them while another does. */
export class SuspicionSync {
  private sentAt = -Infinity
  private sentInstances = ''
  private last: ReceivedSuspicions | undefined

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): SuspicionSync {
    return new SuspicionSync(clock)
  }

  /** The last list received; undefined for none. */
  get received (): ReceivedSuspicions | undefined {
    return this.last
  }

  receive (suspicions: readonly Suspicion[]): void {
    this.last = { at: this.clock.monotonicMilliseconds(), suspicions }
  }

  /** The list to send now; undefined if it names the same upstreams as the last one, or if that was sent too recently. */
  nextUpdate (current: () => Suspicion[]): Suspicion[] | undefined {
    const now = this.clock.monotonicMilliseconds()
    if (now - this.sentAt < INTERVAL_MILLISECONDS) return undefined
    const suspicions = current()
    const names = suspicions.map(({ instance }) => instance).sort().join()
    if (names === this.sentInstances) return undefined
    this.sentAt = now
    this.sentInstances = names
    return suspicions
  }
}

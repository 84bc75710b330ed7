/** Measures how busy a process is: processor time used, and how late its event loop runs timers. */
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'

/** Load of the process since the previous reading, in milliseconds. */
export interface EventLoopLoad {
  readonly processorMilliseconds: number
  /** Longest time that a due timer had to wait. */
  readonly longestDelayMilliseconds: number
}

const PROBE_INTERVAL_MILLISECONDS = 50
const MICROSECONDS_PER_MILLISECOND = 1_000

/** Probes the event loop with a timer. */
export class EventLoopMonitor {
  private longestDelay = 0
  private processorAtReading: number
  private probedAt: number

  private constructor (private readonly clock: Clock, private readonly processorMilliseconds: () => number) {
    this.processorAtReading = processorMilliseconds()
    this.probedAt = clock.monotonicMilliseconds()
  }

  /** `processorMilliseconds` returns the processor time used by the process so far. */
  static create (clock: Clock, processorMilliseconds: () => number = usedProcessorMilliseconds): EventLoopMonitor {
    return new EventLoopMonitor(clock, processorMilliseconds)
  }

  /** Probes until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    this.probedAt = this.clock.monotonicMilliseconds()
    await repeatEvery(this.clock, PROBE_INTERVAL_MILLISECONDS, signal, () => this.probe())
  }

  /** Returns the load since the previous call. */
  read (): EventLoopLoad {
    const processorNow = this.processorMilliseconds()
    const load = { processorMilliseconds: processorNow - this.processorAtReading, longestDelayMilliseconds: this.longestDelay }
    this.processorAtReading = processorNow
    this.longestDelay = 0
    return load
  }

  private probe (): void {
    const now = this.clock.monotonicMilliseconds()
    this.longestDelay = Math.max(this.longestDelay, now - this.probedAt - PROBE_INTERVAL_MILLISECONDS)
    this.probedAt = now
  }
}

/** Processor time used by this process so far, in milliseconds. */
export function usedProcessorMilliseconds (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MILLISECOND
}

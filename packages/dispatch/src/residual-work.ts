/** The running requests of one upstream, and the work that is still expected of them given how long each has run. */
import type { CostEstimate } from './request-costs.ts'

/** A request that runs. */
export interface RunningWork {
  /** What was expected when it was placed. */
  readonly estimate: CostEstimate
  /** In monotonic milliseconds. */
  readonly placedAt: number
  /** Share of its time in which the upstream was expected to be nearly full. */
  readonly fullShare: number
}

/** An upstream counts as nearly full above this utilization. */
export const PREFERRED_UTILIZATION = 0.75
/** Least remaining time of a running request; one that is about to end takes this long to be reported. */
const MINIMUM_REMAINDER_MILLISECONDS = 1

/** Running requests of one upstream. */
export class ResidualWork {
  private readonly running = new Set<RunningWork>()

  static create (): ResidualWork {
    return new ResidualWork()
  }

  start (work: RunningWork): void {
    this.running.add(work)
  }

  end (work: RunningWork): void {
    this.running.delete(work)
  }

  /** Rate at which the running requests are expected to end next; `factor` is the time of a response relative to the expected one. */
  endsPerMillisecond (factor: number, now: number): number {
    let ends = 0
    for (const work of this.running) ends += 1 / remainderOf(work, factor, now)
    return ends
  }

  /** Number of requests that the slots taken by these requests are expected to end within a time, where each further one takes that time at the usual speed. */
  endsWithin (milliseconds: number, factor: number, now: number): number {
    let ends = 0
    for (const work of this.running) {
      const remainder = remainderOf(work, factor, now)
      ends += remainder >= milliseconds ? milliseconds / remainder : 1 + (milliseconds - remainder) / (milliseconds * factor)
    }
    return ends
  }

  /** Number of running requests that are tracked here; those placed by an earlier dispatcher or without an estimate are not. */
  get length (): number {
    return this.running.size
  }

  /** Work left in milliseconds of the usual speed. */
  milliseconds (factor: number, now: number): number {
    let left = 0
    for (const work of this.running) left += remainderOf(work, factor, now) / factor
    return left
  }
}

/**
 * Share of a new request's time in which an upstream with this many running requests, the new one included, is nearly full:
 * until enough of the others have ended.
 */
export function nearlyFullShare (work: ResidualWork, inFlight: number, slots: number, meanMilliseconds: number, factor: number, now: number): number {
  const excess = inFlight - Math.floor(PREFERRED_UTILIZATION * slots)
  if (excess <= 0) return 0
  const untracked = Math.max(0, inFlight - 1 - work.length)
  const ends = work.endsPerMillisecond(factor, now) + untracked / meanMilliseconds
  return ends === 0 ? 1 : Math.min(1, excess / ends / meanMilliseconds)
}

function remainderOf ({ estimate, placedAt }: RunningWork, factor: number, now: number): number {
  return Math.max(MINIMUM_REMAINDER_MILLISECONDS, factor * estimate.remainder((now - placedAt) / factor))
}

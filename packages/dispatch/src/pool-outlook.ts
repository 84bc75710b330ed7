/** When the slots of a pool become free, from the work that is left at each upstream. */
import type { PoolCosts } from './pool-costs.ts'
import type { Candidate } from './upstream-choice.ts'

/** Expected ends of requests in the near time and later. */
export class PoolOutlook {
  /** Requests that are expected to end within the mean cost of a request. */
  private endsWithinMean = 0
  /** The same for the time after that, in which all slots serve requests of mean cost. */
  private endsPerMean = 0
  /** Usable slots, and those of them that are taken, weighted by the probability of success. */
  private slots = 0
  private taken = 0

  private readonly meansUpTo = new Map<number, number>()

  private constructor (readonly meanMilliseconds: number, private readonly costs: PoolCosts) {}

  /** Undefined where the mean cost is not known. */
  static create (costs: PoolCosts, now: number): PoolOutlook | undefined {
    const meanMilliseconds = costs.meanMilliseconds(now)
    return meanMilliseconds === undefined ? undefined : new PoolOutlook(meanMilliseconds, costs)
  }

  /** Adds an upstream with its number of usable slots and its probability of success. */
  add ({ upstream, standing, work }: Candidate, usableSlots: number, success: number, now: number): void {
    this.slots += usableSlots * success
    this.taken += Math.min(standing.inFlight, usableSlots) * success
    const factor = work.speed.factor(0, now)
    const tracked = work.residual.length
    const usableShare = success * usableSlots / Math.max(1, upstream.announced.slots)
    const others = Math.max(0, Math.max(upstream.announced.slots, standing.inFlight) - tracked)
    this.endsWithinMean += usableShare * (work.residual.endsWithin(this.meanMilliseconds, factor, now) + others / factor)
    this.endsPerMean += success * usableSlots / factor
  }

  /** Share of the usable slots that are taken. */
  get takenShare (): number {
    return this.slots === 0 ? 1 : this.taken / this.slots
  }

  /** Expected work of a number of requests with this priority or a more urgent one, in milliseconds. */
  workOf (requests: number, priority: number, now: number): number {
    if (requests === 0) return 0
    const mean = this.meansUpTo.get(priority) ?? this.costs.meanUpTo(priority, now)
    this.meansUpTo.set(priority, mean)
    return requests * mean
  }

  /** Expected wait of a request behind others with this much work, in milliseconds. */
  waitMilliseconds (workAheadMilliseconds: number): number {
    const requests = workAheadMilliseconds / this.meanMilliseconds + 1
    if (this.endsPerMean === 0) return 0
    if (requests <= this.endsWithinMean) return this.meanMilliseconds * requests / this.endsWithinMean
    return this.meanMilliseconds * (1 + (requests - this.endsWithinMean) / this.endsPerMean)
  }
}

/** Values derived from all upstreams of a pool, kept for a short time, as computing them costs more than placing a request. */
import { STANDING } from './instance-standing.ts'
import type { PoolCosts } from './pool-costs.ts'
import { PoolOutlook } from './pool-outlook.ts'
import type { ResponseTimes } from './response-times.ts'
import { IDLE_MILLISECONDS, successProbability, type Candidate } from './upstream-choice.ts'
import type { DispatcherZoneView } from './zone-view.ts'

/** The values at one moment. */
export interface PoolState {
  readonly at: number
  /** Slots of all upstreams, weighted by their probability of success. */
  readonly effectiveSlots: number
  /** Whether any upstream is sound. */
  readonly hasSound: boolean
  /** Share of the upstreams that recently received a request. */
  readonly activeShare: number
  /** Highest probability of success among the upstreams, free or not. */
  readonly bestSuccess: number
  /** When slots become free; undefined while the cost of requests is not estimated. */
  readonly outlook: PoolOutlook | undefined
}

/** What the values are derived from. */
export interface PoolStateOptions {
  readonly responseTimes: ResponseTimes
  readonly costs: PoolCosts
  readonly zones: DispatcherZoneView
}

const STATE_CACHE_MILLISECONDS = 10
/** The outlook takes the running requests of all upstreams into account, which costs several times as much. */
const OUTLOOK_CACHE_MILLISECONDS = 100

/** The latest values of one pool. */
export class PoolStateCache {
  private state: PoolState = { at: -Infinity, effectiveSlots: 0, hasSound: false, bestSuccess: 0, activeShare: 0, outlook: undefined }

  private outlookAt = -Infinity

  private constructor (private readonly options: PoolStateOptions) {}

  static create (options: PoolStateOptions): PoolStateCache {
    return new PoolStateCache(options)
  }

  /** Discards the values, as after a failure. */
  invalidate (): void {
    this.state = { ...this.state, at: -Infinity }
  }

  /** The values for the upstreams that accept requests. */
  at (serving: readonly Candidate[], now: number): PoolState {
    if (now - this.state.at < STATE_CACHE_MILLISECONDS) return this.state
    const outlook = this.dueOutlook(now)
    let effectiveSlots = 0
    let bestSuccess = 0
    let active = 0
    let hasSound = false
    for (const candidate of serving) {
      const { standing } = candidate
      const success = successProbability(standing, now)
      const usable = this.usableSlots(candidate, now)
      effectiveSlots += usable * success
      outlook?.add(candidate, usable, success, now)
      bestSuccess = Math.max(bestSuccess, success)
      if (standing.standing(now) === STANDING.sound) hasSound = true
      if (standing.millisecondsSincePlacement(now) < IDLE_MILLISECONDS) active += 1
    }
    const activeShare = active / Math.max(1, serving.length)
    this.state = { at: now, effectiveSlots, hasSound, bestSuccess, activeShare, outlook: outlook ?? this.validOutlook(now) }
    return this.state
  }

  /** A new outlook to be filled, where the latest one is too old. */
  private dueOutlook (now: number): PoolOutlook | undefined {
    if (now - this.outlookAt < OUTLOOK_CACHE_MILLISECONDS) return undefined
    this.outlookAt = now
    return PoolOutlook.create(this.options.costs, now)
  }

  /** The latest outlook, unless it was due and could not be renewed. */
  private validOutlook (now: number): PoolOutlook | undefined {
    return this.outlookAt === now ? undefined : this.state.outlook
  }

  /** Mean number of slots that requests can use, given the limit that the upstream states and that of a cold one. */
  private usableSlots ({ upstream, standing }: Candidate, now: number): number {
    const { responseTimes, zones } = this.options
    const slots = zones.usableSlots(upstream.announced.zone, upstream.announced.slots, now)
    const rate = standing.limit.currentRate(now)
    return rate === Infinity ? slots : Math.min(slots, rate * responseTimes.meanMilliseconds() / 1_000)
  }
}

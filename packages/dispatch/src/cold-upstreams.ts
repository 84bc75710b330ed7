/**
 * Which upstreams are cold, and how often those may be used. An upstream is cold for some time after its start, and may
 * become cold again; its announcements say how long it stays so. This concerns only pools with a warm-up limit.
 */
import type { PoolWarmup, ServingPool } from '@hickoryspoke/configuration/serving-configuration'
import type { AnnouncedUpstream } from '@hickoryspoke/protocol/generated/dispatch'
import type { RegisteredUpstream } from './upstream-registry.ts'

/** By how much cold upstreams may get more requests in a second than they tolerate: rate x `overage` + `slack`. */
export interface WarmupAllowance {
  readonly overage: number
  readonly slack: number
}

/** The allowance of a deployment whose settings state none. */
export const NO_WARMUP_ALLOWANCE: WarmupAllowance = { overage: 1, slack: 0 }

/**
 * An upstream counts as cold for this long after the end that it named, and an announcement that names an end which is no
 * later than that is no news. Announcements take different times to arrive.
 */
const TOLERANCE_MILLISECONDS = 250

/** An upstream that was warm, or nearly so, became cold; or one that is cold stays so for longer. */
export const COLD_NEWS = { began: 'began', longer: 'longer' } as const
export type ColdNews = typeof COLD_NEWS[keyof typeof COLD_NEWS]

/** Processes must learn at once of a longer warm-up when they count less than this as left. */
const URGENT_MILLISECONDS = 500

/** The upstream and when the process that holds it counts its warm-up as ended. */
type WarmingUpstream = Pick<RegisteredUpstream, 'announced' | 'warmupEndsAt'>

/** The warm-up limits in force. */
export class ColdUpstreams {
  private limits = new Map<string, PoolWarmup>()
  private isPresumedCold: (instance: string) => boolean = () => false
  private changes = 0

  private constructor (readonly allowance: WarmupAllowance) {}

  static create (allowance: WarmupAllowance = NO_WARMUP_ALLOWANCE): ColdUpstreams {
    return new ColdUpstreams(allowance)
  }

  /** Whether any pool has a warm-up limit. */
  get isActive (): boolean {
    return this.limits.size > 0
  }

  /** Increases when an upstream may have become cold. One that was found not to be cold is not cold before that. */
  get version (): number {
    return this.changes
  }

  /** Call when an upstream may have become cold. */
  recordChange (): void {
    this.changes += 1
  }

  /** Takes over the warm-up limits of a configuration. */
  usePools (pools: readonly ServingPool[]): void {
    this.recordChange()
    this.limits = new Map(pools.flatMap(({ name, warmup }) => warmup === undefined ? [] : [[name, warmup]]))
  }

  /** Sets which upstreams count as cold whatever they announced, as those of a zone whose evacuation has just ended. */
  presume (isPresumedCold: (instance: string) => boolean): void {
    this.isPresumedCold = isPresumedCold
  }

  /** Whether the upstream is cold now, so that the warm-up limit of its pool applies. */
  isCold ({ announced, warmupEndsAt }: WarmingUpstream, now: number): boolean {
    if (announced.gone || !this.limits.has(announced.pool)) return false
    if (this.isPresumedCold(announced.instance)) return true
    return announced.warmupMilliseconds > 0 && now < warmupEndsAt + TOLERANCE_MILLISECONDS
  }

  /** Requests per second that the upstream tolerates now from all entries together; undefined while it is not cold. */
  rateOf (upstream: WarmingUpstream, now: number): number | undefined {
    return this.isCold(upstream, now) ? this.limits.get(upstream.announced.pool)?.requestsPerSecond : undefined
  }

  /** What an announcement says of the warm-up of an upstream that is in use, beyond what was known; undefined for nothing. */
  newsOf (known: WarmingUpstream | undefined, announced: AnnouncedUpstream, now: number): ColdNews | undefined {
    if (known === undefined || known.announced.gone || announced.gone || announced.draining) return undefined
    if (announced.warmupMilliseconds === 0 || !this.limits.has(announced.pool)) return undefined
    const end = latestEnd(known, now)
    if (now + announced.warmupMilliseconds <= end + TOLERANCE_MILLISECONDS) return undefined
    return end - now < URGENT_MILLISECONDS ? COLD_NEWS.began : COLD_NEWS.longer
  }

  /** When the warm-up that is announced ends. One that differs no more than transit times do keeps the end that was passed on. */
  endOf (known: WarmingUpstream | undefined, announced: AnnouncedUpstream, now: number): number {
    const named = now + announced.warmupMilliseconds
    if (known === undefined || known.announced.warmupMilliseconds === 0 || !this.limits.has(announced.pool)) return named
    const isSameEnd = named >= known.warmupEndsAt && named <= known.warmupEndsAt + TOLERANCE_MILLISECONDS
    return isSameEnd && announced.warmupMilliseconds > 0 ? known.warmupEndsAt : named
  }

  /** The announcement as it would be made now: a process that receives it counts the rest of the warm-up from then on. */
  asOf (upstream: WarmingUpstream, now: number): AnnouncedUpstream {
    const { announced, warmupEndsAt } = upstream
    if (announced.warmupMilliseconds === 0 || !this.limits.has(announced.pool)) return announced
    const warmupMilliseconds = Math.min(announced.warmupMilliseconds, Math.max(0, Math.ceil(warmupEndsAt - now)))
    return { ...announced, warmupMilliseconds }
  }
}

function latestEnd ({ announced, warmupEndsAt }: WarmingUpstream, now: number): number {
  return announced.warmupMilliseconds === 0 ? now : Math.max(now, warmupEndsAt)
}

import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import { EjectionPhase, type Advisory, type Ejection, type Verdict } from '@hickoryspoke/protocol/generated/evidence'
import type { HealthPool } from './pool-coordinator.ts'
import { VerdictCache } from './verdict-cache.ts'

const ADVISORY_LIFETIME_MILLISECONDS = 15_000
const REFRESH_MILLISECONDS = 200
const TRIAL_WEIGHT = 0.05
const AVOIDED_WEIGHT = 0.03
const MINIMUM_SLOW_START_WEIGHT = 0.1
const MILLISECONDS_PER_SECOND = 1_000

/** How an entry treats a serving upstream. */
export const Standing = {
  InService: 'in_service',
  SlowStart: 'slow_start',
  Avoided: 'avoided',
  Trial: 'trial',
  Ejected: 'ejected'
} as const
export type Standing = typeof Standing[keyof typeof Standing]

/** How much traffic an upstream should get from this entry, and why. */
export interface UpstreamStanding {
  readonly record: UpstreamRecord
  readonly standing: Standing
  /** Share of the normal traffic, from 0 to 1. */
  readonly weight: number
  readonly reason: string
  readonly observers: readonly string[]
  /** Monotonic time at which this entry adopted the standing. */
  readonly sinceMilliseconds: number
}

/** Dependencies of `PoolStanding`. */
export interface PoolStandingOptions {
  readonly pool: HealthPool
  /** Zone of this entry. */
  readonly zone: string
  readonly announced: () => readonly UpstreamRecord[]
}

type Assessment = Pick<UpstreamStanding, 'standing' | 'weight' | 'reason' | 'observers'>

/** How this entry should treat the upstreams of one pool, combining verdicts, advisories and slow start. */
export class PoolStanding {
  private readonly verdicts = VerdictCache.create()
  private advisories: readonly Advisory[] = []
  private advisoriesUntilMilliseconds = -Infinity
  private current: readonly UpstreamStanding[] = []
  private refreshedMilliseconds = -Infinity
  private readonly returnedAt = new Map<string, number>()
  private pool: HealthPool

  private constructor (private readonly options: PoolStandingOptions) {
    this.pool = options.pool
  }

  static create (options: PoolStandingOptions): PoolStanding {
    return new PoolStanding(options)
  }

  updatePool (pool: HealthPool): void {
    this.pool = pool
    this.invalidate()
  }

  /** Makes the next call of `list` recompute the standings. */
  invalidate (): void {
    this.refreshedMilliseconds = -Infinity
  }

  applyVerdict (verdict: Verdict, now: number): void {
    if (!this.verdicts.store(verdict, now)) return
    this.advisories = verdict.advisories
    this.advisoriesUntilMilliseconds = now + ADVISORY_LIFETIME_MILLISECONDS
    this.invalidate()
  }

  applyAdvisories (_from: string, advisories: readonly Advisory[], now: number): void {
    this.advisories = advisories
    this.advisoriesUntilMilliseconds = now + ADVISORY_LIFETIME_MILLISECONDS
    this.invalidate()
  }

  isRenewalDue (now: number): boolean {
    return this.verdicts.isRenewalDue(now)
  }

  /** The current standings. Returns the same array until it is refreshed, at most every `REFRESH_MILLISECONDS` or after `invalidate`. */
  list (now: number): readonly UpstreamStanding[] {
    if (now < this.refreshedMilliseconds + REFRESH_MILLISECONDS) return this.current
    this.refreshedMilliseconds = now
    const before = new Map(this.current.map((standing) => [standing.record.address, standing]))
    const announced = this.options.announced()
    const ejections = this.verdicts.activeEjections(announced, this.pool.healthy_floor, now)
    this.current = announced.map((record) => this.assess(record, ejections.get(record.address), before.get(record.address), now))
    return this.current
  }

  private assess (record: UpstreamRecord, ejection: Ejection | undefined, before: UpstreamStanding | undefined, now: number): UpstreamStanding {
    const advisory = now < this.advisoriesUntilMilliseconds ? this.advisories.find((candidate) => this.appliesTo(candidate, record.address)) : undefined
    const assessment = assessEjection(ejection) ?? assessAdvisory(advisory)
    const wasOut = before !== undefined && before.standing !== Standing.InService && before.standing !== Standing.SlowStart
    if (assessment === undefined && wasOut) this.returnedAt.set(record.address, now)
    const settled = assessment ?? this.assessSlowStart(record, now)
    const sinceMilliseconds = before?.standing === settled.standing ? before.sinceMilliseconds : now
    return { record, ...settled, sinceMilliseconds }
  }

  private assessSlowStart (record: UpstreamRecord, now: number): Assessment {
    const started = Math.max(record.seenSinceMilliseconds, this.returnedAt.get(record.address) ?? -Infinity)
    const share = (now - started) / (this.pool.policy.slow_start_seconds * MILLISECONDS_PER_SECOND)
    if (share >= 1 || Number.isNaN(share)) return { standing: Standing.InService, weight: 1, reason: '', observers: [] }
    return { standing: Standing.SlowStart, weight: Math.max(MINIMUM_SLOW_START_WEIGHT, share), reason: 'started_or_returned', observers: [] }
  }

  private appliesTo (advisory: Advisory, address: string): boolean {
    return advisory.address === address && (advisory.zone === '' || advisory.zone === this.options.zone)
  }
}

function assessEjection (ejection: Ejection | undefined): Assessment | undefined {
  if (ejection === undefined) return undefined
  const { reason, observers } = ejection
  if (ejection.phase === EjectionPhase.EJECTION_PHASE_TRIAL) return { standing: Standing.Trial, weight: TRIAL_WEIGHT, reason, observers }
  return { standing: Standing.Ejected, weight: 0, reason, observers }
}

function assessAdvisory (advisory: Advisory | undefined): Assessment | undefined {
  if (advisory === undefined) return undefined
  return { standing: Standing.Avoided, weight: AVOIDED_WEIGHT, reason: advisory.reason, observers: advisory.zone === '' ? [] : [advisory.zone] }
}

import type { UpstreamRecord } from '@hickoryspoke/membership/upstream-record'
import { EjectionPhase, type Advisory, type Ejection, type Verdict } from '@hickoryspoke/protocol/generated/evidence'
import type { HealthPool } from './pool-home.ts'
import { VerdictCache } from './verdict-cache.ts'

const ADVISORY_LIFE_MILLISECONDS = 15_000
const REFRESH_MILLISECONDS = 200
const TRIAL_WEIGHT = 0.05
const AVOIDED_WEIGHT = 0.03
const LOWEST_START_WEIGHT = 0.1
const MILLISECONDS_PER_SECOND = 1_000

/** What an entry makes of a serving upstream. */
export const Standing = {
  InService: 'in_service',
  SlowStart: 'slow_start',
  Avoided: 'avoided',
  Trial: 'trial',
  Ejected: 'ejected'
} as const
export type Standing = typeof Standing[keyof typeof Standing]

/** How much work an upstream should get from this entry, and why. */
export interface UpstreamStanding {
  readonly record: UpstreamRecord
  readonly standing: Standing
  /** Share of full work, from 0 to 1. */
  readonly weight: number
  readonly reason: string
  readonly observers: readonly string[]
  /** Monotonic time at which this standing began here. */
  readonly sinceMilliseconds: number
}

/** What the standing of a pool needs. */
export interface PoolStandingOptions {
  readonly pool: HealthPool
  /** Zone of this entry. */
  readonly zone: string
  readonly announced: () => readonly UpstreamRecord[]
}

type Reading = Pick<UpstreamStanding, 'standing' | 'weight' | 'reason' | 'observers'>

/** The upstreams of one pool as this entry should treat them: verdicts, advisories and slow starts together. */
export class PoolStanding {
  private readonly verdicts = VerdictCache.create()
  private advisories: readonly Advisory[] = []
  private advisoriesUntilMilliseconds = -Infinity
  private current: readonly UpstreamStanding[] = []
  private refreshedMilliseconds = -Infinity
  private readonly restarts = new Map<string, number>()
  private pool: HealthPool

  private constructor (private readonly options: PoolStandingOptions) {
    this.pool = options.pool
  }

  static create (options: PoolStandingOptions): PoolStanding {
    return new PoolStanding(options)
  }

  setPool (pool: HealthPool): void {
    this.pool = pool
    this.invalidate()
  }

  /** Has the next reading made anew. */
  invalidate (): void {
    this.refreshedMilliseconds = -Infinity
  }

  takeVerdict (verdict: Verdict, now: number): void {
    if (!this.verdicts.take(verdict, now)) return
    this.advisories = verdict.advisories
    this.advisoriesUntilMilliseconds = now + ADVISORY_LIFE_MILLISECONDS
    this.invalidate()
  }

  takeAdvisories (_from: string, advisories: readonly Advisory[], now: number): void {
    this.advisories = advisories
    this.advisoriesUntilMilliseconds = now + ADVISORY_LIFE_MILLISECONDS
    this.invalidate()
  }

  isRenewalDue (now: number): boolean {
    return this.verdicts.isRenewalDue(now)
  }

  /** The standings now; the same array for a short while. */
  list (now: number): readonly UpstreamStanding[] {
    if (now < this.refreshedMilliseconds + REFRESH_MILLISECONDS) return this.current
    this.refreshedMilliseconds = now
    const before = new Map(this.current.map((standing) => [standing.record.address, standing]))
    const announced = this.options.announced()
    const ejections = this.verdicts.inForce(announced, this.pool.healthy_floor, now)
    this.current = announced.map((record) => this.read(record, ejections.get(record.address), before.get(record.address), now))
    return this.current
  }

  private read (record: UpstreamRecord, ejection: Ejection | undefined, before: UpstreamStanding | undefined, now: number): UpstreamStanding {
    const advisory = now < this.advisoriesUntilMilliseconds ? this.advisories.find((candidate) => this.concerns(candidate, record.address)) : undefined
    const reading = readEjection(ejection) ?? readAdvisory(advisory)
    const wasOut = before !== undefined && before.standing !== Standing.InService && before.standing !== Standing.SlowStart
    if (reading === undefined && wasOut) this.restarts.set(record.address, now)
    const settled = reading ?? this.readStart(record, now)
    const sinceMilliseconds = before?.standing === settled.standing ? before.sinceMilliseconds : now
    return { record, ...settled, sinceMilliseconds }
  }

  private readStart (record: UpstreamRecord, now: number): Reading {
    const started = Math.max(record.seenSinceMilliseconds, this.restarts.get(record.address) ?? -Infinity)
    const share = (now - started) / (this.pool.policy.slow_start_seconds * MILLISECONDS_PER_SECOND)
    if (share >= 1 || Number.isNaN(share)) return { standing: Standing.InService, weight: 1, reason: '', observers: [] }
    return { standing: Standing.SlowStart, weight: Math.max(LOWEST_START_WEIGHT, share), reason: 'started_or_returned', observers: [] }
  }

  private concerns (advisory: Advisory, address: string): boolean {
    return advisory.address === address && (advisory.zone === '' || advisory.zone === this.options.zone)
  }
}

function readEjection (ejection: Ejection | undefined): Reading | undefined {
  if (ejection === undefined) return undefined
  const { reason, observers } = ejection
  if (ejection.phase === EjectionPhase.EJECTION_PHASE_TRIAL) return { standing: Standing.Trial, weight: TRIAL_WEIGHT, reason, observers }
  return { standing: Standing.Ejected, weight: 0, reason, observers }
}

function readAdvisory (advisory: Advisory | undefined): Reading | undefined {
  if (advisory === undefined) return undefined
  return { standing: Standing.Avoided, weight: AVOIDED_WEIGHT, reason: advisory.reason, observers: advisory.zone === '' ? [] : [advisory.zone] }
}

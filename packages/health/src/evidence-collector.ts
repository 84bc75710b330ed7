import type { EvidenceRow, PoolEvidence } from '@hickoryspoke/protocol/generated/evidence'
import { hashName } from '@hickoryspoke/runtime/hashing'
import { AttemptKind, kindProperties, kindNumber, latencyBucket, OutcomeClass, type AttemptOutcome } from './attempt-outcome.ts'

const TAG_RANGE = 2 ** 32
const MAXIMUM_CACHED_TAGS = 5_000
const MAXIMUM_ROWS_PER_POOL = 2_000

/** An attempt with its customer and route, to which a failure may be attributed instead of the upstream. */
export interface ObservedAttempt {
  readonly pool: string
  readonly address: string
  readonly customer: string
  readonly route: string
  readonly outcome: AttemptOutcome
}

interface PendingPool {
  readonly rows: Map<string, EvidenceRow>
  urgent: boolean
}

/** Collects the attempts of this entry until they are reported; equal attempts are counted in one row. */
export class EvidenceCollector {
  private readonly pending = new Map<string, PendingPool>()
  private readonly tags = new Map<string, number>()

  static create (): EvidenceCollector {
    return new EvidenceCollector()
  }

  add (attempt: ObservedAttempt): void {
    const { outcome } = attempt
    if (outcome.blamedOnRequest === true) return
    const kind = kindNumber(outcome.kind)
    const { outcomeClass } = kindProperties(kind)
    if (outcomeClass === OutcomeClass.Neutral) return
    const pool = this.pendingOf(attempt.pool)
    if (outcomeClass === OutcomeClass.Bad) pool.urgent = true
    this.count(pool, attempt, kind)
  }

  /** Removes and returns the evidence that is due: of pools with failures always, of all others only if `all` is set. */
  take (all: boolean): PoolEvidence[] {
    const due: PoolEvidence[] = []
    for (const [pool, pending] of this.pending) {
      if (!all && !pending.urgent) continue
      due.push({ pool, rows: [...pending.rows.values()] })
      this.pending.delete(pool)
    }
    return due
  }

  private count (pool: PendingPool, attempt: ObservedAttempt, kind: number): void {
    const bucket = latencyBucket(attempt.outcome.milliseconds)
    const identity = `${attempt.address} ${kind} ${bucket} ${attempt.customer} ${attempt.route}`
    const row = pool.rows.get(identity)
    if (row !== undefined) {
      row.count += 1
      return
    }
    if (pool.rows.size >= MAXIMUM_ROWS_PER_POOL) return
    const { address } = attempt
    const customerTag = this.tagOf(`customer ${attempt.customer}`)
    const routeTag = this.tagOf(`route ${attempt.route}`)
    pool.rows.set(identity, { address, customerTag, routeTag, kind, latencyBucket: bucket, count: 1 })
  }

  private pendingOf (pool: string): PendingPool {
    const known = this.pending.get(pool)
    if (known !== undefined) return known
    const created = { rows: new Map<string, EvidenceRow>(), urgent: false }
    this.pending.set(pool, created)
    return created
  }

  private tagOf (name: string): number {
    const known = this.tags.get(name)
    if (known !== undefined) return known
    if (this.tags.size >= MAXIMUM_CACHED_TAGS) this.tags.clear()
    const tag = hashName(name) % TAG_RANGE
    this.tags.set(name, tag)
    return tag
  }
}

/** The outcome of an attempt that is still unanswered after several times the mean latency. */
export function overdueOutcome (milliseconds: number): AttemptOutcome {
  return { kind: AttemptKind.Overdue, milliseconds }
}

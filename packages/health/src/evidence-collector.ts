import type { EvidenceRow, PoolEvidence } from '@hickoryspoke/protocol/generated/evidence'
import { hashName } from '@hickoryspoke/runtime/hashing'
import { AttemptKind, kindFacts, kindNumber, latencyBucket, Meaning, type AttemptOutcome } from './attempt-outcome.ts'

const TAG_RANGE = 2 ** 32
const CACHED_TAGS = 5_000
const ROWS_PER_POOL = 2_000

/** An attempt with what its failure might follow. */
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

/** Gathers the attempts of this entry until they are reported, equal ones in one row. */
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
    const { meaning } = kindFacts(kind)
    if (meaning === Meaning.Nothing) return
    const pool = this.pendingOf(attempt.pool)
    if (meaning === Meaning.Bad) pool.urgent = true
    this.count(pool, attempt, kind)
  }

  /** The reports that are due: those with failures at once, the others when `all` is set. */
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
    if (pool.rows.size >= ROWS_PER_POOL) return
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
    if (this.tags.size >= CACHED_TAGS) this.tags.clear()
    const tag = hashName(name) % TAG_RANGE
    this.tags.set(name, tag)
    return tag
  }
}

/** An attempt that is still unanswered after much longer than usual. */
export function overdueOutcome (milliseconds: number): AttemptOutcome {
  return { kind: AttemptKind.Overdue, milliseconds }
}

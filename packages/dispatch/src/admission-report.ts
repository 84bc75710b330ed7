/** Log lines of what a pool refused and for whom, at most one for each pool in an interval. */
import type { DenialReason, PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { reasonName } from './denial-log.ts'

const INTERVAL_MILLISECONDS = 5_000
/** Customers named in a line: those with most refusals. */
const NAMED_CUSTOMERS = 5

interface CustomerCounts {
  placed: number
  refused: number
}

interface PoolCounts {
  placed: number
  refused: number
  /** Refused callers for whom room was reserved. */
  promised: number
  readonly causes: Map<DenialReason, number>
  readonly customers: Map<string, CustomerCounts>
}

/** Counts of the current interval. */
export class AdmissionReport {
  private pools = new Map<string, PoolCounts>()
  private loggedAt = -Infinity

  private constructor (private readonly logger: Logger) {}

  static create (logger: Logger): AdmissionReport {
    return new AdmissionReport(logger)
  }

  countPlaced ({ pool, customer }: PlacementQuestion): void {
    const counts = this.countsOf(pool)
    counts.placed += 1
    customerOf(counts, customer).placed += 1
  }

  countRefusal ({ pool, customer }: PlacementQuestion, reason: DenialReason, isPromised: boolean): void {
    const counts = this.countsOf(pool)
    counts.refused += 1
    if (isPromised) counts.promised += 1
    counts.causes.set(reason, (counts.causes.get(reason) ?? 0) + 1)
    customerOf(counts, customer).refused += 1
  }

  /** Logs the pools that refused requests, once the interval has passed. */
  logDue (now: number, reservationsOf: (pool: string) => number): void {
    if (now - this.loggedAt < INTERVAL_MILLISECONDS) return
    this.loggedAt = now
    for (const [pool, counts] of this.pools) {
      if (counts.refused > 0) this.log(pool, counts, reservationsOf(pool))
    }
    this.pools = new Map()
  }

  private log (pool: string, { placed, refused, promised, causes, customers }: PoolCounts, reservations: number): void {
    const most = [...customers].sort(([, left], [, right]) => right.refused - left.refused).slice(0, NAMED_CUSTOMERS)
    this.logger.info('requests refused', {
      pool,
      placed,
      refused,
      promised,
      reservations,
      causes: [...causes].map(([reason, count]) => `${reasonName(reason)}=${count}`).join(' '),
      customers: most.map(([name, counts]) => `${name}=${counts.placed}/${counts.placed + counts.refused}`).join(' ')
    })
  }

  private countsOf (pool: string): PoolCounts {
    const known = this.pools.get(pool)
    if (known !== undefined) return known
    const created: PoolCounts = { placed: 0, refused: 0, promised: 0, causes: new Map(), customers: new Map() }
    this.pools.set(pool, created)
    return created
  }
}

function customerOf ({ customers }: PoolCounts, name: string): CustomerCounts {
  const known = customers.get(name)
  if (known !== undefined) return known
  const created = { placed: 0, refused: 0 }
  customers.set(name, created)
  return created
}

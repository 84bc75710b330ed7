/** Counts the requests of each customer that an entry admitted within a sliding window. */
import type { AdmittedRequests } from '@hickoryspoke/protocol/generated/dispatch'

/** Times of admissions within a sliding window, by customer. */
export class RecentAdmissions {
  private readonly times = new Map<string, number[]>()

  private constructor (private readonly startedAt: number, private readonly windowMilliseconds: number) {}

  /** `now` in monotonic milliseconds. */
  static create (now: number, windowMilliseconds: number): RecentAdmissions {
    return new RecentAdmissions(now, windowMilliseconds)
  }

  count (customer: string, now: number): void {
    const times = this.times.get(customer) ?? []
    times.push(now)
    while ((times[0] as number) < now - this.windowMilliseconds) times.shift()
    this.times.set(customer, times)
  }

  /** Number of requests within the window, for each customer that had any. */
  admitted (now: number): AdmittedRequests[] {
    const admitted: AdmittedRequests[] = []
    for (const customer of this.times.keys()) {
      const requests = this.countOf(customer, now)
      if (requests > 0) admitted.push({ customer, requests })
      else this.times.delete(customer)
    }
    return admitted
  }

  /** Number of requests of one customer within the window. */
  countOf (customer: string, now: number): number {
    return this.times.get(customer)?.filter((time) => time >= now - this.windowMilliseconds).length ?? 0
  }

  /** Whether counting began at least one window ago, so that the counts are complete. */
  coversWindow (now: number): boolean {
    return now - this.startedAt >= this.windowMilliseconds
  }
}

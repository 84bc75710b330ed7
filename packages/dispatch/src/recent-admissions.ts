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
    for (const [customer, times] of this.times) {
      const requests = times.filter((time) => time >= now - this.windowMilliseconds).length
      if (requests > 0) admitted.push({ customer, requests })
      else this.times.delete(customer)
    }
    return admitted
  }

  /** Requests per second within the window, for each customer that had any. */
  rates (now: number): Map<string, number> {
    return new Map(this.admitted(now).map(({ customer, requests }) => [customer, requests * 1000 / this.windowMilliseconds]))
  }

  /** Whether counting began at least one window ago, so that the counts are complete. */
  coversWindow (now: number): boolean {
    return now - this.startedAt >= this.windowMilliseconds
  }
}

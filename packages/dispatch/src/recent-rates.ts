/** How many of each customer's requests an entry admitted lately. */
import type { AdmittedRequests } from '@hickoryspoke/protocol/generated/dispatch'

/** Times of admissions within a sliding window, by customer. */
export class RecentRates {
  private readonly times = new Map<string, number[]>()

  private constructor (private readonly beganAt: number, private readonly windowMilliseconds: number) {}

  /** `now` in monotonic milliseconds. */
  static create (now: number, windowMilliseconds: number): RecentRates {
    return new RecentRates(now, windowMilliseconds)
  }

  count (customer: string, now: number): void {
    const times = this.times.get(customer) ?? []
    times.push(now)
    while ((times[0] as number) < now - this.windowMilliseconds) times.shift()
    this.times.set(customer, times)
  }

  /** Requests of each customer within the window. */
  admitted (now: number): AdmittedRequests[] {
    const admitted: AdmittedRequests[] = []
    for (const [customer, times] of this.times) {
      const requests = times.filter((time) => time >= now - this.windowMilliseconds).length
      if (requests > 0) admitted.push({ customer, requests })
      else this.times.delete(customer)
    }
    return admitted
  }

  /** Requests per second of each customer that had any. */
  rates (now: number): Map<string, number> {
    return new Map(this.admitted(now).map(({ customer, requests }) => [customer, requests * 1000 / this.windowMilliseconds]))
  }

  /** Whether a whole window has been watched. */
  isWhole (now: number): boolean {
    return now - this.beganAt >= this.windowMilliseconds
  }
}

/** How often each customer's requests were placed lately. */

const WINDOW_MILLISECONDS = 5_000

/** Times of placements within a short window, by customer. */
export class RecentRates {
  private readonly times = new Map<string, number[]>()

  static create (): RecentRates {
    return new RecentRates()
  }

  count (customer: string, now: number): void {
    const times = this.times.get(customer) ?? []
    times.push(now)
    while ((times[0] as number) < now - WINDOW_MILLISECONDS) times.shift()
    this.times.set(customer, times)
  }

  /** Requests per second of each customer that had any. */
  rates (now: number): Map<string, number> {
    const rates = new Map<string, number>()
    for (const [customer, times] of this.times) {
      const recent = times.filter((time) => time >= now - WINDOW_MILLISECONDS).length
      if (recent > 0) rates.set(customer, recent * 1000 / WINDOW_MILLISECONDS)
      else this.times.delete(customer)
    }
    return rates
  }
}

/** Mean response times of a pool's requests, by kind of request: the `route` of the placement question. */

/** Weight of a new response time once several are known. */
const SMOOTHING_FACTOR = 0.05
/** A mean counts as known from this many responses on: the first ones belong to the quickest requests, as all others take longer. */
const MINIMUM_RESPONSES = 20
const INITIAL_MEAN_MILLISECONDS = 300

/** Mean of the first response times, then an exponential moving average. */
class ResponseTime {
  private count = 0
  private mean = 0

  record (milliseconds: number): void {
    this.count += 1
    this.mean += Math.max(SMOOTHING_FACTOR, 1 / this.count) * (milliseconds - this.mean)
  }

  /** Undefined while too few responses are known. */
  get milliseconds (): number | undefined {
    return this.count < MINIMUM_RESPONSES ? undefined : this.mean
  }
}

/** Mean response times of a pool. */
export class ResponseTimes {
  private readonly kinds = new Map<string, ResponseTime>()
  private readonly overall = new ResponseTime()

  static create (): ResponseTimes {
    return new ResponseTimes()
  }

  record (kind: string, milliseconds: number): void {
    const time = this.kinds.get(kind) ?? new ResponseTime()
    this.kinds.set(kind, time)
    time.record(milliseconds)
    this.overall.record(milliseconds)
  }

  /** The usual time of a kind; 0 while unknown. */
  usualMilliseconds (kind: string): number {
    return this.kinds.get(kind)?.milliseconds ?? 0
  }

  /** The mean over all requests. */
  meanMilliseconds (): number {
    return this.overall.milliseconds ?? INITIAL_MEAN_MILLISECONDS
  }
}

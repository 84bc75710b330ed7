/** Mean response times of a pool's requests, by kind of request: the `route` of the placement question. */

const SMOOTHING_FACTOR = 0.05
const INITIAL_MEAN_MILLISECONDS = 300

/** Exponential moving averages of the response times of a pool. */
export class ResponseTimes {
  private readonly means = new Map<string, number>()
  private overall: number | undefined

  static create (): ResponseTimes {
    return new ResponseTimes()
  }

  record (kind: string, milliseconds: number): void {
    this.means.set(kind, movingAverage(this.means.get(kind), milliseconds))
    this.overall = movingAverage(this.overall, milliseconds)
  }

  /** The usual time of a kind; 0 while unknown. */
  usualMilliseconds (kind: string): number {
    return this.means.get(kind) ?? 0
  }

  /** The mean over all requests. */
  meanMilliseconds (): number {
    return this.overall ?? INITIAL_MEAN_MILLISECONDS
  }
}

function movingAverage (mean: number | undefined, milliseconds: number): number {
  return mean === undefined ? milliseconds : mean + SMOOTHING_FACTOR * (milliseconds - mean)
}

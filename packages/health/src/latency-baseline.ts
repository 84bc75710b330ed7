import { bucketMilliseconds, LATENCY_BUCKETS } from './attempt-outcome.ts'

const MINIMUM_SAMPLES = 30
const SAMPLES_BEFORE_HALVING = 2_000
const REFERENCE_QUANTILE = 0.75

/** Usual latency of one route over the whole pool, as a histogram that forgets. */
export class LatencyBaseline {
  private readonly counts = new Float64Array(LATENCY_BUCKETS)
  private total = 0

  static create (): LatencyBaseline {
    return new LatencyBaseline()
  }

  add (bucket: number, count: number): void {
    const index = Math.min(LATENCY_BUCKETS - 1, bucket)
    this.counts[index] = (this.counts[index] as number) + count
    this.total += count
    if (this.total >= SAMPLES_BEFORE_HALVING) this.halve()
  }

  /** Whether enough answers were seen to say what is usual. */
  isKnown (): boolean {
    return this.total >= MINIMUM_SAMPLES
  }

  /** Milliseconds beyond which an answer is slow; Infinity while too little is known. */
  slowBeyondMilliseconds (slowFactor: number): number {
    if (!this.isKnown()) return Infinity
    return bucketMilliseconds(this.quantileBucket()) * slowFactor
  }

  private quantileBucket (): number {
    let sum = 0
    for (let bucket = 0; bucket < LATENCY_BUCKETS; bucket += 1) {
      sum += this.counts[bucket] as number
      if (sum >= this.total * REFERENCE_QUANTILE) return bucket
    }
    return LATENCY_BUCKETS - 1
  }

  private halve (): void {
    for (let bucket = 0; bucket < LATENCY_BUCKETS; bucket += 1) this.counts[bucket] = (this.counts[bucket] as number) / 2
    this.total /= 2
  }
}

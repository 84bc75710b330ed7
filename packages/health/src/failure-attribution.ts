import { DecayedCount } from './decayed-count.ts'

const DECAY_MILLISECONDS = 10_000
const MINIMUM_OTHER_ATTEMPTS = 3
const MAXIMUM_TRACKED_TAGS = 2_000

/** Distinguishes failures caused by a customer's requests or by a route from those caused by an upstream. */
export class FailureAttribution {
  private readonly tags = new Map<number, Map<string, DecayedCount>>()

  static create (): FailureAttribution {
    return new FailureAttribution()
  }

  /** Counts attempts by the tag of a customer or a route. A tag is tracked from its first failure on. */
  count (tag: number, address: string, good: number, bad: number, nowMilliseconds: number): void {
    const known = this.tags.get(tag)
    if (known === undefined && bad === 0) return
    const byAddress = known ?? this.track(tag)
    const counts = byAddress.get(address) ?? DecayedCount.create(DECAY_MILLISECONDS)
    byAddress.set(address, counts)
    counts.add(good, bad, nowMilliseconds)
  }

  /**
   * Median share of this tag's attempts that fail on other upstreams, which is the part of a failure not caused by
   * this upstream. 0 while there are too few attempts elsewhere to tell.
   */
  shareElsewhere (tag: number, address: string, nowMilliseconds: number): number {
    const shares: number[] = []
    let attempts = 0
    for (const [other, counts] of this.tags.get(tag) ?? []) {
      const total = counts.total(nowMilliseconds)
      if (other === address || total < 0.5) continue
      attempts += total
      shares.push(counts.badShare(nowMilliseconds))
    }
    if (attempts < MINIMUM_OTHER_ATTEMPTS || shares.length < 2) return 0
    return median(shares)
  }

  private track (tag: number): Map<string, DecayedCount> {
    if (this.tags.size >= MAXIMUM_TRACKED_TAGS) this.tags.delete(this.tags.keys().next().value as number)
    const byAddress = new Map<string, DecayedCount>()
    this.tags.set(tag, byAddress)
    return byAddress
  }
}

/** The median of a list of numbers; 0 for an empty list. */
export function median (values: readonly number[]): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((left, right) => left - right)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle] as number : ((sorted[middle - 1] as number) + (sorted[middle] as number)) / 2
}

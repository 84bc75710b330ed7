import { DecayedCount } from './decayed-count.ts'

const FADE_MILLISECONDS = 10_000
const MINIMUM_OTHER_ATTEMPTS = 3
const MAXIMUM_TRACKED_TAGS = 2_000

/** Tells failures that follow a customer or a route from those that follow an upstream. */
export class FailureAttribution {
  private readonly tags = new Map<number, Map<string, DecayedCount>>()

  static create (): FailureAttribution {
    return new FailureAttribution()
  }

  /** Counts attempts under a tag; tags are followed from their first failure on. */
  count (tag: number, address: string, good: number, bad: number, nowMilliseconds: number): void {
    const known = this.tags.get(tag)
    if (known === undefined && bad === 0) return
    const byAddress = known ?? this.track(tag)
    const counts = byAddress.get(address) ?? DecayedCount.create(FADE_MILLISECONDS)
    byAddress.set(address, counts)
    counts.add(good, bad, nowMilliseconds)
  }

  /** Share of this tag's attempts that fail on other upstreams too: the part of a failure that is not the upstream's own. */
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

/** The middle of a list of numbers; 0 for an empty one. */
export function median (values: readonly number[]): number {
  if (values.length === 0) return 0
  const sorted = [...values].sort((left, right) => left - right)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle] as number : ((sorted[middle - 1] as number) + (sorted[middle] as number)) / 2
}

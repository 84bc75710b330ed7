/** Counts by depth, with sums over all smaller depths. Changing a count and summing cost the same for any number of requests. */

/** Requests at this depth or deeper are counted together. */
const MAXIMUM_DEPTH = 1_024

/** A Fenwick tree over the depths 0 to `MAXIMUM_DEPTH` - 1. */
export class DepthCounts {
  private readonly sums = new Int32Array(MAXIMUM_DEPTH + 1)

  static create (): DepthCounts {
    return new DepthCounts()
  }

  /** Adds `change` to the count at a depth. */
  add (depth: number, change: number): void {
    for (let index = Math.min(depth, MAXIMUM_DEPTH - 1) + 1; index <= MAXIMUM_DEPTH; index += index & -index) {
      this.sums[index] = (this.sums[index] as number) + change
    }
  }

  /** Sum of the counts up to and including a depth. */
  upTo (depth: number): number {
    let sum = 0
    for (let index = Math.min(depth, MAXIMUM_DEPTH - 1) + 1; index > 0; index -= index & -index) sum += this.sums[index] as number
    return sum
  }
}

import type { RandomSource } from '@hickoryspoke/runtime/random'

const COMPARABLE_FACTOR = 2.5

/**
 * Draws two different indexes at random by weight and returns the one of lower cost; -1 if no weight is above zero.
 * If the two weights differ too much, the first is returned without comparing costs, so that an index of low weight
 * gets exactly the small share that its weight stands for.
 */
export function pickIndex (random: RandomSource, weights: readonly number[], costOf: (index: number) => number): number {
  const first = drawByWeight(random, weights, -1)
  if (first < 0) return -1
  const second = drawByWeight(random, weights, first)
  if (second < 0 || !areComparable(weights[first] as number, weights[second] as number)) return first
  return costOf(second) < costOf(first) ? second : first
}

function areComparable (left: number, right: number): boolean {
  return Math.max(left, right) <= Math.min(left, right) * COMPARABLE_FACTOR
}

function drawByWeight (random: RandomSource, weights: readonly number[], except: number): number {
  const total = weights.reduce((sum, weight, index) => index === except ? sum : sum + weight, 0)
  if (total <= 0) return -1
  let left = random.next() * total
  let last = -1
  for (const [index, weight] of weights.entries()) {
    if (index === except || weight <= 0) continue
    last = index
    left -= weight
    if (left < 0) return index
  }
  return last
}

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Source of random numbers, injected so that a test run can be reproduced from its seed. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next (): number
}

/** Deterministic generator: the same seed yields the same sequence. */
export class SeededRandom implements RandomSource {
  private constructor (private readonly generator: ReturnType<typeof xoroshiro128plus>) {}

  static create (seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed))
  }

  next (): number {
    return uniformFloat64(this.generator)
  }
}

/** Random numbers from `Math.random`, for production use. */
export class SystemRandom implements RandomSource {
  static create (): SystemRandom {
    return new SystemRandom()
  }

  next (): number {
    return Math.random()
  }
}

/** Returns an integer in [0, limit). */
export function randomBelow (random: RandomSource, limit: number): number {
  return Math.floor(random.next() * limit)
}

/** Returns a random element of a non-empty list. */
export function pickOne<Value> (random: RandomSource, values: readonly Value[]): Value {
  return values[randomBelow(random, values.length)] as Value
}

/** Returns a copy of a list in random order (Fisher-Yates). */
export function shuffled<Value> (random: RandomSource, values: readonly Value[]): Value[] {
  const copy = [...values]
  for (let index = copy.length - 1; index > 0; index -= 1) {
    const swapIndex = randomBelow(random, index + 1)
    const held = copy[index] as Value
    copy[index] = copy[swapIndex] as Value
    copy[swapIndex] = held
  }
  return copy
}

/** Returns the time to the next arrival of a Poisson process with the given rate. */
export function nextArrivalMilliseconds (random: RandomSource, ratePerSecond: number): number {
  return -Math.log(1 - random.next()) / ratePerSecond * 1000
}

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Source of random numbers, passed in so that a run can be repeated from its seed. */
export interface RandomSource {
  /** A number at least 0 and below 1. */
  next (): number
}

/** Seeded random numbers: the same seed gives the same sequence. */
export class SeededRandom implements RandomSource {
  private constructor (private readonly generator: ReturnType<typeof xoroshiro128plus>) {}

  static create (seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed))
  }

  next (): number {
    return uniformFloat64(this.generator)
  }
}

/** Random numbers of the JavaScript engine, for running programs. */
export class SystemRandom implements RandomSource {
  static create (): SystemRandom {
    return new SystemRandom()
  }

  next (): number {
    return Math.random()
  }
}

/** A whole number at least 0 and below `limit`. */
export function randomBelow (random: RandomSource, limit: number): number {
  return Math.floor(random.next() * limit)
}

/** One element of a list that is not empty. */
export function pickOne<Value> (random: RandomSource, values: readonly Value[]): Value {
  return values[randomBelow(random, values.length)] as Value
}

/** A shuffled copy of a list. */
export function shuffled<Value> (random: RandomSource, values: readonly Value[]): Value[] {
  const copy = [...values]
  for (let index = copy.length - 1; index > 0; index -= 1) {
    const other = randomBelow(random, index + 1)
    const held = copy[index] as Value
    copy[index] = copy[other] as Value
    copy[other] = held
  }
  return copy
}

/** An exponentially distributed time in milliseconds, for arrivals at `ratePerSecond`. */
export function nextArrivalMilliseconds (random: RandomSource, ratePerSecond: number): number {
  return -Math.log(1 - random.next()) / ratePerSecond * 1000
}

/** Random sources of a stop soak, one for each purpose. */
import { createHash } from 'node:crypto'
import { SeededRandom, type RandomSource } from '../packages/runtime/src/random.ts'

/** A source for one purpose. The seed is hashed with it, as the first numbers of neighbouring seeds resemble each other. */
export function randomFor (seed: number, purpose: string): RandomSource {
  return SeededRandom.create(createHash('sha256').update(`${seed} ${purpose}`).digest().readInt32LE())
}

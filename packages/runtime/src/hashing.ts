import { createHash, hash } from 'node:crypto'

/** Prefix of SHA-256 digests in files and messages. */
export const DIGEST_PREFIX = 'sha256:'

/** SHA-256 digest formatted as `sha256:` followed by 64 hexadecimal digits. */
export function sha256Digest (content: string | Uint8Array): string {
  return DIGEST_PREFIX + createHash('sha256').update(content).digest('hex')
}

const HASH_HEXADECIMAL_DIGITS = 13

/** Maps a name to a uniformly distributed integer below 2^52. The result is the same on every machine. */
export function hashName (name: string): number {
  return Number.parseInt(hash('sha1', name, 'hex').slice(0, HASH_HEXADECIMAL_DIGITS), 16)
}

/**
 * Sorts members by their rendezvous (highest random weight) hash for a key, highest first.
 * Adding or removing a member does not change the relative order of the others.
 */
export function rendezvousOrder (key: string, members: readonly string[]): string[] {
  const weighted = members.map((member) => ({ member, weight: hashName(`${key}\u0000${member}`) }))
  weighted.sort((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
  return weighted.map((item) => item.member)
}

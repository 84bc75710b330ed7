import { createHash, hash } from 'node:crypto'

/** Prefix of every SHA-256 digest in files and messages. */
export const DIGEST_PREFIX = 'sha256:'

/** SHA-256 of text or bytes as `sha256:` and 64 hexadecimal digits. */
export function sha256Digest (content: string | Uint8Array): string {
  return DIGEST_PREFIX + createHash('sha256').update(content).digest('hex')
}

const WEIGHT_HEXADECIMAL_DIGITS = 13

/** A whole number below 2^52 derived from a name, evenly spread and equal on every machine. */
export function hashName (name: string): number {
  return Number.parseInt(hash('sha1', name, 'hex').slice(0, WEIGHT_HEXADECIMAL_DIGITS), 16)
}

/**
 * Members ordered by rendezvous weight for a subject, highest first.
 * Adding or losing one member moves only the subjects for which it ranks.
 */
export function rendezvousOrder (subject: string, members: readonly string[]): string[] {
  const weighted = members.map((member) => ({ member, weight: hashName(`${subject}\u0000${member}`) }))
  weighted.sort((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
  return weighted.map((item) => item.member)
}

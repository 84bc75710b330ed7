import { hash } from 'node:crypto'
import type { CustomerKey } from '@hickoryspoke/configuration/desired-state'
import { DIGEST_PREFIX } from '@hickoryspoke/runtime/hashing'

const BEARER = /^Bearer +([\x21-\x7e]+) *$/i
const MAXIMUM_KEY_CHARACTERS = 512
const SHORTEST_KEY_CHARACTERS = 8

/** The key in an Authorization header, or nothing when the header has another form. */
export function bearerKey (authorization: string | undefined): string | undefined {
  if (authorization === undefined || authorization.length > MAXIMUM_KEY_CHARACTERS) return undefined
  return BEARER.exec(authorization)?.[1]
}

/** Digest of a key in the form of the desired-state file. */
export function keyDigest (key: string): string {
  return DIGEST_PREFIX + hash('sha256', key, 'hex')
}

/** Customers by the digest of their keys. Holds and shows digests only, never a key. */
export class KeyTable {
  private constructor (private readonly customers: ReadonlyMap<string, string>) {}

  static create (keys: readonly CustomerKey[]): KeyTable {
    return new KeyTable(new Map(keys.map((key) => [key.digest, key.customer])))
  }

  /** Whether a text is a key that is in force, wherever it was found. */
  isKey (text: string): boolean {
    return text.length >= SHORTEST_KEY_CHARACTERS && text.length <= MAXIMUM_KEY_CHARACTERS && this.customers.has(keyDigest(text))
  }

  /** The customer whose key has this digest. */
  customerOf (digest: string): string | undefined {
    return this.customers.get(digest)
  }
}

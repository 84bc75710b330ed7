import { hash } from 'node:crypto'
import type { CustomerKey } from '@hickoryspoke/configuration/desired-state'
import { DIGEST_PREFIX } from '@hickoryspoke/runtime/hashing'

const BEARER = /^Bearer +([\x21-\x7e]+) *$/i
const MAXIMUM_KEY_CHARACTERS = 512
const MINIMUM_KEY_CHARACTERS = 8

/** Extracts the key from an Authorization header. Returns undefined if it is not a bearer credential. */
export function bearerKey (authorization: string | undefined): string | undefined {
  if (authorization === undefined || authorization.length > MAXIMUM_KEY_CHARACTERS) return undefined
  return BEARER.exec(authorization)?.[1]
}

/** Digest of a key, as written in the desired-state file. */
export function keyDigest (key: string): string {
  return DIGEST_PREFIX + hash('sha256', key, 'hex')
}

/** Finds customers by the digests of their keys. Stores digests only, never a key. */
export class KeyTable {
  private constructor (private readonly customers: ReadonlyMap<string, string>) {}

  static create (keys: readonly CustomerKey[]): KeyTable {
    return new KeyTable(new Map(keys.map((key) => [key.digest, key.customer])))
  }

  /** Whether a text, from any part of a request, is a valid key. */
  isKey (text: string): boolean {
    return text.length >= MINIMUM_KEY_CHARACTERS && text.length <= MAXIMUM_KEY_CHARACTERS && this.customers.has(keyDigest(text))
  }

  /** Returns the customer whose key has this digest. */
  customerOf (digest: string): string | undefined {
    return this.customers.get(digest)
  }
}

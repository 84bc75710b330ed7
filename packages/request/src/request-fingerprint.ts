import { createHash } from 'node:crypto'
import type { RequestBody } from './request-body.ts'

const CRASH_HEAD_BYTES = 4096
const FINGERPRINT_BYTES = 16
const SEPARATOR = '\u0000'

/** What an Idempotency-Key is bound to: method, path with query, and the whole body. */
export function contentFingerprint (method: string, pathAndQuery: string, body: RequestBody): string {
  return digestOf([method, pathAndQuery, body.headDigest(Number.MAX_SAFE_INTEGER)])
}

/** What requests that crash upstreams are known by: customer, method, path and the head of the body. */
export function crashFingerprint (customer: string, method: string, path: string, body: RequestBody): string {
  return digestOf([customer, method, path, body.headDigest(CRASH_HEAD_BYTES)])
}

function digestOf (parts: readonly string[]): string {
  return createHash('sha256').update(parts.join(SEPARATOR)).digest().toString('base64url', 0, FINGERPRINT_BYTES)
}

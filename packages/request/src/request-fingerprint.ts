import { createHash } from 'node:crypto'
import type { RequestBody } from './request-body.ts'

const CRASH_FINGERPRINT_BODY_BYTES = 4096
const FINGERPRINT_BYTES = 16
const SEPARATOR = '\u0000'

/** Fingerprint of the content to which an Idempotency-Key is bound: method, path with query, and complete body. */
export function contentFingerprint (method: string, pathAndQuery: string, body: RequestBody): string {
  return digestOf([method, pathAndQuery, body.headDigest(Number.MAX_SAFE_INTEGER)])
}

/** Fingerprint by which crash detection groups requests: customer, method, path without query, and the start of the body. */
export function crashFingerprint (customer: string, method: string, path: string, body: RequestBody): string {
  return digestOf([customer, method, path, body.headDigest(CRASH_FINGERPRINT_BODY_BYTES)])
}

function digestOf (parts: readonly string[]): string {
  return createHash('sha256').update(parts.join(SEPARATOR)).digest().toString('base64url', 0, FINGERPRINT_BYTES)
}

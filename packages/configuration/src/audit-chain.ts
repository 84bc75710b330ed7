import { Failure } from '@hickoryspoke/runtime/failure'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { Err, Ok, type Result } from 'ts-results-es'
import type { DifferenceSummary } from './difference.ts'
import type { FileIdentity } from './identified-state.ts'

/** Kind of event that an audit line records. */
export type AuditKind = 'accepted' | 'refused' | 'dispute' | 'decided' | 'membership'

/** One audited event. `time` is the wall-clock time of the proposer, for human readers only. */
export interface AuditEvent {
  readonly kind: AuditKind
  readonly outcome: string
  readonly operator: string
  readonly role: string
  readonly time: string
  readonly identity?: FileIdentity
  readonly difference?: DifferenceSummary
  readonly details?: Readonly<Record<string, string | number | readonly string[]>>
}

/** An event in the hash chain. `digest` covers the record without `digest` itself; `previous` is the digest of the preceding line. */
export interface AuditRecord extends AuditEvent {
  readonly sequence: number
  readonly previous: string
  readonly digest: string
}

/** Value of `previous` in the first line of a trail. */
export const FIRST_AUDIT_ANCHOR = sha256Digest('hickoryspoke audit trail')

/** Verification failed at `sequence`: a line was removed, inserted or altered. */
export class BrokenAuditChain extends Failure {
  readonly code = 'broken_audit_chain'

  private constructor (readonly sequence: number, reason: string) {
    super(`line ${sequence}: ${reason}`)
  }

  static create (sequence: number, reason: string): BrokenAuditChain {
    return new BrokenAuditChain(sequence, reason)
  }
}

/** Sequence number and digest of a line; the next line must follow both. */
export interface AuditPosition {
  readonly sequence: number
  readonly digest: string
}

/** Position before the first line of a trail. */
export const AUDIT_START: AuditPosition = { sequence: 0, digest: FIRST_AUDIT_ANCHOR }

/** Formats an event as the line that follows `before`, and returns the position after it. */
export function chainAuditEvent (event: AuditEvent, before: AuditPosition): { readonly line: string, readonly after: AuditPosition } {
  const sequence = before.sequence + 1
  const content = { sequence, ...event, previous: before.digest }
  const digest = sha256Digest(JSON.stringify(content))
  return { line: JSON.stringify({ ...content, digest }), after: { sequence, digest } }
}

/** Returns the position after a line without verifying the line. */
export function positionAfter (line: string): AuditPosition {
  const { sequence, digest } = JSON.parse(line) as AuditRecord
  return { sequence, digest }
}

/**
 * Verifies one line against the position before it.
 * Without a position, the line is taken as the first one that rotation kept, and its `previous` is trusted.
 */
export function verifyAuditLine (line: string, before: AuditPosition | undefined): Result<AuditPosition, BrokenAuditChain> {
  const record = readRecord(line)
  const expected = (before?.sequence ?? 0) + 1
  if (record === undefined) return Err(BrokenAuditChain.create(expected, 'not a valid audit record'))
  const { digest, ...content } = record
  if (sha256Digest(JSON.stringify(content)) !== digest || JSON.stringify(record) !== line) {
    return Err(BrokenAuditChain.create(record.sequence, 'the line does not match its digest'))
  }
  const start = before ?? (record.sequence === 1 ? AUDIT_START : { sequence: record.sequence - 1, digest: record.previous })
  if (record.sequence !== start.sequence + 1) return Err(BrokenAuditChain.create(start.sequence + 1, `found line ${record.sequence} instead`))
  if (record.previous !== start.digest) return Err(BrokenAuditChain.create(record.sequence, 'does not chain to the previous line'))
  return Ok({ sequence: record.sequence, digest })
}

function readRecord (line: string): AuditRecord | undefined {
  try {
    return JSON.parse(line) as AuditRecord
  } catch {
    return undefined
  }
}

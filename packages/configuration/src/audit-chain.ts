import { Failure } from '@hickoryspoke/runtime/failure'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { Err, Ok, type Result } from 'ts-results-es'
import type { DifferenceSummary } from './difference.ts'
import type { FileIdentity } from './identified-state.ts'

/** What an audit line tells of. */
export type AuditKind = 'accepted' | 'refused' | 'dispute' | 'decided' | 'membership'

/** One event as the trail records it. Times are the proposer's wall time, for people only. */
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

/** An event in the chain: `digest` covers the line without itself, `previous` is the digest of the line before. */
export interface AuditRecord extends AuditEvent {
  readonly sequence: number
  readonly previous: string
  readonly digest: string
}

/** Digest that the first line of a trail continues from. */
export const FIRST_AUDIT_ANCHOR = sha256Digest('hickoryspoke audit trail')

/** A line of the audit trail that was removed, added or altered. */
export class BrokenAuditChain extends Failure {
  readonly code = 'broken_audit_chain'

  private constructor (readonly sequence: number, reason: string) {
    super(`line ${sequence}: ${reason}`)
  }

  static create (sequence: number, reason: string): BrokenAuditChain {
    return new BrokenAuditChain(sequence, reason)
  }
}

/** Where a verified chain ends, from where the next line must go on. */
export interface AuditPosition {
  readonly sequence: number
  readonly digest: string
}

/** The position before the first line of all. */
export const AUDIT_START: AuditPosition = { sequence: 0, digest: FIRST_AUDIT_ANCHOR }

/** The line of an event that follows a position, and the position after it. */
export function chainAuditEvent (event: AuditEvent, before: AuditPosition): { readonly line: string, readonly after: AuditPosition } {
  const sequence = before.sequence + 1
  const content = { sequence, ...event, previous: before.digest }
  const digest = sha256Digest(JSON.stringify(content))
  return { line: JSON.stringify({ ...content, digest }), after: { sequence, digest } }
}

/** The position after a line, taken as it stands. */
export function positionAfter (line: string): AuditPosition {
  const { sequence, digest } = JSON.parse(line) as AuditRecord
  return { sequence, digest }
}

/** Checks one line against the position before it; without one, the line is the first that rotation left. */
export function verifyAuditLine (line: string, before: AuditPosition | undefined): Result<AuditPosition, BrokenAuditChain> {
  const record = readRecord(line)
  const expected = (before?.sequence ?? 0) + 1
  if (record === undefined) return Err(BrokenAuditChain.create(expected, 'not a line of the trail'))
  const { digest, ...content } = record
  if (sha256Digest(JSON.stringify(content)) !== digest || JSON.stringify(record) !== line) {
    return Err(BrokenAuditChain.create(record.sequence, 'the line was altered'))
  }
  const start = before ?? (record.sequence === 1 ? AUDIT_START : { sequence: record.sequence - 1, digest: record.previous })
  if (record.sequence !== start.sequence + 1) return Err(BrokenAuditChain.create(start.sequence + 1, `line ${record.sequence} stands in its place`))
  if (record.previous !== start.digest) return Err(BrokenAuditChain.create(record.sequence, 'does not continue the line before'))
  return Ok({ sequence: record.sequence, digest })
}

function readRecord (line: string): AuditRecord | undefined {
  try {
    return JSON.parse(line) as AuditRecord
  } catch {
    return undefined
  }
}

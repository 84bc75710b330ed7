import type { DifferenceSummary } from '@hickoryspoke/configuration/difference'
import type { FileIdentity } from '@hickoryspoke/configuration/identified-state'
import type { AuditSnapshot } from '@hickoryspoke/protocol/generated/command'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'

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

/** Lines kept by each replica; older ones leave by rotation and the chain continues from an anchor. */
export const AUDIT_LINES_KEPT = 10_000

/** Events chained by SHA-256, bounded by rotation. */
export class AuditTrail {
  private lines: string[] = []
  private anchorSequence = 0
  private anchorDigest = FIRST_AUDIT_ANCHOR
  private lastDigest = FIRST_AUDIT_ANCHOR

  private constructor (private readonly linesKept: number) {}

  static create (linesKept: number = AUDIT_LINES_KEPT): AuditTrail {
    return new AuditTrail(linesKept)
  }

  /** Sequence of the last line; 0 when there is none. */
  get lastSequence (): number {
    return this.anchorSequence + this.lines.length
  }

  append (event: AuditEvent): void {
    const content = { sequence: this.lastSequence + 1, ...event, previous: this.lastDigest }
    const digest = sha256Digest(JSON.stringify(content))
    this.lines.push(JSON.stringify({ ...content, digest }))
    this.lastDigest = digest
    if (this.lines.length > this.linesKept) this.rotate()
  }

  /** Lines from a sequence on, as far as they are kept, `limit` at most. */
  linesFrom (sequence: number, limit: number): { readonly sequence: number, readonly line: string }[] {
    const first = Math.max(sequence, this.anchorSequence + 1)
    const start = first - this.anchorSequence - 1
    return this.lines.slice(start, start + limit).map((line, index) => ({ sequence: first + index, line }))
  }

  snapshot (): AuditSnapshot {
    return { anchorSequence: this.anchorSequence, anchorDigest: this.anchorDigest, lines: [...this.lines] }
  }

  restore (snapshot: AuditSnapshot): void {
    this.anchorSequence = snapshot.anchorSequence
    this.anchorDigest = snapshot.anchorDigest
    this.lines = [...snapshot.lines]
    const last = this.lines.at(-1)
    this.lastDigest = last === undefined ? this.anchorDigest : (JSON.parse(last) as AuditRecord).digest
  }

  private rotate (): void {
    const dropped = this.lines.shift()
    if (dropped === undefined) return
    this.anchorSequence += 1
    this.anchorDigest = (JSON.parse(dropped) as AuditRecord).digest
  }
}

import { AUDIT_START, chainAuditEvent, positionAfter, type AuditEvent, type AuditPosition } from '@hickoryspoke/configuration/audit-chain'
import type { AuditSnapshot } from '@hickoryspoke/protocol/generated/command'

/** Number of lines each replica keeps. Older lines are rotated out, and the chain starts from the last line removed. */
export const MAXIMUM_AUDIT_LINES = 10_000

/** A SHA-256 hash chain of audited events, bounded by rotation. */
export class AuditTrail {
  private lines: string[] = []
  private anchor: AuditPosition = AUDIT_START
  private last: AuditPosition = AUDIT_START

  private constructor (private readonly maximumLines: number) {}

  static create (maximumLines: number = MAXIMUM_AUDIT_LINES): AuditTrail {
    return new AuditTrail(maximumLines)
  }

  /** Sequence number of the last line; 0 before the first. */
  get lastSequence (): number {
    return this.last.sequence
  }

  append (event: AuditEvent): void {
    const { line, after } = chainAuditEvent(event, this.last)
    this.lines.push(line)
    this.last = after
    if (this.lines.length > this.maximumLines) this.rotate()
  }

  /** Returns up to `limit` of the lines still kept, starting at a sequence number. */
  linesFrom (sequence: number, limit: number): { readonly sequence: number, readonly line: string }[] {
    const first = Math.max(sequence, this.anchor.sequence + 1)
    const start = first - this.anchor.sequence - 1
    return this.lines.slice(start, start + limit).map((line, index) => ({ sequence: first + index, line }))
  }

  snapshot (): AuditSnapshot {
    return { anchorSequence: this.anchor.sequence, anchorDigest: this.anchor.digest, lines: [...this.lines] }
  }

  restore (snapshot: AuditSnapshot): void {
    this.anchor = { sequence: snapshot.anchorSequence, digest: snapshot.anchorDigest }
    this.lines = [...snapshot.lines]
    const line = this.lines.at(-1)
    this.last = line === undefined ? this.anchor : positionAfter(line)
  }

  private rotate (): void {
    const dropped = this.lines.shift()
    if (dropped !== undefined) this.anchor = positionAfter(dropped)
  }
}

import { AUDIT_START, chainAuditEvent, positionAfter, type AuditEvent, type AuditPosition } from '@hickoryspoke/configuration/audit-chain'
import type { AuditSnapshot } from '@hickoryspoke/protocol/generated/command'

/** Lines kept by each replica; older ones leave by rotation and the chain continues from an anchor. */
export const AUDIT_LINES_KEPT = 10_000

/** Events chained by SHA-256, bounded by rotation. */
export class AuditTrail {
  private lines: string[] = []
  private anchor: AuditPosition = AUDIT_START
  private last: AuditPosition = AUDIT_START

  private constructor (private readonly linesKept: number) {}

  static create (linesKept: number = AUDIT_LINES_KEPT): AuditTrail {
    return new AuditTrail(linesKept)
  }

  /** Sequence of the last line; 0 when there is none. */
  get lastSequence (): number {
    return this.last.sequence
  }

  append (event: AuditEvent): void {
    const { line, after } = chainAuditEvent(event, this.last)
    this.lines.push(line)
    this.last = after
    if (this.lines.length > this.linesKept) this.rotate()
  }

  /** Lines from a sequence on, as far as they are kept, `limit` at most. */
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

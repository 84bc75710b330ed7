import type { AcceptedRecord } from '@hickoryspoke/protocol/generated/command'

/** Accepted files whose identity is remembered, so that a resend gets its first answer; three days at 3,000 a day. */
export const ACCEPTED_FILES_REMEMBERED = 10_000

/** Accepted files by number, oldest first. */
export class AcceptedHistory {
  private records = new Map<number, AcceptedRecord>()
  private latest: AcceptedRecord | undefined

  static create (): AcceptedHistory {
    return new AcceptedHistory()
  }

  /** Whether a file was accepted and is still remembered. */
  has (number: number, digest: string): boolean {
    return this.records.get(number)?.digest === digest
  }

  /** The record of the file in force. */
  last (): AcceptedRecord | undefined {
    return this.latest
  }

  /** The accepted file of a number. */
  find (number: number): AcceptedRecord | undefined {
    return this.records.get(number)
  }

  add (record: AcceptedRecord): void {
    this.records.set(record.number, record)
    this.latest = record
    if (this.records.size <= ACCEPTED_FILES_REMEMBERED) return
    const [oldest] = this.records.keys()
    if (oldest !== undefined) this.records.delete(oldest)
  }

  snapshot (): AcceptedRecord[] {
    return [...this.records.values()]
  }

  restore (records: readonly AcceptedRecord[]): void {
    this.records = new Map(records.map((record) => [record.number, record]))
    this.latest = records.at(-1)
  }
}

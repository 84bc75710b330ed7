import type { AcceptedRecord } from '@hickoryspoke/protocol/generated/command'

/** Number of accepted files whose identity is kept, so that a resent file gets its original answer: three days at 3,000 files a day. */
export const MAXIMUM_ACCEPTED_FILES = 10_000

/** The most recently accepted files by number. */
export class AcceptedHistory {
  private records = new Map<number, AcceptedRecord>()
  private latest: AcceptedRecord | undefined

  static create (): AcceptedHistory {
    return new AcceptedHistory()
  }

  /** Whether a file was accepted and its record is still kept. */
  has (number: number, digest: string): boolean {
    return this.records.get(number)?.digest === digest
  }

  /** The record of the file in force. */
  last (): AcceptedRecord | undefined {
    return this.latest
  }

  /** The record of the accepted file with a number, if still kept. */
  find (number: number): AcceptedRecord | undefined {
    return this.records.get(number)
  }

  add (record: AcceptedRecord): void {
    this.records.set(record.number, record)
    this.latest = record
    if (this.records.size <= MAXIMUM_ACCEPTED_FILES) return
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

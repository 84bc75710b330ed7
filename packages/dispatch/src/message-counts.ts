/** Counts the messages that a process exchanges, by kind, so that its log can tell what it spends its time on. */

/** Number of messages by kind since the previous reading. */
export class MessageCounts {
  private counts = new Map<string, number>()

  private constructor () {}

  static create (): MessageCounts {
    return new MessageCounts()
  }

  /** Counts one message; `kind` is empty for a message without a body. */
  record (kind: string): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1)
  }

  /** Returns what was counted since the previous call, as fields for a log line such as `sentNumber`. */
  readFields (direction: 'sent' | 'received'): Record<string, number> {
    const fields: Record<string, number> = {}
    for (const [kind, count] of this.counts) fields[`${direction}${kind.charAt(0).toUpperCase()}${kind.slice(1)}`] = count
    this.counts = new Map()
    return fields
  }
}

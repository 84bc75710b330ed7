/** Counts the messages that a dispatch service handles, and the time spent on them, by kind. */

/** Messages of one kind since the previous reading. */
export interface KindLoad {
  count: number
  /** Time spent on handling them. */
  milliseconds: number
}

/** Counters by kind of message. */
export class MessageLoad {
  private byKind = new Map<string, KindLoad>()

  static create (): MessageLoad {
    return new MessageLoad()
  }

  record (kind: string, milliseconds: number): void {
    const load = this.byKind.get(kind) ?? { count: 0, milliseconds: 0 }
    load.count += 1
    load.milliseconds += milliseconds
    this.byKind.set(kind, load)
  }

  /** Returns what was recorded since the previous call. */
  read (): ReadonlyMap<string, KindLoad> {
    const read = this.byKind
    this.byKind = new Map()
    return read
  }
}

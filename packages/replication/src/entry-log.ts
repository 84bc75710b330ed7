import type { LogEntry, ReplicaSet, SnapshotHeader } from '@hickoryspoke/protocol/generated/replica'

/** Index and term of an entry. */
export interface LogPosition {
  readonly index: number
  readonly term: number
}

/** The log entries in memory: those after the last snapshot, and some before it for followers that lag. */
export class EntryLog {
  private base: LogPosition
  private entries: LogEntry[] = []

  private constructor (base: LogPosition, private baseReplicaSet: ReplicaSet) {
    this.base = base
  }

  /** Creates a log of the entries after `base`. `baseReplicaSet` is the replica set at `base`. */
  static create (base: LogPosition, baseSet: ReplicaSet, entries: readonly LogEntry[] = []): EntryLog {
    const log = new EntryLog(base, baseSet)
    log.entries = [...entries]
    return log
  }

  lastPosition (): LogPosition {
    return this.entries.at(-1) ?? this.base
  }

  /** Index before the first entry in memory. */
  baseIndex (): number {
    return this.base.index
  }

  /** Term of an entry; undefined when the entry is not in memory. */
  termAt (index: number): number | undefined {
    if (index === this.base.index) return this.base.term
    return this.entryAt(index)?.term
  }

  entryAt (index: number): LogEntry | undefined {
    return index <= this.base.index ? undefined : this.entries[index - this.base.index - 1]
  }

  /** Adds an entry at its index. An existing entry at that index and all after it are dropped. */
  append (entry: LogEntry): void {
    this.entries.length = Math.min(this.entries.length, entry.index - this.base.index - 1)
    this.entries.push(entry)
  }

  /** Returns entries starting at an index, up to `maximumBytes` of commands but at least one if there is one. */
  slice (from: number, maximumBytes: number): LogEntry[] {
    const found: LogEntry[] = []
    let bytes = 0
    for (let entry = this.entryAt(from); entry !== undefined; entry = this.entryAt(from + found.length)) {
      bytes += entryBytes(entry)
      if (found.length > 0 && bytes > maximumBytes) break
      found.push(entry)
    }
    return found
  }

  /** The latest replica set in the log, with the index of its entry. */
  latestReplicaSet (): { index: number, set: ReplicaSet } {
    for (let at = this.entries.length - 1; at >= 0; at -= 1) {
      const entry = this.entries[at] as LogEntry
      if (entry.content?.$case === 'replicaSet') return { index: entry.index, set: entry.content.value }
    }
    return { index: this.base.index, set: this.baseReplicaSet }
  }

  /** The replica set in effect after the entry at an index. */
  replicaSetAt (index: number): ReplicaSet {
    for (let at = Math.min(index - this.base.index, this.entries.length) - 1; at >= 0; at -= 1) {
      const entry = this.entries[at] as LogEntry
      if (entry.content?.$case === 'replicaSet') return entry.content.value
    }
    return this.baseReplicaSet
  }

  /** Discards entries up to `index`, except the newest of them that fit into `retainedBytes`. */
  discardThrough (index: number, retainedBytes: number): void {
    let bytes = 0
    let keepFrom = index
    for (; keepFrom > this.base.index; keepFrom -= 1) {
      bytes += entryBytes(this.entryAt(keepFrom) as LogEntry)
      if (bytes > retainedBytes) break
    }
    if (keepFrom <= this.base.index) return
    this.baseReplicaSet = this.replicaSetAt(keepFrom)
    const term = this.termAt(keepFrom) as number
    this.entries.splice(0, keepFrom - this.base.index)
    this.base = { index: keepFrom, term }
  }

  /** Sets the replica set that the cluster was formed with. Valid only for a log without entries. */
  setInitialReplicaSet (set: ReplicaSet): void {
    this.baseReplicaSet = set
  }

  /** Replaces the whole log by a snapshot. */
  reset (header: SnapshotHeader): void {
    this.base = { index: header.index, term: header.term }
    this.baseReplicaSet = header.replicaSet ?? { members: [] }
    this.entries = []
  }
}

function entryBytes (entry: LogEntry): number {
  return entry.content?.$case === 'command' ? entry.content.value.length : 0
}

import type { LogEntry, ReplicaSet, SnapshotHeader } from '@hickoryspoke/protocol/generated/replica'

/** Position of an entry. */
export interface LogPosition {
  readonly index: number
  readonly term: number
}

/** The entries that a replica holds in memory: those since its snapshot, and some before it for peers that lag. */
export class EntryLog {
  private base: LogPosition
  private entries: LogEntry[] = []

  private constructor (base: LogPosition, private baseSet: ReplicaSet) {
    this.base = base
  }

  /** Entries after `base`, under the replica set that was in force at `base`. */
  static create (base: LogPosition, baseSet: ReplicaSet, entries: readonly LogEntry[] = []): EntryLog {
    const log = new EntryLog(base, baseSet)
    log.entries = [...entries]
    return log
  }

  lastPosition (): LogPosition {
    return this.entries.at(-1) ?? this.base
  }

  /** Index before the first entry held. */
  baseIndex (): number {
    return this.base.index
  }

  /** Term of an entry, or `undefined` when it is not held. */
  termAt (index: number): number | undefined {
    if (index === this.base.index) return this.base.term
    return this.entryAt(index)?.term
  }

  entryAt (index: number): LogEntry | undefined {
    return index <= this.base.index ? undefined : this.entries[index - this.base.index - 1]
  }

  /** Adds an entry; one that stands at its index and all after it are dropped. */
  append (entry: LogEntry): void {
    this.entries.length = Math.min(this.entries.length, entry.index - this.base.index - 1)
    this.entries.push(entry)
  }

  /** Entries from an index on, at least one where there is one, up to a number of command bytes. */
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

  /** The replica set in force at the end of the log, with the index of its entry. */
  latestSet (): { index: number, set: ReplicaSet } {
    for (let at = this.entries.length - 1; at >= 0; at -= 1) {
      const entry = this.entries[at] as LogEntry
      if (entry.content?.$case === 'replicaSet') return { index: entry.index, set: entry.content.value }
    }
    return { index: this.base.index, set: this.baseSet }
  }

  /** The replica set in force right after the entry at an index. */
  setAt (index: number): ReplicaSet {
    for (let at = Math.min(index - this.base.index, this.entries.length) - 1; at >= 0; at -= 1) {
      const entry = this.entries[at] as LogEntry
      if (entry.content?.$case === 'replicaSet') return entry.content.value
    }
    return this.baseSet
  }

  /** Forgets entries up to `index`, but keeps the newest of them while they fit into `retainedBytes`. */
  trim (index: number, retainedBytes: number): void {
    let bytes = 0
    let keepFrom = index
    for (; keepFrom > this.base.index; keepFrom -= 1) {
      bytes += entryBytes(this.entryAt(keepFrom) as LogEntry)
      if (bytes > retainedBytes) break
    }
    if (keepFrom <= this.base.index) return
    this.baseSet = this.setAt(keepFrom)
    const term = this.termAt(keepFrom) as number
    this.entries.splice(0, keepFrom - this.base.index)
    this.base = { index: keepFrom, term }
  }

  /** Sets the replica set with which the cluster was formed. Only for a log without entries. */
  form (set: ReplicaSet): void {
    this.baseSet = set
  }

  /** Replaces everything by a snapshot. */
  reset (header: SnapshotHeader): void {
    this.base = { index: header.index, term: header.term }
    this.baseSet = header.replicaSet ?? { members: [] }
    this.entries = []
  }
}

function entryBytes (entry: LogEntry): number {
  return entry.content?.$case === 'command' ? entry.content.value.length : 0
}

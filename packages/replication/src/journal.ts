import { JournalBatch, type LogEntry } from '@hickoryspoke/protocol/generated/replica'
import { Err, Ok, type Result } from 'ts-results-es'
import type { AppendFile, DataFolder } from './data-folder.ts'
import { encodeFrame, FRAME_END, scanFrames } from './frame.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'

const SEGMENT_PREFIX = 'segment-'
const SEQUENCE_DIGITS = 12
const DEFAULT_SEGMENT_BYTES = 16_777_216
const MAXIMUM_BATCH_ENTRIES = 4_096

/** Settings of a journal. Without group commit each entry is synced separately, which is used only for measurements. */
export interface JournalSettings {
  readonly segmentBytes: number
  readonly groupCommit: boolean
}

const DEFAULT_SETTINGS: JournalSettings = { segmentBytes: DEFAULT_SEGMENT_BYTES, groupCommit: true }

interface Segment {
  readonly sequence: number
  bytes: number
  lastIndex: number
}

interface PendingAppend {
  readonly entries: readonly LogEntry[]
  readonly finish: (result: Result<void, StorageFailure>) => void
}

/** A journal with the entries found in it. `truncatedBytes` is the size of the torn tail that was removed. */
export interface RecoveredJournal {
  readonly journal: Journal
  readonly entries: LogEntry[]
  readonly truncatedBytes: number
}

/**
 * Write-ahead log of entries in segment files, appended and synced in batches.
 * An entry written again at the same index replaces the earlier one and all entries after it.
 * After a failed write or sync nothing more is written, because the content of the disk is then unknown.
 */
export class Journal {
  private active: AppendFile | undefined
  private waiting: PendingAppend[] = []
  private draining: Promise<void> | undefined
  private failure: StorageFailure | undefined
  private discardsOldSegments = false
  syncs = 0

  private constructor (
    private readonly folder: DataFolder,
    private readonly settings: JournalSettings,
    private readonly segments: Segment[]
  ) {}

  /** Reads all segments and removes a torn tail. Entries up to `snapshotIndex` may be missing. Throws `StorageFailure`. */
  static async open (folder: DataFolder, snapshotIndex: number, settings: Partial<JournalSettings> = {}): Promise<RecoveredJournal> {
    const names = (await folder.list()).filter((name) => name.startsWith(SEGMENT_PREFIX)).sort()
    const segments: Segment[] = []
    let entries: LogEntry[] = []
    let truncatedBytes = 0
    for (const name of names) {
      const bytes = await folder.read(name)
      const read = readSegment(name, bytes, name === names.at(-1))
      if (read.validLength < bytes.length) await folder.truncate(name, read.validLength)
      truncatedBytes += bytes.length - read.validLength
      for (const entry of read.entries) entries = replayEntry(entries, entry, snapshotIndex, name)
      segments.push({ sequence: sequenceOf(name), bytes: read.validLength, lastIndex: highestIndex(read.entries) })
    }
    return { journal: new Journal(folder, { ...DEFAULT_SETTINGS, ...settings }, segments), entries, truncatedBytes }
  }

  /** Resolves once the entries are durable. Appends keep their order. */
  append (entries: readonly LogEntry[]): Promise<Result<void, StorageFailure>> {
    if (this.failure !== undefined) return Promise.resolve(Err(this.failure))
    return new Promise((resolve) => {
      this.waiting.push({ entries, finish: resolve })
      this.draining ??= this.drain()
    })
  }

  /** Makes the next append start a new segment and remove all others. Used when a snapshot has replaced the log. */
  discardBeforeNextAppend (): void {
    this.discardsOldSegments = true
  }

  /** Removes segments without entries after `index`, except the active one. Throws `StorageFailure`. */
  async removeThrough (index: number): Promise<void> {
    const removable = this.segments.slice(0, -1).findIndex((segment) => segment.lastIndex > index)
    const count = removable === -1 ? this.segments.length - 1 : removable
    for (const segment of this.segments.splice(0, Math.max(0, count))) await this.removeSegment(segment)
  }

  /** Writes pending appends, then closes the journal. */
  async close (): Promise<void> {
    await this.draining
    await this.active?.close()
    this.active = undefined
    this.failure ??= StorageFailure.create(STORAGE_FAULT.InputOutput, '', 'the journal is closed')
  }

  private async drain (): Promise<void> {
    await Promise.resolve()
    while (this.waiting.length > 0) {
      const batch = this.takeBatch()
      const result = await this.writeBatch(batch)
      for (const append of batch) append.finish(result)
    }
    this.draining = undefined
  }

  private takeBatch (): PendingAppend[] {
    if (!this.settings.groupCommit) return this.waiting.splice(0, 1)
    let count = 0
    let entries = 0
    while (count < this.waiting.length && entries < MAXIMUM_BATCH_ENTRIES) {
      entries += (this.waiting[count] as PendingAppend).entries.length
      count += 1
    }
    return this.waiting.splice(0, count)
  }

  private async writeBatch (batch: readonly PendingAppend[]): Promise<Result<void, StorageFailure>> {
    if (this.failure !== undefined) return Err(this.failure)
    const entries = batch.flatMap((append) => append.entries)
    const groups = this.settings.groupCommit ? [entries] : entries.map((entry) => [entry])
    try {
      for (const group of groups) await this.writeEntries(group)
      return Ok.EMPTY
    } catch (thrown) {
      this.failure = StorageFailure.from(thrown, this.activeName())
      return Err(this.failure)
    }
  }

  private async writeEntries (entries: LogEntry[]): Promise<void> {
    const file = await this.writableFile()
    const segment = this.segments.at(-1) as Segment
    const frame = encodeFrame(JournalBatch.encode({ entries }).finish())
    await file.append(frame)
    await file.sync()
    this.syncs += 1
    segment.bytes += frame.length
    segment.lastIndex = Math.max(segment.lastIndex, highestIndex(entries))
  }

  private async writableFile (): Promise<AppendFile> {
    const last = this.segments.at(-1)
    const full = last === undefined || last.bytes >= this.settings.segmentBytes
    if (full || this.discardsOldSegments) return this.startSegment((last?.sequence ?? 0) + 1)
    this.active ??= await this.folder.openAppend(segmentName(last.sequence))
    return this.active
  }

  private async startSegment (sequence: number): Promise<AppendFile> {
    await this.active?.close()
    this.active = await this.folder.openAppend(segmentName(sequence))
    const old = this.discardsOldSegments ? this.segments.splice(0) : []
    this.segments.push({ sequence, bytes: 0, lastIndex: 0 })
    this.discardsOldSegments = false
    for (const segment of old) await this.folder.remove(segmentName(segment.sequence))
    await this.folder.sync()
    return this.active
  }

  private async removeSegment (segment: Segment): Promise<void> {
    const name = segmentName(segment.sequence)
    try {
      await this.folder.remove(name)
    } catch (thrown) {
      throw StorageFailure.from(thrown, name)
    }
  }

  private activeName (): string {
    const last = this.segments.at(-1)
    return last === undefined ? '' : segmentName(last.sequence)
  }
}

function segmentName (sequence: number): string {
  return SEGMENT_PREFIX + String(sequence).padStart(SEQUENCE_DIGITS, '0')
}

function sequenceOf (name: string): number {
  return Number(name.slice(SEGMENT_PREFIX.length))
}

function highestIndex (entries: readonly LogEntry[]): number {
  return entries.reduce((highest, entry) => Math.max(highest, entry.index), 0)
}

function readSegment (name: string, bytes: Buffer, isLast: boolean): { entries: LogEntry[], validLength: number } {
  const scan = scanFrames(bytes)
  const acceptable = scan.end === FRAME_END.Clean || (isLast && scan.end === FRAME_END.Torn)
  if (!acceptable) throw StorageFailure.create(STORAGE_FAULT.ChecksumMismatch, name, `invalid content from byte ${scan.validLength} on`)
  return { entries: scan.payloads.flatMap((payload) => JournalBatch.decode(payload).entries), validLength: scan.validLength }
}

function replayEntry (entries: LogEntry[], entry: LogEntry, snapshotIndex: number, file: string): LogEntry[] {
  const last = entries.at(-1)
  if (last === undefined || entry.index === last.index + 1) {
    entries.push(entry)
    return entries
  }
  if (entry.index <= last.index) {
    const kept = entries.slice(0, Math.max(0, entry.index - (entries[0] as LogEntry).index))
    kept.push(entry)
    return kept
  }
  if (entry.index <= snapshotIndex + 1) return [entry]
  throw StorageFailure.create(STORAGE_FAULT.JournalGap, file, `entry ${entry.index} follows ${last.index}`)
}

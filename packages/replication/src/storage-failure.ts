import { Failure, describeError } from '@hickoryspoke/runtime/failure'

/** Kinds of storage failure. Each stops the replica; none is repaired by guessing the lost content. */
export const STORAGE_FAULT = {
  DiskFull: 'disk_full',
  FolderReadOnly: 'folder_read_only',
  InputOutput: 'input_output',
  ChecksumMismatch: 'checksum_mismatch',
  JournalGap: 'journal_gap',
  ForeignFolder: 'foreign_folder',
  EmptyFolder: 'empty_folder',
  MissingFile: 'missing_file',
  CommittedEntryConflict: 'committed_entry_conflict',
  StateMachine: 'state_machine'
} as const

/** One of the values of `STORAGE_FAULT`. */
export type StorageFault = typeof STORAGE_FAULT[keyof typeof STORAGE_FAULT]

/** A failure of the data folder. `file` is relative to the folder; it is empty if no single file is concerned. */
export class StorageFailure extends Failure {
  private constructor (readonly code: StorageFault, readonly file: string, detail: string) {
    super(file === '' ? `${code}: ${detail}` : `${code} in ${file}: ${detail}`)
  }

  static create (code: StorageFault, file: string, detail: string): StorageFailure {
    return new StorageFailure(code, file, detail)
  }

  /** Converts a thrown error to a `StorageFailure`, classified by its system error code. */
  static from (thrown: unknown, file = ''): StorageFailure {
    if (thrown instanceof StorageFailure) return thrown
    const code = FAULT_BY_SYSTEM_CODE[systemCode(thrown)] ?? STORAGE_FAULT.InputOutput
    return new StorageFailure(code, file, describeError(thrown))
  }
}

const FAULT_BY_SYSTEM_CODE: Partial<Record<string, StorageFault>> = {
  ENOSPC: STORAGE_FAULT.DiskFull,
  EDQUOT: STORAGE_FAULT.DiskFull,
  EROFS: STORAGE_FAULT.FolderReadOnly,
  EACCES: STORAGE_FAULT.FolderReadOnly,
  EPERM: STORAGE_FAULT.FolderReadOnly
}

function systemCode (thrown: unknown): string {
  return thrown instanceof Error && 'code' in thrown ? String(thrown.code) : ''
}

import { BallotRecord, IdentityRecord, type LogEntry, type ReplicaSet } from '@hickoryspoke/protocol/generated/replica'
import { Err, Ok, type Result } from 'ts-results-es'
import { isTemporary, type DataFolder } from './data-folder.ts'
import { EntryLog } from './entry-log.ts'
import { Journal, type JournalSettings } from './journal.ts'
import { RecordFile } from './record-file.ts'
import { loadSnapshot, saveSnapshot, type Snapshot } from './snapshot-file.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'

/** What to do with an empty data folder. A replica starts without its earlier state only if the settings say so. */
export const ON_EMPTY_FOLDER = {
  /** Fail to open: the folder should not be empty. */
  Refuse: 'refuse',
  /** Form a new cluster together with all initial replicas. */
  Form: 'form',
  /** Join an existing cluster as a learner. */
  Join: 'join'
} as const

/** One of the values of `ON_EMPTY_FOLDER`. */
export type OnEmptyFolder = typeof ON_EMPTY_FOLDER[keyof typeof ON_EMPTY_FOLDER]

/** The replica that opens the folder. `createIncarnation` returns a unique string. */
export interface StorageOwner {
  readonly cluster: string
  readonly name: string
  readonly onEmptyFolder: OnEmptyFolder
  readonly createIncarnation: () => string
}

const IDENTITY_FILE = 'identity'
const BALLOT_FILE = 'ballot'
const NO_MEMBERS: ReplicaSet = { members: [] }

/** Persistent state of a replica: identity, ballot, snapshot and journal. */
export class ReplicaStorage {
  private constructor (
    readonly folder: DataFolder,
    readonly journal: Journal,
    readonly log: EntryLog,
    readonly snapshot: Snapshot | undefined,
    readonly truncatedBytes: number,
    public identity: IdentityRecord,
    public ballot: BallotRecord,
    private readonly identityFile: RecordFile<IdentityRecord>,
    private readonly ballotFile: RecordFile<BallotRecord>
  ) {}

  /** Reads and verifies the whole folder. A torn tail of the journal is the only damage that is repaired. */
  static async open (folder: DataFolder, owner: StorageOwner, settings?: Partial<JournalSettings>): Promise<Result<ReplicaStorage, StorageFailure>> {
    try {
      return Ok(await ReplicaStorage.read(folder, owner, settings))
    } catch (thrown) {
      return Err(StorageFailure.from(thrown))
    }
  }

  /** Resolves once the term and vote are durable. Throws `StorageFailure`. */
  async saveBallot (ballot: BallotRecord): Promise<void> {
    await this.ballotFile.save(ballot)
    this.ballot = ballot
  }

  /** Throws `StorageFailure`. */
  async saveIdentity (identity: IdentityRecord): Promise<void> {
    await this.identityFile.save(identity)
    this.identity = identity
  }

  /** Throws `StorageFailure`. */
  async saveSnapshot (snapshot: Snapshot): Promise<void> {
    await saveSnapshot(this.folder, snapshot)
  }

  private static async read (folder: DataFolder, owner: StorageOwner, settings?: Partial<JournalSettings>): Promise<ReplicaStorage> {
    const identityFile = RecordFile.create(folder, IDENTITY_FILE, IdentityRecord)
    const ballotFile = RecordFile.create(folder, BALLOT_FILE, BallotRecord)
    const identity = await loadIdentity(folder, identityFile, owner)
    const ballot = await ballotFile.load()
    if (ballot === undefined) throw StorageFailure.create(STORAGE_FAULT.MissingFile, BALLOT_FILE, 'the folder has an identity but no ballot')
    await removeTemporaryFiles(folder)
    const snapshot = await loadSnapshot(folder)
    const recovered = await Journal.open(folder, snapshot?.header.index ?? 0, settings)
    const log = buildLog(identity, snapshot, recovered.entries)
    const lastIndex = log.lastPosition().index
    if (lastIndex < ballot.settledIndex) {
      throw StorageFailure.create(STORAGE_FAULT.JournalGap, '', `the log ends at entry ${lastIndex}, but entry ${ballot.settledIndex} was committed`)
    }
    return new ReplicaStorage(folder, recovered.journal, log, snapshot, recovered.truncatedBytes, identity, ballot, identityFile, ballotFile)
  }
}

async function loadIdentity (folder: DataFolder, file: RecordFile<IdentityRecord>, owner: StorageOwner): Promise<IdentityRecord> {
  const identity = await file.load()
  if (identity === undefined) return initializeFolder(folder, file, owner)
  if (identity.cluster !== owner.cluster || identity.replica !== owner.name) {
    const detail = `the folder belongs to replica ${identity.replica} of cluster ${identity.cluster}`
    throw StorageFailure.create(STORAGE_FAULT.ForeignFolder, IDENTITY_FILE, detail)
  }
  return identity
}

async function initializeFolder (folder: DataFolder, file: RecordFile<IdentityRecord>, owner: StorageOwner): Promise<IdentityRecord> {
  const leftovers = (await folder.list()).filter((name) => !isTemporary(name) && name !== BALLOT_FILE)
  const ownFile = leftovers.find((name) => name.startsWith('segment-') || name.startsWith('snapshot-'))
  if (ownFile !== undefined) throw StorageFailure.create(STORAGE_FAULT.MissingFile, IDENTITY_FILE, `the folder has ${ownFile} but no identity`)
  if (owner.onEmptyFolder === ON_EMPTY_FOLDER.Refuse) {
    throw StorageFailure.create(STORAGE_FAULT.EmptyFolder, '', 'the folder is empty and the settings do not say that this replica is new')
  }
  const identity: IdentityRecord = {
    cluster: owner.cluster,
    replica: owner.name,
    incarnation: owner.createIncarnation(),
    formedSet: undefined,
    forming: owner.onEmptyFolder === ON_EMPTY_FOLDER.Form
  }
  await RecordFile.create(folder, BALLOT_FILE, BallotRecord).save({ term: 0, votedFor: '', settledIndex: 0 })
  await file.save(identity)
  return identity
}

async function removeTemporaryFiles (folder: DataFolder): Promise<void> {
  for (const name of await folder.list()) {
    if (isTemporary(name)) await folder.remove(name)
  }
}

/** Builds the log from snapshot and journal. Journal entries that do not continue the snapshot were replaced by it and are dropped. */
function buildLog (identity: IdentityRecord, snapshot: Snapshot | undefined, entries: readonly LogEntry[]): EntryLog {
  const formedSet = identity.formedSet ?? NO_MEMBERS
  const first = entries[0]
  if (snapshot === undefined) {
    if (first !== undefined && first.index !== 1) throw journalGap(first.index, 0)
    return EntryLog.create({ index: 0, term: 0 }, formedSet, entries)
  }
  const { index, term } = snapshot.header
  if (first !== undefined && first.index > index + 1) throw journalGap(first.index, index)
  const following = entries.filter((entry) => entry.index > index)
  const atSnapshot = entries.find((entry) => entry.index === index)
  const continues = first?.index === index + 1 ? first.term >= term : atSnapshot?.term === term
  return EntryLog.create({ index, term }, snapshot.header.replicaSet ?? formedSet, continues ? following : [])
}

function journalGap (found: number, after: number): StorageFailure {
  return StorageFailure.create(STORAGE_FAULT.JournalGap, '', `the first entry is ${found}, the snapshot ends at ${after}`)
}

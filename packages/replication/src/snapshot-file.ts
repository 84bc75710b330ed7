import { crc32 } from 'node:zlib'
import { SnapshotHeader } from '@hickoryspoke/protocol/generated/replica'
import { isTemporary, replaceFile, type DataFolder } from './data-folder.ts'
import { encodeFrame, FRAME_END, scanFrames } from './frame.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'

const SNAPSHOT_PREFIX = 'snapshot-'
const INDEX_DIGITS = 16
const FRAME_BYTES = 1_048_576

/** The state of the state machine after entry `header.index`. */
export interface Snapshot {
  readonly header: SnapshotHeader
  readonly state: Buffer
}

/** Creates a snapshot of a state, with its size and checksum in the header. */
export function createSnapshot (position: Omit<SnapshotHeader, 'size' | 'checksum'>, state: Uint8Array): Snapshot {
  return { header: { ...position, size: state.length, checksum: crc32(state) }, state: Buffer.from(state) }
}

/** Whether the state matches the size and checksum in its header. */
export function isIntact (snapshot: Snapshot): boolean {
  return snapshot.state.length === snapshot.header.size && crc32(snapshot.state) === snapshot.header.checksum
}

/** Writes a snapshot durably, then removes older ones. */
export async function saveSnapshot (folder: DataFolder, snapshot: Snapshot): Promise<void> {
  const name = SNAPSHOT_PREFIX + String(snapshot.header.index).padStart(INDEX_DIGITS, '0')
  try {
    await replaceFile(folder, name, [encodeFrame(SnapshotHeader.encode(snapshot.header).finish()), ...stateFrames(snapshot.state)])
    for (const older of await snapshotNames(folder)) {
      if (older < name) await folder.remove(older)
    }
  } catch (thrown) {
    throw StorageFailure.from(thrown, name)
  }
}

/** Loads the newest snapshot; undefined if there is none. Throws `StorageFailure` if the newest is corrupt. */
export async function loadSnapshot (folder: DataFolder): Promise<Snapshot | undefined> {
  const name = (await snapshotNames(folder)).at(-1)
  if (name === undefined) return undefined
  const scan = scanFrames(await folder.read(name))
  const head = scan.payloads[0]
  if (scan.end !== FRAME_END.Clean || head === undefined) throw damaged(name)
  const snapshot = { header: SnapshotHeader.decode(head), state: Buffer.concat(scan.payloads.slice(1)) }
  if (!isIntact(snapshot)) throw damaged(name)
  return snapshot
}

async function snapshotNames (folder: DataFolder): Promise<string[]> {
  return (await folder.list()).filter((name) => name.startsWith(SNAPSHOT_PREFIX) && !isTemporary(name)).sort()
}

function damaged (name: string): StorageFailure {
  return StorageFailure.create(STORAGE_FAULT.ChecksumMismatch, name, 'the snapshot is incomplete or does not match its checksum')
}

function stateFrames (state: Buffer): Buffer[] {
  const frames: Buffer[] = []
  for (let start = 0; start < state.length; start += FRAME_BYTES) frames.push(encodeFrame(state.subarray(start, start + FRAME_BYTES)))
  return frames
}

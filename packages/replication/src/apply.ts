import type { LogEntry } from '@hickoryspoke/protocol/generated/replica'
import { Ok } from 'ts-results-es'
import type { ReplicaContext } from './replica-context.ts'
import { createSnapshot, type Snapshot } from './snapshot-file.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'
import { describeError } from '@hickoryspoke/runtime/failure'

/** Applies committed entries in order, answers their proposers and takes a snapshot when one is due. */
export function applyCommitted (context: ReplicaContext): void {
  while (context.appliedIndex < context.commitIndex && !context.isStopped()) {
    const entry = context.log.entryAt(context.appliedIndex + 1)
    if (entry === undefined) return
    applyEntry(context, entry)
  }
  if (isSnapshotDue(context)) takeSnapshot(context)
}

function applyEntry (context: ReplicaContext, entry: LogEntry): void {
  const answer = entry.content?.$case === 'command' ? applyCommand(context, entry.index, entry.content.value) : undefined
  if (context.isStopped()) return
  context.appliedIndex = entry.index
  if (answer !== undefined) context.proposals.finish(entry.index, Ok(answer))
}

function applyCommand (context: ReplicaContext, index: number, command: Uint8Array): Uint8Array | undefined {
  context.appliedBytes += command.length
  try {
    return context.settings.stateMachine.apply(index, command)
  } catch (thrown) {
    context.fail(StorageFailure.create(STORAGE_FAULT.StateMachine, '', `entry ${index}: ${describeError(thrown)}`))
    return undefined
  }
}

function isSnapshotDue (context: ReplicaContext): boolean {
  if (context.snapshotInProgress || context.isStopped()) return false
  const entries = context.appliedIndex - (context.snapshot?.header.index ?? 0)
  return entries >= context.tuning.snapshotEntries || context.appliedBytes >= context.tuning.snapshotBytes
}

/** Saves a snapshot of the current state, then compacts the log up to it. */
export async function takeSnapshot (context: ReplicaContext): Promise<void> {
  context.snapshotInProgress = true
  try {
    const snapshot = captureSnapshot(context)
    context.appliedBytes = 0
    await context.storage.saveSnapshot(snapshot)
    await compactLog(context, snapshot)
    context.report({ kind: 'snapshot_saved', index: snapshot.header.index, bytes: snapshot.state.length })
  } catch (thrown) {
    context.fail(thrown)
  } finally {
    context.snapshotInProgress = false
  }
}

function captureSnapshot (context: ReplicaContext): Snapshot {
  const index = context.appliedIndex
  const position = { index, term: context.log.termAt(index) ?? 0, replicaSet: context.log.replicaSetAt(index) }
  return createSnapshot(position, context.settings.stateMachine.snapshot())
}

async function compactLog (context: ReplicaContext, snapshot: Snapshot): Promise<void> {
  const { index } = snapshot.header
  if (index < (context.snapshot?.header.index ?? 0)) return
  context.snapshot = snapshot
  context.log.discardThrough(index, context.tuning.retainedBytes)
  await context.storage.journal.removeThrough(index)
}

import type { ReplicaMessage, SnapshotChunk, SnapshotHeader } from '@hickoryspoke/protocol/generated/replica'
import { recordLeaderContact } from './follower-append.ts'
import type { IncomingSnapshot, ReplicaContext } from './replica-context.ts'
import { isIntact, type Snapshot } from './snapshot-file.ts'

/** Adds a chunk to the snapshot being received, and installs the snapshot once it is complete. Throws `StorageFailure`. */
export async function handleSnapshotChunk (context: ReplicaContext, message: ReplicaMessage, chunk: SnapshotChunk): Promise<void> {
  if (!recordLeaderContact(context, message) || chunk.header === undefined) return
  const { header, round } = chunk
  const installed = header.index <= context.commitIndex || await addChunk(context, header, chunk)
  const received = installed ? header.size : context.incomingSnapshot?.received ?? 0
  const leader = { name: message.from, incarnation: message.fromIncarnation }
  context.send(leader, { $case: 'snapshotAnswer', value: { index: header.index, received, installed, round } })
}

async function addChunk (context: ReplicaContext, header: SnapshotHeader, chunk: SnapshotChunk): Promise<boolean> {
  const incoming = incomingSnapshotFor(context, header)
  if (chunk.offset === incoming.received) {
    incoming.chunks.push(chunk.data)
    incoming.received += chunk.data.length
  }
  if (incoming.received < header.size) return false
  context.incomingSnapshot = undefined
  const snapshot = { header, state: Buffer.concat(incoming.chunks) }
  if (!isIntact(snapshot)) return false
  await installSnapshot(context, snapshot)
  return true
}

function incomingSnapshotFor (context: ReplicaContext, header: SnapshotHeader): IncomingSnapshot {
  const current = context.incomingSnapshot
  if (current?.index === header.index && current.term === header.term) return current
  context.incomingSnapshot = { index: header.index, term: header.term, chunks: [], received: 0 }
  return context.incomingSnapshot
}

async function installSnapshot (context: ReplicaContext, snapshot: Snapshot): Promise<void> {
  const { index, term } = snapshot.header
  await context.storage.saveSnapshot(snapshot)
  const continues = context.log.termAt(index) === term
  if (!continues) replaceLog(context, snapshot)
  context.settings.stateMachine.restore(snapshot.state)
  context.snapshot = snapshot
  context.commitIndex = index
  context.appliedIndex = index
  context.appliedBytes = 0
  context.verifiedIndex = Math.max(context.verifiedIndex, index)
  context.durableIndex = Math.max(context.durableIndex, index)
  context.updateMembershipRole()
  context.report({ kind: 'snapshot_installed', index, bytes: snapshot.state.length })
}

function replaceLog (context: ReplicaContext, snapshot: Snapshot): void {
  context.logGeneration += 1
  context.durableIndex = 0
  context.log.reset(snapshot.header)
  context.storage.journal.discardBeforeNextAppend()
}

import type { ReplicaMessage, SnapshotChunk, SnapshotHeader } from '@hickoryspoke/protocol/generated/replica'
import { noteLeader } from './follower-append.ts'
import type { IncomingSnapshot, ReplicaContext } from './replica-context.ts'
import { isIntact, type Snapshot } from './snapshot-file.ts'

/** Gathers the chunks of a leader's snapshot and installs it when whole. Throws `StorageFailure`. */
export async function handleSnapshotChunk (context: ReplicaContext, message: ReplicaMessage, chunk: SnapshotChunk): Promise<void> {
  if (!noteLeader(context, message) || chunk.header === undefined) return
  const { header, round } = chunk
  const installed = header.index <= context.commitIndex || await gather(context, header, chunk)
  const received = installed ? header.size : context.incoming?.received ?? 0
  const leader = { name: message.from, incarnation: message.fromIncarnation }
  context.send(leader, { $case: 'snapshotAnswer', value: { index: header.index, received, installed, round } })
}

async function gather (context: ReplicaContext, header: SnapshotHeader, chunk: SnapshotChunk): Promise<boolean> {
  const incoming = incomingFor(context, header)
  if (chunk.offset === incoming.received) {
    incoming.chunks.push(chunk.data)
    incoming.received += chunk.data.length
  }
  if (incoming.received < header.size) return false
  context.incoming = undefined
  const snapshot = { header, state: Buffer.concat(incoming.chunks) }
  if (!isIntact(snapshot)) return false
  await install(context, snapshot)
  return true
}

function incomingFor (context: ReplicaContext, header: SnapshotHeader): IncomingSnapshot {
  const current = context.incoming
  if (current?.index === header.index && current.term === header.term) return current
  context.incoming = { index: header.index, term: header.term, chunks: [], received: 0 }
  return context.incoming
}

async function install (context: ReplicaContext, snapshot: Snapshot): Promise<void> {
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
  context.followSet()
  context.report({ kind: 'snapshot_installed', index, bytes: snapshot.state.length })
}

function replaceLog (context: ReplicaContext, snapshot: Snapshot): void {
  context.replacements += 1
  context.durableIndex = 0
  context.log.reset(snapshot.header)
  context.storage.journal.discardBeforeNextAppend()
}

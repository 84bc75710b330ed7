import type { AppendAnswer, LogEntry, ReplicaMessage, SnapshotAnswer } from '@hickoryspoke/protocol/generated/replica'
import { applyCommitted } from './apply.ts'
import type { Leadership } from './leadership.ts'
import { REPLICATION_MODE, PeerProgress, type ReplicationMode } from './peer-progress.ts'
import type { ReplicaContext } from './replica-context.ts'
import { majorityValue, memberKey } from './replica-set.ts'

/** Number of unacknowledged entries beyond which a leader sends no more to a peer. */
const MAXIMUM_PIPELINED_ENTRIES = 4_096

/** Appends an entry to the leader's own log and wakes the tasks that replicate it. Returns its index. */
export function appendAsLeader (context: ReplicaContext, content: NonNullable<LogEntry['content']>): number {
  const index = context.lastPosition().index + 1
  context.log.append({ index, term: context.term(), content })
  syncOwnEntry(context, index)
  context.leadership?.wakeAll()
  return index
}

async function syncOwnEntry (context: ReplicaContext, index: number): Promise<void> {
  const entry = context.log.entryAt(index) as LogEntry
  const logGeneration = context.logGeneration
  const synced = await context.storage.journal.append([entry])
  if (synced.isErr()) {
    context.fail(synced.error)
    return
  }
  if (logGeneration !== context.logGeneration) return
  context.durableIndex = Math.max(context.durableIndex, index)
  advanceCommit(context)
}

/** Starts a replication task for each new member, and ends the tasks of removed members. */
export function reconcilePeers (context: ReplicaContext): void {
  const leadership = context.leadership
  if (leadership === undefined) return
  const wanted = context.latestReplicaSet().members.filter((member) => memberKey(member) !== context.selfKey())
  const wantedKeys = new Set(wanted.map(memberKey))
  for (const [key, peer] of leadership.peers) {
    if (wantedKeys.has(key)) continue
    peer.end()
    leadership.peers.delete(key)
  }
  for (const member of wanted) {
    if (leadership.peers.has(memberKey(member))) continue
    const peer = PeerProgress.create(member, context.lastPosition().index + 1, context.settings.clock)
    leadership.peers.set(memberKey(member), peer)
    replicateToPeer(context, leadership, peer)
  }
}

async function replicateToPeer (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): Promise<void> {
  while (!peer.ended.signal.aborted) {
    const sent = SENDER_BY_MODE[peer.mode](context, leadership, peer)
    if (!sent) sendAppend(context, leadership, peer, [])
    await waitForWork(context, leadership, peer)
  }
}

/** Waits until there is something to send or the heartbeat is due. */
async function waitForWork (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): Promise<void> {
  const due = peer.lastSent + context.tuning.heartbeatMilliseconds
  while (!peer.ended.signal.aborted && !hasWork(context, leadership, peer)) {
    const left = due - context.now()
    if (left <= 0) {
      peer.awaitingAnswer = false
      return
    }
    await peer.wakeSignal.wait(left)
  }
}

function hasWork (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  if (peer.sentRound < leadership.round) return true
  if (peer.mode !== REPLICATION_MODE.Pipeline) return !peer.awaitingAnswer
  return peer.nextIndex <= context.lastPosition().index && peer.nextIndex - peer.matchIndex <= MAXIMUM_PIPELINED_ENTRIES
}

type Sender = (context: ReplicaContext, leadership: Leadership, peer: PeerProgress) => boolean

const SENDER_BY_MODE: Record<ReplicationMode, Sender> = {
  probe: sendProbe,
  pipeline: sendPipelined,
  snapshot: sendSnapshotChunk
}

function sendProbe (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  if (needsSnapshot(context, peer)) return startSnapshotTransfer(context, leadership, peer)
  if (peer.awaitingAnswer) return false
  peer.awaitingAnswer = true
  sendAppend(context, leadership, peer, context.log.slice(peer.nextIndex, context.tuning.batchBytes))
  return true
}

function sendPipelined (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  if (needsSnapshot(context, peer)) return startSnapshotTransfer(context, leadership, peer)
  let sent = false
  while (peer.nextIndex - peer.matchIndex <= MAXIMUM_PIPELINED_ENTRIES) {
    const entries = context.log.slice(peer.nextIndex, context.tuning.batchBytes)
    if (entries.length === 0) return sent
    sendAppend(context, leadership, peer, entries)
    peer.nextIndex += entries.length
    sent = true
  }
  return sent
}

function needsSnapshot (context: ReplicaContext, peer: PeerProgress): boolean {
  return peer.nextIndex <= context.log.baseIndex() && context.snapshot !== undefined
}

function startSnapshotTransfer (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  peer.mode = REPLICATION_MODE.Snapshot
  peer.snapshotIndex = context.snapshot?.header.index ?? 0
  peer.snapshotOffset = 0
  peer.awaitingAnswer = false
  return sendSnapshotChunk(context, leadership, peer)
}

function sendSnapshotChunk (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  const snapshot = context.snapshot
  if (snapshot === undefined || peer.awaitingAnswer) return false
  if (snapshot.header.index !== peer.snapshotIndex) {
    peer.snapshotIndex = snapshot.header.index
    peer.snapshotOffset = 0
  }
  const data = snapshot.state.subarray(peer.snapshotOffset, peer.snapshotOffset + context.tuning.chunkBytes)
  peer.awaitingAnswer = true
  markSent(context, leadership, peer)
  context.send(peer.identity, {
    $case: 'snapshotChunk',
    value: { header: snapshot.header, offset: peer.snapshotOffset, data, round: leadership.round }
  })
  return true
}

function sendAppend (context: ReplicaContext, leadership: Leadership, peer: PeerProgress, entries: LogEntry[]): void {
  const previousIndex = Math.max(peer.nextIndex - 1, context.log.baseIndex())
  markSent(context, leadership, peer)
  context.send(peer.identity, {
    $case: 'appendRequest',
    value: {
      previousIndex,
      previousTerm: context.log.termAt(previousIndex) ?? 0,
      entries,
      commitIndex: context.commitIndex,
      round: leadership.round
    }
  })
}

function markSent (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): void {
  peer.lastSent = context.now()
  peer.sentRound = leadership.round
}

/** Updates the progress of a peer from its answer to an append request. */
export function handleAppendAnswer (context: ReplicaContext, message: ReplicaMessage, answer: AppendAnswer): void {
  const peer = recordAnswer(context, message, answer.round)
  if (peer === undefined || peer.mode === REPLICATION_MODE.Snapshot) return
  peer.awaitingAnswer = false
  if (answer.accepted) acceptAnswer(context, peer, answer)
  else rejectAnswer(context, peer, answer)
  peer.wakeSignal.wake()
}

function acceptAnswer (context: ReplicaContext, peer: PeerProgress, answer: AppendAnswer): void {
  const previous = peer.matchIndex
  peer.matchIndex = Math.max(previous, answer.matchIndex)
  peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1)
  peer.mode = REPLICATION_MODE.Pipeline
  if (peer.matchIndex > previous) advanceCommit(context)
}

function rejectAnswer (context: ReplicaContext, peer: PeerProgress, answer: AppendAnswer): void {
  peer.mode = REPLICATION_MODE.Probe
  const last = context.lastPosition().index
  peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(answer.hintIndex + 1, last + 1))
}

/** Updates the progress of a snapshot transfer to a peer. */
export function handleSnapshotAnswer (context: ReplicaContext, message: ReplicaMessage, answer: SnapshotAnswer): void {
  const peer = recordAnswer(context, message, answer.round)
  if (peer === undefined || peer.mode !== REPLICATION_MODE.Snapshot || answer.index !== peer.snapshotIndex) return
  peer.awaitingAnswer = false
  peer.snapshotOffset = answer.received
  if (answer.installed) {
    peer.mode = REPLICATION_MODE.Probe
    peer.matchIndex = Math.max(peer.matchIndex, answer.index)
    peer.nextIndex = peer.matchIndex + 1
    advanceCommit(context)
  }
  peer.wakeSignal.wake()
}

function recordAnswer (context: ReplicaContext, message: ReplicaMessage, round: number): PeerProgress | undefined {
  const leadership = context.leadership
  const peer = leadership?.peers.get(memberKey({ name: message.from, incarnation: message.fromIncarnation }))
  if (leadership === undefined || peer === undefined || message.term !== context.term()) return undefined
  peer.lastHeard = context.now()
  peer.ackedRound = Math.max(peer.ackedRound, round)
  releaseBarriers(context)
  return peer
}

/** Releases the read barriers whose round a majority has answered. */
export function releaseBarriers (context: ReplicaContext): void {
  const leadership = context.leadership
  if (leadership === undefined) return
  const confirmed = majorityValue(context.latestReplicaSet(), (key) => ackedRoundOf(context, leadership, key))
  leadership.releaseBarriers(confirmed, context.appliedIndex)
}

function ackedRoundOf (context: ReplicaContext, leadership: Leadership, key: string): number {
  return key === context.selfKey() ? leadership.round : leadership.peers.get(key)?.ackedRound ?? 0
}

/**
 * Advances the commit index to what a majority of voters has synced, provided that the entry there is of the current term:
 * an entry of an earlier term may still be replaced although a majority holds it.
 */
export function advanceCommit (context: ReplicaContext): void {
  const leadership = context.leadership
  if (leadership === undefined) return
  const reached = majorityValue(context.latestReplicaSet(), (key) => matchIndexOf(context, leadership, key))
  if (reached <= context.commitIndex || context.log.termAt(reached) !== context.term()) return
  context.commitIndex = reached
  applyCommitted(context)
  releaseBarriers(context)
}

function matchIndexOf (context: ReplicaContext, leadership: Leadership, key: string): number {
  return key === context.selfKey() ? context.durableIndex : leadership.peers.get(key)?.matchIndex ?? 0
}

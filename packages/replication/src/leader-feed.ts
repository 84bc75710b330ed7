import type { AppendAnswer, LogEntry, ReplicaMessage, SnapshotAnswer } from '@hickoryspoke/protocol/generated/replica'
import { applyCommitted } from './apply.ts'
import type { Leadership } from './leadership.ts'
import { FEED_MODE, PeerProgress, type FeedMode } from './peer-progress.ts'
import type { ReplicaContext } from './replica-context.ts'
import { majorityValue, memberKey } from './replica-set.ts'

/** How many entries may be under way to a peer. */
const PIPELINE_ENTRIES = 4_096

/** Adds an entry to the leader's own log and wakes the tasks that send it. Returns its index. */
export function appendAsLeader (context: ReplicaContext, content: NonNullable<LogEntry['content']>): number {
  const index = context.lastPosition().index + 1
  context.log.append({ index, term: context.term(), content })
  syncOwnEntry(context, index)
  context.leadership?.wakeAll()
  return index
}

async function syncOwnEntry (context: ReplicaContext, index: number): Promise<void> {
  const entry = context.log.entryAt(index) as LogEntry
  const replacements = context.replacements
  const synced = await context.storage.journal.append([entry])
  if (synced.isErr()) {
    context.fail(synced.error)
    return
  }
  if (replacements !== context.replacements) return
  context.durableIndex = Math.max(context.durableIndex, index)
  advanceCommit(context)
}

/** Starts a task for each member that has none, and ends those of members that are gone. */
export function maintainPeers (context: ReplicaContext): void {
  const leadership = context.leadership
  if (leadership === undefined) return
  const wanted = context.latestSet().members.filter((member) => memberKey(member) !== context.selfKey())
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
    feedPeer(context, leadership, peer)
  }
}

async function feedPeer (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): Promise<void> {
  while (!peer.ended.signal.aborted) {
    const sent = FEED_BY_MODE[peer.mode](context, leadership, peer)
    if (!sent) sendAppend(context, leadership, peer, [])
    await waitUntilUseful(context, leadership, peer)
  }
}

/** Waits while there is nothing new to say and the heartbeat is not due. */
async function waitUntilUseful (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): Promise<void> {
  const due = peer.lastSent + context.tuning.heartbeatMilliseconds
  while (!peer.ended.signal.aborted && !hasWork(context, leadership, peer)) {
    const left = due - context.now()
    if (left <= 0) {
      peer.awaiting = false
      return
    }
    await peer.wake.wait(left)
  }
}

function hasWork (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  if (peer.sentRound < leadership.round) return true
  if (peer.mode !== FEED_MODE.Pipeline) return !peer.awaiting
  return peer.nextIndex <= context.lastPosition().index && peer.nextIndex - peer.matchIndex <= PIPELINE_ENTRIES
}

type Feed = (context: ReplicaContext, leadership: Leadership, peer: PeerProgress) => boolean

const FEED_BY_MODE: Record<FeedMode, Feed> = {
  probe: feedProbe,
  pipeline: feedPipeline,
  snapshot: feedSnapshot
}

function feedProbe (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  if (needsSnapshot(context, peer)) return startSnapshot(context, leadership, peer)
  if (peer.awaiting) return false
  peer.awaiting = true
  sendAppend(context, leadership, peer, context.log.slice(peer.nextIndex, context.tuning.batchBytes))
  return true
}

function feedPipeline (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  if (needsSnapshot(context, peer)) return startSnapshot(context, leadership, peer)
  let sent = false
  while (peer.nextIndex - peer.matchIndex <= PIPELINE_ENTRIES) {
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

function startSnapshot (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  peer.mode = FEED_MODE.Snapshot
  peer.snapshotIndex = context.snapshot?.header.index ?? 0
  peer.snapshotOffset = 0
  peer.awaiting = false
  return feedSnapshot(context, leadership, peer)
}

function feedSnapshot (context: ReplicaContext, leadership: Leadership, peer: PeerProgress): boolean {
  const snapshot = context.snapshot
  if (snapshot === undefined || peer.awaiting) return false
  if (snapshot.header.index !== peer.snapshotIndex) {
    peer.snapshotIndex = snapshot.header.index
    peer.snapshotOffset = 0
  }
  const data = snapshot.state.subarray(peer.snapshotOffset, peer.snapshotOffset + context.tuning.chunkBytes)
  peer.awaiting = true
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

/** Takes note of how far a peer's log is synced. */
export function handleAppendAnswer (context: ReplicaContext, message: ReplicaMessage, answer: AppendAnswer): void {
  const peer = noteAnswer(context, message, answer.round)
  if (peer === undefined || peer.mode === FEED_MODE.Snapshot) return
  peer.awaiting = false
  if (answer.accepted) acceptAnswer(context, peer, answer)
  else rejectAnswer(context, peer, answer)
  peer.wake.wake()
}

function acceptAnswer (context: ReplicaContext, peer: PeerProgress, answer: AppendAnswer): void {
  const previous = peer.matchIndex
  peer.matchIndex = Math.max(previous, answer.matchIndex)
  peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1)
  peer.mode = FEED_MODE.Pipeline
  if (peer.matchIndex > previous) advanceCommit(context)
}

function rejectAnswer (context: ReplicaContext, peer: PeerProgress, answer: AppendAnswer): void {
  peer.mode = FEED_MODE.Probe
  const last = context.lastPosition().index
  peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(answer.hintIndex + 1, last + 1))
}

/** Takes note of how much of a snapshot a peer has. */
export function handleSnapshotAnswer (context: ReplicaContext, message: ReplicaMessage, answer: SnapshotAnswer): void {
  const peer = noteAnswer(context, message, answer.round)
  if (peer === undefined || peer.mode !== FEED_MODE.Snapshot || answer.index !== peer.snapshotIndex) return
  peer.awaiting = false
  peer.snapshotOffset = answer.received
  if (answer.installed) {
    peer.mode = FEED_MODE.Probe
    peer.matchIndex = Math.max(peer.matchIndex, answer.index)
    peer.nextIndex = peer.matchIndex + 1
    advanceCommit(context)
  }
  peer.wake.wake()
}

function noteAnswer (context: ReplicaContext, message: ReplicaMessage, round: number): PeerProgress | undefined {
  const leadership = context.leadership
  const peer = leadership?.peers.get(memberKey({ name: message.from, incarnation: message.fromIncarnation }))
  if (leadership === undefined || peer === undefined || message.term !== context.term()) return undefined
  peer.lastHeard = context.now()
  peer.ackedRound = Math.max(peer.ackedRound, round)
  releaseBarriers(context)
  return peer
}

/** Lets read barriers through whose round a majority has answered. */
export function releaseBarriers (context: ReplicaContext): void {
  const leadership = context.leadership
  if (leadership === undefined) return
  const confirmed = majorityValue(context.latestSet(), (key) => roundOf(context, leadership, key))
  leadership.releaseBarriers(confirmed, context.appliedIndex)
}

function roundOf (context: ReplicaContext, leadership: Leadership, key: string): number {
  return key === context.selfKey() ? leadership.round : leadership.peers.get(key)?.ackedRound ?? 0
}

/** Commits what a majority of voters has synced, provided that it ends with an entry of this leader's term. */
export function advanceCommit (context: ReplicaContext): void {
  const leadership = context.leadership
  if (leadership === undefined) return
  const reached = majorityValue(context.latestSet(), (key) => matchOf(context, leadership, key))
  if (reached <= context.commitIndex || context.log.termAt(reached) !== context.term()) return
  context.commitIndex = reached
  applyCommitted(context)
  releaseBarriers(context)
}

function matchOf (context: ReplicaContext, leadership: Leadership, key: string): number {
  return key === context.selfKey() ? context.durableIndex : leadership.peers.get(key)?.matchIndex ?? 0
}

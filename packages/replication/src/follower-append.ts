import type { AppendRequest, LogEntry, ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import { applyCommitted } from './apply.ts'
import type { ReplicaContext } from './replica-context.ts'
import type { ReplicaIdentity } from './replica-set.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'

/** Records contact with the leader of the current term and restarts the election timeout. Returns false for a message of another term. */
export function recordLeaderContact (context: ReplicaContext, message: ReplicaMessage): boolean {
  if (message.term !== context.term()) return false
  if (context.leaderName !== message.from) context.stepDown(message.from)
  else context.election = undefined
  context.lastLeaderContact = context.now()
  context.resetElectionDeadline()
  return true
}

/** Handles the entries or heartbeat of a leader. New entries are acknowledged only once they are synced. */
export function handleAppendRequest (context: ReplicaContext, message: ReplicaMessage, request: AppendRequest): void {
  const leader: ReplicaIdentity = { name: message.from, incarnation: message.fromIncarnation }
  if (!recordLeaderContact(context, message)) {
    answer(context, leader, request.round, false)
    return
  }
  if (!logMatches(context, request)) {
    answer(context, leader, request.round, false, conflictHint(context, request))
    return
  }
  const added = appendNewEntries(context, request)
  context.verifiedIndex = Math.max(context.verifiedIndex, request.previousIndex + request.entries.length)
  context.commitIndex = Math.max(context.commitIndex, Math.min(request.commitIndex, context.verifiedIndex))
  if (added.length > 0) syncThenAnswer(context, leader, request.round, added)
  else answer(context, leader, request.round, true)
  applyCommitted(context)
}

function logMatches (context: ReplicaContext, request: AppendRequest): boolean {
  if (request.previousIndex < context.log.baseIndex()) return request.previousIndex + request.entries.length >= context.log.baseIndex()
  return context.log.termAt(request.previousIndex) === request.previousTerm
}

/** Returns the index before the conflicting term, so that the leader skips the whole term in one round trip. */
function conflictHint (context: ReplicaContext, request: AppendRequest): number {
  const last = context.lastPosition().index
  if (request.previousIndex > last) return last
  const term = context.log.termAt(request.previousIndex)
  let hint = request.previousIndex - 1
  while (hint > context.commitIndex && context.log.termAt(hint) === term) hint -= 1
  return Math.max(hint, Math.min(context.commitIndex, last))
}

function appendNewEntries (context: ReplicaContext, request: AppendRequest): LogEntry[] {
  const added = request.entries.filter((entry) => entry.index > context.log.baseIndex())
  const firstNew = added.findIndex((entry) => context.log.termAt(entry.index) !== entry.term)
  if (firstNew === -1) return []
  const newEntries = added.slice(firstNew)
  const first = newEntries[0] as LogEntry
  if (first.index <= context.commitIndex) {
    throw StorageFailure.create(STORAGE_FAULT.CommittedEntryConflict, '', `the leader sent a different entry ${first.index} from the one already committed`)
  }
  if (first.index <= context.lastPosition().index) invalidateFrom(context, first.index)
  for (const entry of newEntries) context.log.append(entry)
  handleReplicaSetEntries(context, newEntries)
  return newEntries
}

function invalidateFrom (context: ReplicaContext, index: number): void {
  context.logGeneration += 1
  context.durableIndex = Math.min(context.durableIndex, index - 1)
}

function handleReplicaSetEntries (context: ReplicaContext, entries: readonly LogEntry[]): void {
  const last = entries.filter((entry) => entry.content?.$case === 'replicaSet').at(-1)
  if (last?.content?.$case === 'replicaSet') context.report({ kind: 'replica_set_changed', index: last.index, set: last.content.value })
  context.updateMembershipRole()
}

async function syncThenAnswer (context: ReplicaContext, leader: ReplicaIdentity, round: number, entries: readonly LogEntry[]): Promise<void> {
  const logGeneration = context.logGeneration
  const term = context.term()
  const synced = await context.storage.journal.append(entries)
  if (synced.isErr()) {
    context.fail(synced.error)
    return
  }
  if (logGeneration !== context.logGeneration) return
  context.durableIndex = Math.max(context.durableIndex, (entries.at(-1) as LogEntry).index)
  if (term === context.term()) answer(context, leader, round, true)
}

function answer (context: ReplicaContext, leader: ReplicaIdentity, round: number, accepted: boolean, hintIndex = 0): void {
  const matchIndex = accepted ? Math.min(context.durableIndex, context.verifiedIndex) : 0
  context.send(leader, { $case: 'appendAnswer', value: { accepted, matchIndex, hintIndex, round } })
}

import type { AppendRequest, LogEntry, ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import { applyCommitted } from './apply.ts'
import type { ReplicaContext } from './replica-context.ts'
import type { ReplicaIdentity } from './replica-set.ts'
import { STORAGE_FAULT, StorageFailure } from './storage-failure.ts'

/** Takes a message of a leader for a sign of life. Returns whether it comes from the leader of this term. */
export function noteLeader (context: ReplicaContext, message: ReplicaMessage): boolean {
  if (message.term !== context.term()) return false
  if (context.leaderName !== message.from) context.stepDown(message.from)
  else context.election = undefined
  context.lastLeaderContact = context.now()
  context.resetElectionDeadline()
  return true
}

/** Adds a leader's entries; the answer that counts goes out once they are synced. */
export function handleAppendRequest (context: ReplicaContext, message: ReplicaMessage, request: AppendRequest): void {
  const leader: ReplicaIdentity = { name: message.from, incarnation: message.fromIncarnation }
  if (!noteLeader(context, message)) {
    answer(context, leader, request.round, false)
    return
  }
  if (!meets(context, request)) {
    answer(context, leader, request.round, false, conflictHint(context, request))
    return
  }
  const added = addEntries(context, request)
  context.verifiedIndex = Math.max(context.verifiedIndex, request.previousIndex + request.entries.length)
  context.commitIndex = Math.max(context.commitIndex, Math.min(request.commitIndex, context.verifiedIndex))
  if (added.length > 0) syncThenAnswer(context, leader, request.round, added)
  else answer(context, leader, request.round, true)
  applyCommitted(context)
}

function meets (context: ReplicaContext, request: AppendRequest): boolean {
  if (request.previousIndex < context.log.baseIndex()) return request.previousIndex + request.entries.length >= context.log.baseIndex()
  return context.log.termAt(request.previousIndex) === request.previousTerm
}

/** The index before the conflicting term, so that the leader skips it in one step. */
function conflictHint (context: ReplicaContext, request: AppendRequest): number {
  const last = context.lastPosition().index
  if (request.previousIndex > last) return last
  const term = context.log.termAt(request.previousIndex)
  let hint = request.previousIndex - 1
  while (hint > context.commitIndex && context.log.termAt(hint) === term) hint -= 1
  return Math.max(hint, Math.min(context.commitIndex, last))
}

function addEntries (context: ReplicaContext, request: AppendRequest): LogEntry[] {
  const added = request.entries.filter((entry) => entry.index > context.log.baseIndex())
  const firstNew = added.findIndex((entry) => context.log.termAt(entry.index) !== entry.term)
  if (firstNew === -1) return []
  const fresh = added.slice(firstNew)
  const first = fresh[0] as LogEntry
  if (first.index <= context.commitIndex) {
    throw StorageFailure.create(STORAGE_FAULT.CommittedEntryConflict, '', `the leader sent another entry ${first.index} than the committed one`)
  }
  if (first.index <= context.lastPosition().index) replaceFrom(context, first.index)
  for (const entry of fresh) context.log.append(entry)
  noteSets(context, fresh)
  return fresh
}

function replaceFrom (context: ReplicaContext, index: number): void {
  context.replacements += 1
  context.durableIndex = Math.min(context.durableIndex, index - 1)
}

function noteSets (context: ReplicaContext, entries: readonly LogEntry[]): void {
  const last = entries.filter((entry) => entry.content?.$case === 'replicaSet').at(-1)
  if (last?.content?.$case === 'replicaSet') context.report({ kind: 'replica_set_changed', index: last.index, set: last.content.value })
  context.followSet()
}

async function syncThenAnswer (context: ReplicaContext, leader: ReplicaIdentity, round: number, entries: readonly LogEntry[]): Promise<void> {
  const replacements = context.replacements
  const term = context.term()
  const synced = await context.storage.journal.append(entries)
  if (synced.isErr()) {
    context.fail(synced.error)
    return
  }
  if (replacements !== context.replacements) return
  context.durableIndex = Math.max(context.durableIndex, (entries.at(-1) as LogEntry).index)
  if (term === context.term()) answer(context, leader, round, true)
}

function answer (context: ReplicaContext, leader: ReplicaIdentity, round: number, accepted: boolean, hintIndex = 0): void {
  const matchIndex = accepted ? Math.min(context.durableIndex, context.verifiedIndex) : 0
  context.send(leader, { $case: 'appendAnswer', value: { accepted, matchIndex, hintIndex, round } })
}

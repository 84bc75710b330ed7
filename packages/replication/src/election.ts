import type { ReplicaMessage, VoteAnswer, VoteRequest } from '@hickoryspoke/protocol/generated/replica'
import type { LogPosition } from './entry-log.ts'
import { becomeLeader } from './leader-start.ts'
import type { ReplicaContext } from './replica-context.ts'
import { LIFECYCLE_EVENT } from './replica-lifecycle.ts'
import { isMajority, isVoter, memberKey, votersOf, type ReplicaIdentity } from './replica-set.ts'
import { REPLICA_ROLE } from './replicated-log.ts'

/** Starts a pre-vote: asks the voters whether an election could be won, without a new term or any write to disk. */
export async function startPreVote (context: ReplicaContext): Promise<void> {
  if (!isVoter(context.latestReplicaSet(), context.self())) return
  context.leaderName = undefined
  context.resetElectionDeadline()
  context.lifecycle.send(LIFECYCLE_EVENT.ElectionStarted)
  context.election = { preVote: true, askedTerm: context.term() + 1, granted: new Set([context.selfKey()]) }
  requestVotes(context, false)
  await countVotes(context)
}

/** Starts an election in a new term and votes for itself. `transfer` means that the leader asked for it. */
export async function startElection (context: ReplicaContext, transfer: boolean): Promise<void> {
  if (!isVoter(context.latestReplicaSet(), context.self())) return
  const askedTerm = context.term() + 1
  context.stepDown(undefined)
  context.verifiedIndex = 0
  context.resetElectionDeadline()
  context.lifecycle.send(LIFECYCLE_EVENT.ElectionStarted)
  await context.saveBallot(askedTerm, context.selfKey())
  context.election = { preVote: false, askedTerm, granted: new Set([context.selfKey()]) }
  requestVotes(context, transfer)
  await countVotes(context)
}

function requestVotes (context: ReplicaContext, transfer: boolean): void {
  const election = context.election
  if (election === undefined) return
  const last = context.lastPosition()
  const request: VoteRequest = {
    preVote: election.preVote, transfer, askedTerm: election.askedTerm, lastIndex: last.index, lastTerm: last.term
  }
  for (const member of votersOf(context.latestReplicaSet())) {
    if (memberKey(member) !== context.selfKey()) context.send(member, { $case: 'voteRequest', value: request })
  }
}

async function countVotes (context: ReplicaContext): Promise<void> {
  const election = context.election
  if (election === undefined || !isMajority(context.latestReplicaSet(), (key) => election.granted.has(key))) return
  if (election.preVote) await startElection(context, false)
  else becomeLeader(context)
}

/** Answers a vote or pre-vote request. Throws `StorageFailure`. */
export async function handleVoteRequest (context: ReplicaContext, message: ReplicaMessage, request: VoteRequest): Promise<void> {
  const candidate: ReplicaIdentity = { name: message.from, incarnation: message.fromIncarnation }
  const granted = request.preVote ? wouldGrantVote(context, request) : await grantVote(context, candidate, request)
  const answer: VoteAnswer = { preVote: request.preVote, granted, askedTerm: request.askedTerm }
  context.send(candidate, { $case: 'voteAnswer', value: answer })
}

function wouldGrantVote (context: ReplicaContext, request: VoteRequest): boolean {
  return request.askedTerm > context.term() && !hasRecentLeaderContact(context) && isLogUpToDate(context, request)
}

async function grantVote (context: ReplicaContext, candidate: ReplicaIdentity, request: VoteRequest): Promise<boolean> {
  if (request.askedTerm < context.term()) return false
  if (!request.transfer && hasRecentLeaderContact(context)) return false
  if (request.askedTerm > context.term()) await context.adoptTerm(request.askedTerm)
  const votedFor = context.storage.ballot.votedFor
  if (votedFor !== '') return votedFor === memberKey(candidate)
  if (!isLogUpToDate(context, request)) return false
  await context.saveBallot(request.askedTerm, memberKey(candidate))
  context.resetElectionDeadline()
  return true
}

/** A replica in contact with a leader refuses to vote, so that a partitioned replica cannot depose that leader. */
function hasRecentLeaderContact (context: ReplicaContext): boolean {
  if (context.lifecycle.role() === REPLICA_ROLE.Leader) return true
  return context.now() - context.lastLeaderContact < context.tuning.electionTimeoutMilliseconds
}

function isLogUpToDate (context: ReplicaContext, request: VoteRequest): boolean {
  const own: LogPosition = context.lastPosition()
  if (request.lastTerm !== own.term) return request.lastTerm > own.term
  return request.lastIndex >= own.index
}

/** Counts a vote if it belongs to the current election. */
export async function handleVoteAnswer (context: ReplicaContext, message: ReplicaMessage, answer: VoteAnswer): Promise<void> {
  const election = context.election
  if (election === undefined || !answer.granted) return
  if (election.preVote !== answer.preVote || election.askedTerm !== answer.askedTerm) return
  election.granted.add(memberKey({ name: message.from, incarnation: message.fromIncarnation }))
  await countVotes(context)
}

/** Starts an election at once, because the leader transfers leadership to this replica. */
export async function handleTimeoutNow (context: ReplicaContext, message: ReplicaMessage): Promise<void> {
  if (message.term === context.term()) await startElection(context, true)
}

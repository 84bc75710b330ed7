import type { ReplicaSet } from '@hickoryspoke/protocol/generated/replica'
import { Err, Ok, type Result } from 'ts-results-es'
import { advanceCommit, appendAsLeader, maintainPeers } from './leader-feed.ts'
import type { Leadership } from './leadership.ts'
import { FEED_MODE } from './peer-progress.ts'
import type { ReplicaContext } from './replica-context.ts'
import { isMajority, memberKey, votersOf, withMember, withoutMember, type ReplicaIdentity } from './replica-set.ts'
import { NotLeader, REPLICA_SET_REFUSAL, ReplicaSetChangeRefused, type ReplicationFailure } from './replication-failure.ts'

/** A learner may be this many entries behind when it is given a vote. */
const CAUGHT_UP_ENTRIES = 16

type Change = Result<number, ReplicationFailure>

/** Adds a replica that has announced itself, as a learner. It gets its vote by itself once it has caught up. */
export function addReplica (context: ReplicaContext, name: string): Change {
  const incarnation = context.joiners.get(name)
  if (context.latestSet().members.some((member) => member.name === name && member.incarnation === incarnation)) {
    return refuse(REPLICA_SET_REFUSAL.AlreadyMember)
  }
  if (incarnation === undefined) return refuse(REPLICA_SET_REFUSAL.UnknownReplica)
  return changeSet(context, withLearner(context.latestSet(), { name, incarnation }))
}

/** Removes a replica under all its incarnations. The leader must hand leadership over first. */
export function removeReplica (context: ReplicaContext, name: string): Change {
  const set = context.latestSet()
  const member = set.members.find((one) => one.name === name && one.voter) ?? set.members.find((one) => one.name === name)
  if (member === undefined) return refuse(REPLICA_SET_REFUSAL.UnknownReplica)
  if (member.voter && votersOf(set).length === 1) return refuse(REPLICA_SET_REFUSAL.LastVoter)
  return changeSet(context, withoutMember(set, member))
}

/** Adds an entry that changes the replica set, unless an earlier change is still under way. */
function changeSet (context: ReplicaContext, set: ReplicaSet): Change {
  const leadership = context.leadership
  if (leadership === undefined || leadership.handingOver) return Err(NotLeader.create(context.leaderName))
  if (context.commitIndex < leadership.startIndex) return refuse(REPLICA_SET_REFUSAL.TermNotConfirmed)
  if (context.log.latestSet().index > context.commitIndex) return refuse(REPLICA_SET_REFUSAL.ChangeUnderWay)
  const index = appendAsLeader(context, { $case: 'replicaSet', value: set })
  context.report({ kind: 'replica_set_changed', index, set })
  maintainPeers(context)
  advanceCommit(context)
  return Ok(index)
}

/** Steps that a leader takes on its own, one at a time: repair after a lost disk, and votes for learners that caught up. */
export function superviseReplicaSet (context: ReplicaContext): void {
  const leadership = context.leadership
  if (leadership === undefined || leadership.handingOver) return
  if (context.commitIndex < leadership.startIndex || context.log.latestSet().index > context.commitIndex) return
  const next = learnerForLostDisk(context) ?? setWithCaughtUpLearner(context, leadership)
  if (next !== undefined) changeSet(context, next)
}

/** A member that came back without its disk becomes a learner under its new incarnation; its old vote stays unused. */
function learnerForLostDisk (context: ReplicaContext): ReplicaSet | undefined {
  const set = context.latestSet()
  for (const [name, incarnation] of context.joiners) {
    const known = set.members.some((member) => member.name === name)
    const present = set.members.some((member) => member.name === name && member.incarnation === incarnation)
    if (known && !present) return withLearner(set, { name, incarnation })
  }
  return undefined
}

function withLearner (set: ReplicaSet, identity: ReplicaIdentity): ReplicaSet {
  const staleLearners = set.members.filter((member) => member.name === identity.name && !member.voter)
  const cleaned = staleLearners.reduce<ReplicaSet>(withoutMember, set)
  return withMember(cleaned, { ...identity, voter: false })
}

/** First the vote of the old incarnation goes, then the caught-up learner gets its own: never both, never in one step. */
function setWithCaughtUpLearner (context: ReplicaContext, leadership: Leadership): ReplicaSet | undefined {
  const set = context.latestSet()
  for (const learner of set.members.filter((member) => !member.voter)) {
    if (!isCaughtUp(context, leadership, learner)) continue
    const old = set.members.find((member) => member.voter && member.name === learner.name)
    return old === undefined ? withMember(set, { ...learner, voter: true }) : withoutMember(set, old)
  }
  return undefined
}

function isCaughtUp (context: ReplicaContext, leadership: Leadership, learner: ReplicaIdentity): boolean {
  const peer = leadership.peers.get(memberKey(learner))
  if (peer === undefined || peer.mode !== FEED_MODE.Pipeline) return false
  const heardAgo = context.now() - peer.lastHeard
  return heardAgo <= context.tuning.electionTimeoutMilliseconds && peer.matchIndex + CAUGHT_UP_ENTRIES >= context.commitIndex
}

/** Whether a majority of voters has been heard within the election timeout. */
export function hearsQuorum (context: ReplicaContext, leadership: Leadership): boolean {
  const oldest = context.now() - context.tuning.electionTimeoutMilliseconds
  return isMajority(context.latestSet(), (key) => {
    return key === context.selfKey() || (leadership.peers.get(key)?.lastHeard ?? -Infinity) >= oldest
  })
}

function refuse (reason: typeof REPLICA_SET_REFUSAL[keyof typeof REPLICA_SET_REFUSAL]): Change {
  return Err(ReplicaSetChangeRefused.create(reason))
}

import type { ReplicaMember, ReplicaSet } from '@hickoryspoke/protocol/generated/replica'
import { currentJoiners } from './formation.ts'
import { advanceCommit, appendAsLeader, reconcilePeers } from './leader-replication.ts'
import type { Leadership } from './leadership.ts'
import { REPLICATION_MODE } from './peer-progress.ts'
import type { ReplicaContext } from './replica-context.ts'
import { findMember, isMajority, memberKey, votersOf, withMember, withoutMember, type ReplicaIdentity } from './replica-set.ts'

/** Maximum number of entries by which a learner may lag when it gets a vote. */
const MAXIMUM_LEARNER_LAG_ENTRIES = 16

/** Appends an entry that changes the replica set, and starts using the new set. */
function appendReplicaSetChange (context: ReplicaContext, set: ReplicaSet): void {
  const index = appendAsLeader(context, { $case: 'replicaSet', value: set })
  context.report({ kind: 'replica_set_changed', index, set })
  reconcilePeers(context)
  advanceCommit(context)
}

/**
 * Moves the replica set towards the settings, one change at a time; the next change waits until the last one is committed.
 * Replicas that are new or lost their disk become learners, learners that caught up get a vote, and retired replicas are removed.
 */
export function reconcileReplicaSet (context: ReplicaContext): void {
  const leadership = context.leadership
  if (leadership === undefined || leadership.transferring) return
  if (context.commitIndex < leadership.startIndex || context.log.latestReplicaSet().index > context.commitIndex) return
  const next = setWithJoiner(context) ?? setWithCaughtUpLearner(context, leadership) ?? setWithoutRetired(context, leadership)
  if (next !== undefined) appendReplicaSetChange(context, next)
}

/** Adds as a learner a replica that is new, or that lost its disk and has a new incarnation. */
function setWithJoiner (context: ReplicaContext): ReplicaSet | undefined {
  const set = context.latestReplicaSet()
  const joiner = currentJoiners(context).find((one) => findMember(set, one) === undefined && mayJoin(context, one.name))
  return joiner === undefined ? undefined : withLearner(set, joiner)
}

function mayJoin (context: ReplicaContext, name: string): boolean {
  return context.settings.openMembership !== undefined || context.settings.peers.includes(name)
}

/** Removes a member that may be retired and has been silent for `retireMilliseconds`. */
function setWithoutRetired (context: ReplicaContext, leadership: Leadership): ReplicaSet | undefined {
  const set = context.latestReplicaSet()
  const retired = set.members.find((member) => {
    const lastHeard = leadership.peers.get(memberKey(member))?.lastHeard
    const isSilent = lastHeard !== undefined && context.now() - lastHeard >= context.tuning.retireMilliseconds
    return isSilent && mayRetire(context, set, member)
  })
  return retired === undefined ? undefined : withoutMember(set, retired)
}

/** Whether a silent member may be removed: one that the settings no longer name or, with open membership, a learner or a voter in excess of `minimumVoters`. */
function mayRetire (context: ReplicaContext, set: ReplicaSet, member: ReplicaMember): boolean {
  const { openMembership, peers } = context.settings
  if (openMembership === undefined) return !peers.includes(member.name)
  return !member.voter || votersOf(set).length > openMembership.minimumVoters
}

function withLearner (set: ReplicaSet, identity: ReplicaIdentity): ReplicaSet {
  const staleLearners = set.members.filter((member) => member.name === identity.name && !member.voter)
  const cleaned = staleLearners.reduce<ReplicaSet>(withoutMember, set)
  return withMember(cleaned, { ...identity, voter: false })
}

/** Gives a caught-up learner a vote. If an earlier incarnation still has one, that is removed first, as a change of its own, so that both never vote. */
function setWithCaughtUpLearner (context: ReplicaContext, leadership: Leadership): ReplicaSet | undefined {
  const set = context.latestReplicaSet()
  for (const learner of set.members.filter((member) => !member.voter)) {
    if (!isCaughtUp(context, leadership, learner)) continue
    const old = set.members.find((member) => member.voter && member.name === learner.name)
    return old === undefined ? withMember(set, { ...learner, voter: true }) : withoutMember(set, old)
  }
  return undefined
}

function isCaughtUp (context: ReplicaContext, leadership: Leadership, learner: ReplicaIdentity): boolean {
  const peer = leadership.peers.get(memberKey(learner))
  if (peer === undefined || peer.mode !== REPLICATION_MODE.Pipeline) return false
  const heardAgo = context.now() - peer.lastHeard
  return heardAgo <= context.tuning.electionTimeoutMilliseconds && peer.matchIndex + MAXIMUM_LEARNER_LAG_ENTRIES >= context.commitIndex
}

/** Whether the leader has heard from a majority of voters within the election timeout. */
export function hasQuorumContact (context: ReplicaContext, leadership: Leadership): boolean {
  const oldest = context.now() - context.tuning.electionTimeoutMilliseconds
  return isMajority(context.latestReplicaSet(), (key) => {
    return key === context.selfKey() || (leadership.peers.get(key)?.lastHeard ?? -Infinity) >= oldest
  })
}

import type { ReplicaMember, ReplicaSet } from '@hickoryspoke/protocol/generated/replica'
import { advanceCommit, appendAsLeader, maintainPeers } from './leader-feed.ts'
import type { Leadership } from './leadership.ts'
import { FEED_MODE } from './peer-progress.ts'
import type { ReplicaContext } from './replica-context.ts'
import { findMember, isMajority, memberKey, votersOf, withMember, withoutMember, type ReplicaIdentity } from './replica-set.ts'

/** A learner may be this many entries behind when it is given a vote. */
const CAUGHT_UP_ENTRIES = 16

/** Adds an entry that changes the replica set. */
function changeSet (context: ReplicaContext, set: ReplicaSet): void {
  const index = appendAsLeader(context, { $case: 'replicaSet', value: set })
  context.report({ kind: 'replica_set_changed', index, set })
  maintainPeers(context)
  advanceCommit(context)
}

/**
 * Steps that a leader takes on its own, one at a time, so that the set becomes the one of its settings:
 * learners for replicas that are new or lost their disk, votes for learners that caught up, removal of retired replicas.
 */
export function superviseReplicaSet (context: ReplicaContext): void {
  const leadership = context.leadership
  if (leadership === undefined || leadership.handingOver) return
  if (context.commitIndex < leadership.startIndex || context.log.latestSet().index > context.commitIndex) return
  const next = setWithJoiner(context) ?? setWithCaughtUpLearner(context, leadership) ?? setWithoutRetired(context, leadership)
  if (next !== undefined) changeSet(context, next)
}

/** A replica of the settings that is new, or came back without its disk, becomes a learner under its new incarnation. */
function setWithJoiner (context: ReplicaContext): ReplicaSet | undefined {
  const set = context.latestSet()
  for (const [name, incarnation] of context.joiners) {
    if (findMember(set, { name, incarnation }) !== undefined) continue
    if (mayJoin(context, name)) return withLearner(set, { name, incarnation })
  }
  return undefined
}

function mayJoin (context: ReplicaContext, name: string): boolean {
  return context.settings.openMembership !== undefined || context.settings.peers.includes(name)
}

/** A member that the settings no longer name goes once it has been silent for long, as a stopped one is. */
function setWithoutRetired (context: ReplicaContext, leadership: Leadership): ReplicaSet | undefined {
  const set = context.latestSet()
  const retired = set.members.find((member) => {
    const lastHeard = leadership.peers.get(memberKey(member))?.lastHeard
    const isSilent = lastHeard !== undefined && context.now() - lastHeard >= context.tuning.retireMilliseconds
    return isSilent && mayRetire(context, set, member)
  })
  return retired === undefined ? undefined : withoutMember(set, retired)
}

/** With open membership a silent voter goes only while enough other voters stay. */
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

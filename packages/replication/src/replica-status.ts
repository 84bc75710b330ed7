import { currentJoiners } from './formation.ts'
import type { ReplicaContext } from './replica-context.ts'
import { memberKey } from './replica-set.ts'
import type { ReplicaRole } from './replicated-log.ts'

/** One member as the leader sees it. */
export interface MemberStatus {
  readonly name: string
  readonly incarnation: string
  readonly voter: boolean
  readonly matchIndex: number | undefined
  readonly heardMillisecondsAgo: number | undefined
}

/** Status of a replica. Progress of members is known to the leader only. */
export interface ReplicaStatus {
  readonly name: string
  readonly incarnation: string
  readonly role: ReplicaRole
  readonly leader: string | undefined
  readonly term: number
  readonly lastIndex: number
  readonly commitIndex: number
  readonly appliedIndex: number
  readonly durableIndex: number
  readonly snapshotIndex: number
  readonly members: readonly MemberStatus[]
  /** Replicas that ask to join now. */
  readonly joiners: readonly string[]
}

/** Returns the current status of a replica. */
export function describeReplica (context: ReplicaContext): ReplicaStatus {
  return {
    ...context.self(),
    role: context.lifecycle.role(),
    leader: context.leaderName,
    term: context.term(),
    lastIndex: context.lastPosition().index,
    commitIndex: context.commitIndex,
    appliedIndex: context.appliedIndex,
    durableIndex: context.durableIndex,
    snapshotIndex: context.snapshot?.header.index ?? 0,
    members: describeMembers(context),
    joiners: currentJoiners(context).map(({ name }) => name)
  }
}

function describeMembers (context: ReplicaContext): MemberStatus[] {
  const now = context.now()
  return context.latestReplicaSet().members.map((member) => {
    const peer = context.leadership?.peers.get(memberKey(member))
    const isSelf = context.leadership !== undefined && memberKey(member) === context.selfKey()
    return {
      ...member,
      matchIndex: isSelf ? context.durableIndex : peer?.matchIndex,
      heardMillisecondsAgo: isSelf ? 0 : peer === undefined ? undefined : now - peer.lastHeard
    }
  })
}

import type { ReplicaMember, ReplicaSet } from '@hickoryspoke/protocol/generated/replica'

/** Identifies a replica. A replica that lost its disk comes back under a new incarnation. */
export interface ReplicaIdentity {
  readonly name: string
  readonly incarnation: string
}

/** Returns a map key for a replica and its incarnation. */
export function memberKey (member: ReplicaIdentity): string {
  return `${member.name}/${member.incarnation}`
}

/** Members with a vote. */
export function votersOf (set: ReplicaSet): ReplicaMember[] {
  return set.members.filter((member) => member.voter)
}

/** Number of voters that form a majority. */
export function quorumSize (set: ReplicaSet): number {
  return Math.floor(votersOf(set).length / 2) + 1
}

/** Whether the voters whose key satisfies a predicate form a majority. */
export function isMajority (set: ReplicaSet, passes: (key: string) => boolean): boolean {
  return votersOf(set).filter((member) => passes(memberKey(member))).length >= quorumSize(set)
}

/** Finds the member with this name and incarnation. */
export function findMember (set: ReplicaSet, identity: ReplicaIdentity): ReplicaMember | undefined {
  return set.members.find((member) => memberKey(member) === memberKey(identity))
}

/** Whether the member with this name and incarnation has a vote. */
export function isVoter (set: ReplicaSet, identity: ReplicaIdentity): boolean {
  return findMember(set, identity)?.voter === true
}

/** Returns the set without a member. */
export function withoutMember (set: ReplicaSet, identity: ReplicaIdentity): ReplicaSet {
  return { members: set.members.filter((member) => memberKey(member) !== memberKey(identity)) }
}

/** Returns the set with a member added or replaced. */
export function withMember (set: ReplicaSet, member: ReplicaMember): ReplicaSet {
  return { members: [...withoutMember(set, member).members, member] }
}

/** Returns the highest value that a majority of voters has reached. */
export function majorityValue (set: ReplicaSet, valueOf: (key: string) => number): number {
  const values = votersOf(set).map((member) => valueOf(memberKey(member)))
  values.sort((left, right) => right - left)
  return values[quorumSize(set) - 1] ?? 0
}

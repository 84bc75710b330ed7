import type { ReplicaMember, ReplicaSet } from '@hickoryspoke/protocol/generated/replica'

/** What tells one life of a replica from another: a replica that lost its disk has a new incarnation. */
export interface ReplicaIdentity {
  readonly name: string
  readonly incarnation: string
}

/** One text for a replica and its incarnation. */
export function memberKey (member: ReplicaIdentity): string {
  return `${member.name}/${member.incarnation}`
}

/** Members that are counted. */
export function votersOf (set: ReplicaSet): ReplicaMember[] {
  return set.members.filter((member) => member.voter)
}

/** How many voters decide. */
export function majorityOf (set: ReplicaSet): number {
  return Math.floor(votersOf(set).length / 2) + 1
}

/** Whether the voters whose key passes are a majority. */
export function isMajority (set: ReplicaSet, passes: (key: string) => boolean): boolean {
  return votersOf(set).filter((member) => passes(memberKey(member))).length >= majorityOf(set)
}

/** The member of this name and incarnation. */
export function findMember (set: ReplicaSet, identity: ReplicaIdentity): ReplicaMember | undefined {
  return set.members.find((member) => memberKey(member) === memberKey(identity))
}

/** Whether this name and incarnation is counted. */
export function isVoter (set: ReplicaSet, identity: ReplicaIdentity): boolean {
  return findMember(set, identity)?.voter === true
}

/** The set without a member. */
export function withoutMember (set: ReplicaSet, identity: ReplicaIdentity): ReplicaSet {
  return { members: set.members.filter((member) => memberKey(member) !== memberKey(identity)) }
}

/** The set with a member added or its vote changed. */
export function withMember (set: ReplicaSet, member: ReplicaMember): ReplicaSet {
  return { members: [...withoutMember(set, member).members, member] }
}

/** The highest value that a majority of voters has reached. */
export function majorityValue (set: ReplicaSet, valueOf: (key: string) => number): number {
  const values = votersOf(set).map((member) => valueOf(memberKey(member)))
  values.sort((left, right) => right - left)
  return values[majorityOf(set) - 1] ?? 0
}

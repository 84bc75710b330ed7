import type { ReplicaHello, ReplicaMessage, ReplicaSet } from '@hickoryspoke/protocol/generated/replica'
import type { ReplicaContext } from './replica-context.ts'
import { findMember } from './replica-set.ts'

/** Sends hello messages while this replica forms a cluster, waits to join one, or knows no leader. */
export async function announceSelf (context: ReplicaContext): Promise<void> {
  if (context.storage.identity.forming) await formIfComplete(context)
  if (!needsHelloAnswer(context) || context.now() - context.lastHelloSent < context.tuning.helloMilliseconds) return
  context.lastHelloSent = context.now()
  for (const name of context.settings.peers) {
    if (name !== context.settings.name) sendHello(context, { name, incarnation: '' }, true)
  }
}

function needsHelloAnswer (context: ReplicaContext): boolean {
  if (context.storage.identity.forming || context.leaderName === undefined) return true
  return findMember(context.latestReplicaSet(), context.self()) === undefined
}

function sendHello (context: ReplicaContext, to: { name: string, incarnation: string }, answerWanted: boolean): void {
  const value: ReplicaHello = { forming: context.storage.identity.forming, knownSet: knownSet(context), answerWanted }
  context.send(to, { $case: 'hello', value })
}

function knownSet (context: ReplicaContext): ReplicaSet | undefined {
  const latest = context.latestReplicaSet()
  return latest.members.length > 0 ? latest : undefined
}

/** Handles the hello of another replica. Throws `StorageFailure`. */
export async function handleHello (context: ReplicaContext, message: ReplicaMessage, hello: ReplicaHello): Promise<void> {
  const sender = { name: message.from, incarnation: message.fromIncarnation }
  recordJoiner(context, sender)
  if (hello.forming) context.formingPeers.set(sender.name, sender.incarnation)
  if (context.storage.identity.forming) await adoptKnownSet(context, hello)
  if (hello.answerWanted) answerHello(context, sender)
}

function recordJoiner (context: ReplicaContext, sender: { name: string, incarnation: string }): void {
  const set = context.latestReplicaSet()
  if (set.members.length === 0) return
  if (findMember(set, sender) !== undefined) {
    context.joiners.delete(sender.name)
    return
  }
  if (context.joiners.get(sender.name) === sender.incarnation) return
  context.joiners.set(sender.name, sender.incarnation)
  context.report({ kind: 'joiner_seen', ...sender })
}

/**
 * Answers a hello with the replica set known here. A founding member gets the set that the cluster was formed with,
 * because it may have missed the end of forming.
 */
function answerHello (context: ReplicaContext, sender: { name: string, incarnation: string }): void {
  const formed = context.storage.identity.formedSet
  const isFounder = formed !== undefined && findMember(formed, sender) !== undefined
  const value: ReplicaHello = {
    forming: context.storage.identity.forming,
    knownSet: isFounder ? formed : knownSet(context),
    answerWanted: false
  }
  context.send(sender, { $case: 'hello', value })
}

/** Forms with the set that another replica knows. If this replica is not in it, the cluster already exists, so forming ends and the replica waits to join. */
async function adoptKnownSet (context: ReplicaContext, hello: ReplicaHello): Promise<void> {
  if (hello.knownSet === undefined) {
    await formIfComplete(context)
    return
  }
  if (findMember(hello.knownSet, context.self()) !== undefined) {
    await form(context, hello.knownSet)
    return
  }
  await context.storage.saveIdentity({ ...context.storage.identity, forming: false })
  context.report({ kind: 'not_a_member', set: hello.knownSet })
}

/** Forms the cluster once all initial replicas are known to be forming. Requiring all of them prevents forming an existing cluster again. */
async function formIfComplete (context: ReplicaContext): Promise<void> {
  context.formingPeers.set(context.settings.name, context.storage.identity.incarnation)
  const names = [...context.settings.peers].sort()
  const members = names.map((name) => ({ name, incarnation: context.formingPeers.get(name) ?? '', voter: true }))
  if (members.every((member) => member.incarnation !== '')) await form(context, { members })
}

async function form (context: ReplicaContext, set: ReplicaSet): Promise<void> {
  await context.storage.saveIdentity({ ...context.storage.identity, forming: false, formedSet: set })
  context.log.setInitialReplicaSet(set)
  context.report({ kind: 'formed', set })
  context.updateMembershipRole()
  context.resetElectionDeadline()
  if (set.members.length === 1) context.electionDeadline = context.now()
}

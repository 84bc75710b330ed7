import type { ReplicaHello, ReplicaMessage, ReplicaSet } from '@hickoryspoke/protocol/generated/replica'
import type { ReplicaContext } from './replica-context.ts'
import { findMember, type ReplicaIdentity } from './replica-set.ts'

const MISSED_HELLOS = 3

/** Sends hello messages while this replica forms a cluster, waits to join one, or knows no leader. */
export async function announceSelf (context: ReplicaContext): Promise<void> {
  if (context.storage.identity.forming) await formIfComplete(context)
  if (!needsHelloAnswer(context)) {
    context.learnedNames.clear()
    return
  }
  if (context.now() - context.lastHelloSent < context.tuning.helloMilliseconds) return
  context.lastHelloSent = context.now()
  for (const name of helloReceivers(context)) sendHello(context, { name, incarnation: '' }, true)
}

/** Only the leader adds a member, and the settings need not name it, so the hello goes to every member known here as well. */
function helloReceivers (context: ReplicaContext): Set<string> {
  const members = context.latestReplicaSet().members.map((member) => member.name)
  const names = new Set([...context.settings.peers, ...members, ...context.learnedNames])
  names.delete(context.settings.name)
  return names
}

function needsHelloAnswer (context: ReplicaContext): boolean {
  if (context.storage.identity.forming || context.leaderName === undefined) return true
  return findMember(context.latestReplicaSet(), context.self()) === undefined
}

function sendHello (context: ReplicaContext, to: ReplicaIdentity, answerWanted: boolean): void {
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
  if (needsHelloAnswer(context)) learnNames(context, hello)
  if (hello.forming) context.formingPeers.set(sender.name, sender.incarnation)
  if (context.storage.identity.forming) await adoptKnownSet(context, hello)
  if (hello.answerWanted) answerHello(context, sender, hello.forming)
}

function learnNames (context: ReplicaContext, hello: ReplicaHello): void {
  for (const member of hello.knownSet?.members ?? []) context.learnedNames.add(member.name)
}

function recordJoiner (context: ReplicaContext, sender: ReplicaIdentity): void {
  const set = context.latestReplicaSet()
  if (set.members.length === 0) return
  if (findMember(set, sender) !== undefined) {
    context.joiners.delete(sender.name)
    return
  }
  const isKnown = context.joiners.get(sender.name)?.incarnation === sender.incarnation
  context.joiners.set(sender.name, { incarnation: sender.incarnation, heardAt: context.now() })
  if (!isKnown) context.report({ kind: 'joiner_seen', ...sender })
}

/** The replicas that ask to join now, by name. One that missed several hello messages has stopped asking. */
export function currentJoiners (context: ReplicaContext): ReplicaIdentity[] {
  const oldest = context.now() - context.tuning.helloMilliseconds * MISSED_HELLOS
  return [...context.joiners]
    .filter(([, { heardAt }]) => heardAt >= oldest)
    .map(([name, { incarnation }]) => ({ name, incarnation }))
}

/**
 * Answers a hello with the replica set known here. A founding member that missed the end of forming gets the set that
 * the cluster was formed with.
 */
function answerHello (context: ReplicaContext, sender: ReplicaIdentity, senderIsForming: boolean): void {
  const formed = context.storage.identity.formedSet
  const isFormingFounder = senderIsForming && formed !== undefined && findMember(formed, sender) !== undefined
  const value: ReplicaHello = {
    forming: context.storage.identity.forming,
    knownSet: isFormingFounder ? formed : knownSet(context),
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

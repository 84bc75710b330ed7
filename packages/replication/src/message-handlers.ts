import type { ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import { handleTimeoutNow, handleVoteAnswer, handleVoteRequest } from './election.ts'
import { handleAppendRequest } from './follower-append.ts'
import { handleHello } from './formation.ts'
import { handleAppendAnswer, handleSnapshotAnswer } from './leader-replication.ts'
import type { MessageBody, ReplicaContext } from './replica-context.ts'
import { handleSnapshotChunk } from './snapshot-installation.ts'

type BodyOf<Case extends MessageBody['$case']> = Extract<MessageBody, { $case: Case }>['value']
type Handler<Case extends MessageBody['$case']> = (context: ReplicaContext, message: ReplicaMessage, body: BodyOf<Case>) => void | Promise<void>

const HANDLERS: { readonly [Case in MessageBody['$case']]: Handler<Case> } = {
  hello: handleHello,
  voteRequest: handleVoteRequest,
  voteAnswer: handleVoteAnswer,
  appendRequest: handleAppendRequest,
  appendAnswer: handleAppendAnswer,
  snapshotChunk: handleSnapshotChunk,
  snapshotAnswer: handleSnapshotAnswer,
  timeoutNow: handleTimeoutNow
}

/** Messages whose higher term is not adopted on receipt. The handler of vote requests decides whether to adopt it. */
const CASES_WITHOUT_TERM_ADOPTION: readonly MessageBody['$case'][] = ['hello', 'voteRequest']

/** Queues a message from an authenticated sender for processing in order. */
export function receiveMessage (context: ReplicaContext, from: string, message: ReplicaMessage): void {
  context.tasks.run(() => handleMessage(context, from, message))
}

async function handleMessage (context: ReplicaContext, from: string, message: ReplicaMessage): Promise<void> {
  const { body } = message
  if (body === undefined || context.isStopped() || !isAddressedToSelf(context, from, message)) return
  if (!CASES_WITHOUT_TERM_ADOPTION.includes(body.$case) && message.term > context.term()) await context.adoptTerm(message.term)
  await dispatch(context, message, body)
}

function isAddressedToSelf (context: ReplicaContext, from: string, message: ReplicaMessage): boolean {
  if (message.cluster !== context.settings.cluster || message.from !== from) {
    context.report({ kind: 'foreign_message', from, cluster: message.cluster })
    return false
  }
  return message.toIncarnation === '' || message.toIncarnation === context.storage.identity.incarnation
}

function dispatch<Case extends MessageBody['$case']> (
  context: ReplicaContext,
  message: ReplicaMessage,
  body: { $case: Case, value: BodyOf<Case> }
): void | Promise<void> {
  return HANDLERS[body.$case](context, message, body.value)
}

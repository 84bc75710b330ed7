import type { ReplicaMessage } from '@hickoryspoke/protocol/generated/replica'
import { handleTimeoutNow, handleVoteAnswer, handleVoteRequest } from './election.ts'
import { handleAppendRequest } from './follower-append.ts'
import { handleHello } from './formation.ts'
import { handleAppendAnswer, handleSnapshotAnswer } from './leader-feed.ts'
import type { MessageBody, ReplicaContext } from './replica-context.ts'
import { handleSnapshotChunk } from './snapshot-receipt.ts'

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

/** Messages whose term is taken over when it is higher. A request for a vote decides that for itself. */
const CASES_WITHOUT_TERM: readonly MessageBody['$case'][] = ['hello', 'voteRequest']

/** Queues a message from the stream of an authenticated sender. */
export function receiveMessage (context: ReplicaContext, from: string, message: ReplicaMessage): void {
  context.tasks.run(() => handleMessage(context, from, message))
}

async function handleMessage (context: ReplicaContext, from: string, message: ReplicaMessage): Promise<void> {
  const { body } = message
  if (body === undefined || context.isStopped() || !isForThis(context, from, message)) return
  if (!CASES_WITHOUT_TERM.includes(body.$case) && message.term > context.term()) await context.adoptTerm(message.term)
  await dispatch(context, message, body)
}

function isForThis (context: ReplicaContext, from: string, message: ReplicaMessage): boolean {
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

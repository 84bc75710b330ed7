import { EventEmitter } from 'node:events'
import type { EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClientSession, DispatchCall } from '../client-session.ts'
import { ClientStream } from '../client-stream.ts'

function numberQuestion (question: number): EntryMessage {
  return { body: { $case: 'number', value: { question, relays: false } } }
}

/** A stream, and what its listener was told. */
function createStream () {
  const call = Object.assign(new EventEmitter(), { end: () => {} })
  const told: string[] = []
  const describe = ({ body }: EntryMessage): string => body?.$case === 'number' ? String(body.value.question) : 'other'
  ClientStream.create(call as unknown as DispatchCall, {
    arrived: (stream) => { setImmediate(() => stream.open()) },
    waiting: () => { told.push('waiting') },
    opened: (message) => {
      told.push(`opened ${describe(message)}`)
      return {} as unknown as ClientSession
    },
    received: (_, message) => { told.push(`received ${describe(message)}`) },
    closed: (session) => { told.push(session === undefined ? 'closed unserved' : 'closed') },
    failed: () => { told.push('failed') }
  })
  return { call, told }
}

async function nextTurn (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}

test('messages are handled in order, also those that arrive with the first', async () => {
  const { call, told } = createStream()
  for (const question of [1, 2, 3]) call.emit('data', numberQuestion(question))
  await nextTurn()
  call.emit('data', numberQuestion(4))
  call.emit('end')
  assert.equal(told, ['opened 1', 'received 2', 'received 3', 'received 4', 'closed'])
})

// Guards against a leader that is kept busy by the hellos of clients that have given up waiting for it (SHORT).
test('a client that has left before its first message is handled is not served', async () => {
  const { call, told } = createStream()
  call.emit('data', numberQuestion(1))
  call.emit('end')
  await nextTurn()
  assert.equal(told, ['closed unserved'])
})

test('a stream that fails is closed once', async () => {
  const { call, told } = createStream()
  call.emit('data', numberQuestion(1))
  await nextTurn()
  call.emit('error', new Error('reset'))
  call.emit('end')
  assert.equal(told, ['opened 1', 'failed', 'closed'])
})

test.run()

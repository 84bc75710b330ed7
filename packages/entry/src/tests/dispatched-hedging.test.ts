import { PlacementOutcome, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { okResponse, RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startDispatched } from './dispatched-fixture.ts'

/** An entry with an upstream that never answers, which it is given first, and one that does. */
async function startPair (mayRepeat: boolean) {
  const silent = await RawUpstream.create(() => {})
  const quick = await RawUpstream.create((socket) => { socket.write(okResponse('answer')) })
  const questions: PlacementQuestion[] = []
  const entry = await startDispatched((client, question) => {
    questions.push(question)
    const { ticket } = question
    const isFirst = questions.length === 1
    client.receivePlacement(isFirst ? { ticket, instance: 'silent', address: silent.address } : { ticket, instance: 'quick', address: quick.address })
    if (!isFirst) return
    const tellOnceSent = (): void => { silent.requests.length > 0 ? client.receiveOverdue(ticket) : setImmediate(tellOnceSent) }
    tellOnceSent()
  }, { mayRepeat })
  const stop = async (): Promise<void> => {
    entry.server.close()
    await Promise.all([silent.close(), quick.close()])
  }
  return { ...entry, silent, quick, questions, stop }
}

// Guards against requests that wait to their deadline on an upstream that hangs, although they may be repeated.
test('a repeatable request that is overdue is answered by another upstream', async () => {
  const { send, silent, quick, questions, ends, stop } = await startPair(true)
  assert.is(await send(), 200)
  assert.equal([silent.requests.length, quick.requests.length], [1, 1])
  assert.equal(questions.map(({ attempt, excluded, charged }) => [attempt, excluded, charged]), [[0, [], false], [1, ['silent'], true]])
  while (silent.closedConnections === 0) await new Promise((resolve) => setImmediate(resolve))
  const outcomes = Object.fromEntries(ends.map(({ instance, outcome }) => [instance, outcome]))
  assert.equal(outcomes, {
    quick: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED, silent: PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED
  })
  await stop()
})

// Guards against operations that run twice because their upstream is slow (TWICE).
test('a request that may not be repeated stays with its upstream', async () => {
  const { send, silent, quick, questions, stop } = await startPair(false)
  const sent = send()
  while (silent.requests.length === 0) await new Promise((resolve) => setImmediate(resolve))
  await new Promise((resolve) => setTimeout(resolve, 20))
  assert.is(questions.length, 1)
  for (const socket of silent.sockets) socket.write(okResponse('late'))
  assert.is(await sent, 200)
  assert.is(quick.requests.length, 0)
  await stop()
})

test.run()

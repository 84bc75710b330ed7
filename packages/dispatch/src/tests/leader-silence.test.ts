import type { EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { DispatchStreamListener } from '../dispatch-stream.ts'
import { question } from './fixture.ts'
import { connectTo, ignore } from './leader-connection-fixture.ts'

/** A question for a placement, of which only the kind matters here. */
const WAITING_QUESTION = question(1)

/** A leader in simulated time that answers questions for the number until it falls silent, and the wake-ups of its client. */
function createAnsweringLeader (isWaiting: () => boolean) {
  const clock = FakeClock.create()
  const questions: number[] = []
  const confirmations: number[] = []
  const opened: number[] = []
  const state = { isSilent: false, timers: 0, sendNews: (_: number): void => {} }
  const openStream = (_: string, __: InnerCredentials, listener: DispatchStreamListener) => {
    opened.push(clock.monotonicMilliseconds())
    state.sendNews = (revision) => listener.received({ body: { $case: 'upstreams', value: { whole: false, upstreams: [], revision } } })
    clock.schedule(1, () => listener.received({ body: { $case: 'leader', value: { leader: 'one:1', control: [], serving: true } } }))
    const write = ({ body }: EntryMessage): void => {
      if (body?.$case === 'confirmation') confirmations.push(body.value.revision)
      if (body?.$case !== 'number') return
      questions.push(clock.monotonicMilliseconds())
      const answer = { question: body.value.question, number: 1, entries: 1, relays: [], relayZones: [] }
      if (!state.isSilent) clock.schedule(5, () => listener.received({ body: { $case: 'number', value: answer } }))
    }
    return { write, end: ignore, cancel: ignore, isConnected: () => true, isAccepted: () => true }
  }
  const counting = {
    monotonicMilliseconds: () => clock.monotonicMilliseconds(),
    wallMilliseconds: () => clock.wallMilliseconds(),
    schedule: (delay: number, task: () => void) => {
      state.timers += 1
      return clock.schedule(delay, task)
    }
  }
  const { stop, connection } = connectTo(counting, ['one:1'], { openStream, isWaiting })
  return { clock, questions, confirmations, opened, state, stop, connection }
}

// Guards against entries that use up the processor of the leader and their own while they have nothing to do (SHORT).
test('an entry without requests asks the leader twice a second and hardly wakes up', async () => {
  const { clock, questions, state, stop } = createAnsweringLeader(() => false)
  await clock.advanceAsync(1_000)
  const [questionsBefore, timersBefore] = [questions.length, state.timers]
  await clock.advanceAsync(10_000)
  assert.ok(questions.length - questionsBefore <= 20, `${questions.length - questionsBefore} questions in 10 s`)
  assert.ok(state.timers - timersBefore <= 60, `${state.timers - timersBefore} timers in 10 s`)
  stop()
})

// Guards against entries that learn only from their next request that the leader is lost (SHORT).
test('an entry without requests notices soon that the leader is lost', async () => {
  for (const silentAt of [3_000, 3_100, 3_250, 3_400]) {
    const { clock, opened, state, stop } = createAnsweringLeader(() => false)
    await clock.advanceAsync(silentAt)
    state.isSilent = true
    await clock.advanceAsync(1_250)
    assert.is(opened.length, 2, `the leader falls silent at ${silentAt} ms`)
    stop()
  }
})

test('an entry whose requests wait notices within a second that the leader is lost', async () => {
  const { clock, opened, state, stop } = createAnsweringLeader(() => true)
  await clock.advanceAsync(3_000)
  state.isSilent = true
  await clock.advanceAsync(1_000)
  assert.is(opened.length, 2)
  stop()
})

test('a request that begins to wait for a leader that was lost unnoticed waits no longer than one that waits all along', async () => {
  let isWaiting = false
  const { clock, opened, state, stop, connection } = createAnsweringLeader(() => isWaiting)
  await clock.advanceAsync(3_050)
  state.isSilent = true
  await clock.advanceAsync(100)
  isWaiting = true
  connection.send({ body: { $case: 'question', value: WAITING_QUESTION } })
  await clock.advanceAsync(800)
  assert.is(opened.length, 2)
  stop()
})

/** Load: 48 upstreams are replaced within two seconds, and each departure is news for each entry. */
// Guards against a leader that spends its processor on a confirmation from each entry for each upstream that leaves (SHORT).
test('an entry confirms news that follows closely together', async () => {
  const { clock, confirmations, state, stop } = createAnsweringLeader(() => false)
  await clock.advanceAsync(1_000)
  for (let revision = 1; revision <= 48; revision += 1) {
    state.sendNews(revision)
    await clock.advanceAsync(2_000 / 48)
  }
  await clock.advanceAsync(200)
  assert.ok(confirmations.length <= 15, `${confirmations.length} confirmations`)
  assert.is(confirmations.at(-1), 48)
  stop()
})

test.run()

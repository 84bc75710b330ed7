/** Load: an upstream accepts requests and does not answer, while others are sound. Pattern: hedged request. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runHedged } from '../hedged-attempt.ts'

type End = 'answer' | 'failure'

/** An attempt that ends when the test says so. */
function createAttempt () {
  let finish: (end: End) => void = () => {}
  const result = new Promise<End>((resolve) => { finish = resolve })
  const attempt = {
    result,
    isCancelled: false,
    cancel: () => {
      attempt.isCancelled = true
      finish('failure')
    }
  }
  return { attempt, finish: (end: End) => finish(end) }
}

const never = new Promise<void>(() => {})
const isUsable = (end: End): boolean => end === 'answer'

test('an attempt that is not overdue is not hedged', async () => {
  const { attempt, finish } = createAttempt()
  let isStarted = false
  const startSecond = async () => {
    isStarted = true
    return undefined
  }
  const running = runHedged({ first: attempt, overdue: never, startSecond, isUsable })
  finish('failure')
  assert.equal(await running, { attempt, result: 'failure' })
  assert.not.ok(isStarted)
})

// Guards against requests that wait to their deadline on an upstream that hangs, while others are free.
test('the answer of the second attempt is used if the first one hangs, which is cancelled', async () => {
  const first = createAttempt()
  const second = createAttempt()
  const running = runHedged({ first: first.attempt, overdue: Promise.resolve(), startSecond: async () => second.attempt, isUsable })
  second.finish('answer')
  assert.is((await running).attempt, second.attempt)
  assert.ok(first.attempt.isCancelled)
  assert.not.ok(second.attempt.isCancelled)
})

test('the answer of the first attempt is used if it comes first, and the second is cancelled', async () => {
  const first = createAttempt()
  const second = createAttempt()
  const running = runHedged({ first: first.attempt, overdue: Promise.resolve(), startSecond: async () => second.attempt, isUsable })
  await new Promise((resolve) => setImmediate(resolve))
  first.finish('answer')
  assert.is((await running).attempt, first.attempt)
  assert.ok(second.attempt.isCancelled)
})

test('if one attempt fails, the other one decides', async () => {
  for (const last of ['answer', 'failure'] as const) {
    const first = createAttempt()
    const second = createAttempt()
    const running = runHedged({ first: first.attempt, overdue: Promise.resolve(), startSecond: async () => second.attempt, isUsable })
    second.finish('failure')
    await new Promise((resolve) => setImmediate(resolve))
    first.finish(last)
    assert.equal(await running, { attempt: first.attempt, result: last })
    assert.not.ok(first.attempt.isCancelled)
  }
})

test('the wait for a second upstream ends with the first attempt', async () => {
  const { attempt, finish } = createAttempt()
  const startSecond = async (signal: AbortSignal) => await new Promise<undefined>((resolve) => signal.addEventListener('abort', () => resolve(undefined)))
  const running = runHedged({ first: attempt, overdue: Promise.resolve(), startSecond, isUsable })
  await new Promise((resolve) => setImmediate(resolve))
  finish('answer')
  assert.is((await running).result, 'answer')
})

test('without a second upstream the first attempt decides', async () => {
  const { attempt, finish } = createAttempt()
  const running = runHedged({ first: attempt, overdue: Promise.resolve(), startSecond: async () => undefined, isUsable })
  finish('failure')
  assert.is((await running).result, 'failure')
})

test.run()

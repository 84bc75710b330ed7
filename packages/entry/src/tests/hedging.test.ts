import { PoolPolicy } from '@hickoryspoke/request/pool-policy'
import { RetryBudget } from '@hickoryspoke/request/retry-budget'
import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CallerFixture, statusOf } from './caller-fixture.ts'

const SAMPLES = 10
const POLICY = { hedgeMinimumSamples: SAMPLES, hedgeMinimumMilliseconds: 5 }
const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

interface Pair {
  readonly fixture: CallerFixture
  readonly silent: RawUpstream
  readonly quick: RawUpstream
  isSilent: boolean
}

/** Starts two upstreams and sends enough quick requests to activate hedging. The first upstream then stops responding. */
async function startPair (hedge = { share: 0.02, reserve: 3 }): Promise<Pair> {
  const pair = { isSilent: false } as { -readonly [Key in keyof Pair]: Pair[Key] }
  pair.silent = await RawUpstream.create((socket) => { if (!pair.isSilent) socket.write(okResponse('first')) })
  pair.quick = await RawUpstream.create((socket) => { socket.write(okResponse('second')) })
  pair.fixture = await CallerFixture.create({ addresses: [pair.silent.address, pair.quick.address], policies: { ...POLICY, hedge } })
  for (let turn = 0; turn < SAMPLES + 2; turn += 1) await pair.fixture.ask('GET', '/ledger')
  pair.isSilent = true
  return pair
}

async function stopPair (pair: Pair): Promise<void> {
  await pair.fixture.close()
  await Promise.all([pair.silent.close(), pair.quick.close()])
}

test('a slow repeatable request is hedged to another upstream, and the losing attempt is cancelled', async () => {
  const pair = await startPair()
  const closedBefore = pair.silent.closedConnections
  const answers = [await pair.fixture.ask('GET', '/ledger'), await pair.fixture.ask('GET', '/ledger')]
  assert.equal(answers.map((answer) => answer.split('\r\n\r\n')[1]), ['second', 'second'])
  await pause(20)
  assert.is(pair.silent.closedConnections, closedBefore + 1)
  assert.is(pair.fixture.outcomes.filter((outcome) => outcome.kind === 'cancelled').length, 1)
  await stopPair(pair)
})

test('a request that is not repeatable is never hedged', async () => {
  const pair = await startPair()
  const before = pair.quick.requests.length
  const answers = await Promise.all([pair.fixture.ask('POST', '/ledger'), pair.fixture.ask('POST', '/ledger')])
  assert.equal(answers.map(statusOf).sort(), [200, 504])
  assert.is(pair.quick.requests.length, before + 1)
  await stopPair(pair)
})

test('hedging stops when its budget is exhausted', async () => {
  const pair = await startPair({ share: 0, reserve: 1 })
  const answers = await Promise.all(Array.from({ length: 6 }, () => pair.fixture.ask('GET', '/ledger')))
  assert.is(answers.filter((answer) => statusOf(answer) === 504).length, 2)
  await stopPair(pair)
})

test('a retry budget grants its share and its reserve, but no more', () => {
  const budget = RetryBudget.create({ share: 0.1, reserve: 2 })
  let given = 0
  for (let request = 0; request < 1000; request += 1) {
    budget.deposit()
    if (budget.withdraw()) given += 1
  }
  assert.ok(given >= 99 && given <= 102, String(given))
})

test('the hedging delay is a high percentile of the latency of the pool', () => {
  const policy = PoolPolicy.create()
  assert.is(policy.hedgeAfterMilliseconds, undefined)
  for (let sample = 0; sample < 200; sample += 1) policy.recordResponseTime(sample < 180 ? 10 : 80)
  assert.ok(Math.abs((policy.hedgeAfterMilliseconds ?? 0) - 80) < 2)
})

test.run()

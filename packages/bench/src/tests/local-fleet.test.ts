import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LocalFleet } from '../local-fleet.ts'

const MAX_REQUESTS = 1_000
const SLOW_ANSWER_MILLISECONDS = 300

interface Answer {
  readonly status: number
  readonly run: string | null
  readonly body: Record<string, unknown>
}

async function ask (fleet: LocalFleet, path: string, customer?: string, init: RequestInit = {}, entry = 0): Promise<Answer> {
  const headers = new Headers(init.headers)
  if (customer !== undefined) headers.set('authorization', `Bearer ${fleet.secrets.keys[customer]}`)
  const answer = await fetch(`http://${fleet.entries[entry]?.publicAddress}${path}`, { ...init, headers })
  return { status: answer.status, run: answer.headers.get('hickoryspoke-run'), body: await answer.json() as Record<string, unknown> }
}

let fleet: LocalFleet

test.before(async () => {
  fleet = await LocalFleet.start({ clock: SystemClock.create(), random: SeededRandom.create(7), logger: silentLogger() })
})

test('a request with a key is answered by an upstream, which does not see the key', async () => {
  const { status, body } = await ask(fleet, '/ledger/1?drawer=2', 'curators')
  assert.is(status, 200)
  assert.is(body['path'], '/ledger/1?drawer=2')
  assert.is((body['headers'] as Record<string, string>)['hickoryspoke-customer'], 'curators')
  assert.not.ok(JSON.stringify(body).includes(fleet.secrets.keys['curators'] ?? ''))
})

test('a request without a key is refused and not run', async () => {
  const before = fleet.upstreams.reduce((sum, upstream) => sum + upstream.requests, 0)
  const { status, run } = await ask(fleet, '/ledger/1')
  assert.is(status, 401)
  assert.is(run, 'not-run')
  assert.is(fleet.upstreams.reduce((sum, upstream) => sum + upstream.requests, 0), before)
})

test('an open route needs no key, and an unknown path has no route', async () => {
  assert.is((await ask(fleet, '/public/hours')).status, 200)
  assert.is((await ask(fleet, '/elsewhere', 'curators')).status, 404)
})

test('a customer that exceeds its rate and burst is refused', async () => {
  const statuses = new Set<number>()
  for (let request = 0; request < MAX_REQUESTS && !statuses.has(429); request += 1) {
    statuses.add((await ask(fleet, '/ledger/1', 'inspectors')).status)
  }
  assert.equal([...statuses], [200, 429])
})

test('a request with an Idempotency-Key runs once, and a repetition gets the same response from the other entry', async () => {
  const init = { method: 'POST', body: 'lot 7', headers: { 'idempotency-key': 'withdrawal-7', 'x-run-marker': 'withdrawal-7' } }
  const first = await ask(fleet, '/ledger/withdraw', 'curators', init)
  const second = await ask(fleet, '/ledger/withdraw', 'curators', init, 1)
  assert.equal([first.status, second.status], [200, 200])
  assert.equal(second.body, first.body)
  const runs = fleet.upstreams.map((upstream) => upstream.runs.get('withdrawal-7') ?? 0)
  assert.is(runs.reduce((sum, count) => sum + count, 0), 1)
})

test('a graceful shutdown finishes the request in flight', async () => {
  for (const upstream of fleet.upstreams) upstream.faults.slowMilliseconds = SLOW_ANSWER_MILLISECONDS
  const running = fleet.upstreams.reduce((sum, upstream) => sum + upstream.requests, 0)
  const inFlight = ask(fleet, '/ledger/slow', 'curators', { method: 'POST', body: 'withdraw' })
  while (fleet.upstreams.reduce((sum, upstream) => sum + upstream.requests, 0) === running) await new Promise((resolve) => setImmediate(resolve))
  const stopped = fleet.stop()
  assert.is((await inFlight).status, 200)
  await stopped
})

test.run()

import type { CrashMessage } from '@hickoryspoke/protocol/generated/crash'
import { FleetCrashDetector } from '@hickoryspoke/request/fleet-crash-detector'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'
import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CallerFixture, codeOf, headerOf, statusOf } from './caller-fixture.ts'

const UPSTREAM_COUNT = 6
const SLOW_MILLISECONDS = 60

interface Fleet {
  readonly entries: readonly CallerFixture[]
  readonly upstreams: readonly RawUpstream[]
  readonly down: Set<string>
}

/** Starts entries whose crash watches share a network, and upstreams that go down when they run a request containing `poison`. */
async function startFleet (entries: number, holdBackMilliseconds = 60_000): Promise<Fleet> {
  const down = new Set<string>()
  const upstreams: RawUpstream[] = []
  for (let index = 0; index < UPSTREAM_COUNT; index += 1) {
    const upstream: RawUpstream = await RawUpstream.create((socket, request) => {
      if (request.includes('poison')) {
        down.add(upstream.address)
        upstream.close().catch(() => {})
      } else {
        setTimeout(() => socket.write(okResponse('fine')), request.includes('slow') ? SLOW_MILLISECONDS : 0)
      }
    })
    upstreams.push(upstream)
  }
  const clock = SystemClock.create()
  const network = FakeNetwork.create<CrashMessage>(clock, SeededRandom.create(3))
  const names = Array.from({ length: entries }, (_, index) => `entry-${index}`)
  const membership = { epoch: 1, establishedEpoch: 1, entries: names.map((name) => ({ name, zone: 'z', region: 'r', peerAddress: '', witness: true })) }
  const fixtures: CallerFixture[] = []
  for (const name of names) {
    const holder: { fixture?: CallerFixture } = {}
    const crashes = FleetCrashDetector.create({
      clock,
      random: SeededRandom.create(names.indexOf(name)),
      network: network.join(name, (from, message) => crashes.receive(from, message)),
      wentDown: async (address, since) => await holder.fixture?.connections.wentDown(address, since) ?? false,
      settings: { holdBackMilliseconds }
    })
    crashes.applyMembership(membership)
    holder.fixture = await CallerFixture.create({ addresses: upstreams.map((upstream) => upstream.address), crashes })
    fixtures.push(holder.fixture)
  }
  return { entries: fixtures, upstreams, down }
}

async function stopFleet (site: Fleet): Promise<void> {
  for (const entry of site.entries) await entry.close()
  for (const upstream of site.upstreams) if (!site.down.has(upstream.address)) await upstream.close()
}

const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

for (const method of ['GET', 'POST', 'PUT']) {
  test(`a ${method} that crashes upstreams takes down only two of them, whichever entries it is retried through`, async () => {
    const site = await startFleet(3)
    const statuses: number[] = []
    for (let turn = 0; turn < 8; turn += 1) {
      const answer = await (site.entries[turn % 3] as CallerFixture).ask(method, '/ledger/poison', '', method === 'GET' ? '' : 'poison')
      statuses.push(statusOf(answer))
      await pause(60)
    }
    assert.is(site.down.size, 2)
    const last = await (site.entries[0] as CallerFixture).ask(method, '/ledger/poison', '', method === 'GET' ? '' : 'poison')
    assert.equal([statusOf(last), codeOf(last), headerOf(last, 'Hickoryspoke-Run')], [422, 'crashing_request', 'not-run'])
    assert.ok(statuses.slice(-4).every((status) => status === 422), statuses.join())
    await stopFleet(site)
  })
}

test('requests that were running on the crashed upstream are not refused', async () => {
  const site = await startFleet(2)
  const [first, second] = site.entries as [CallerFixture, CallerFixture]
  const concurrent = Array.from({ length: UPSTREAM_COUNT * 2 }, (_, index) => first.ask('GET', `/ledger/slow-${index}`))
  await pause(20)
  await first.ask('GET', '/ledger/poison')
  const answers = await Promise.all(concurrent)
  await pause(100)
  const again = await Promise.all(answers.map((_, index) => second.ask('GET', `/ledger/slow-${index}`)))
  assert.is(site.down.size, 2)
  assert.is(answers.filter((answer) => statusOf(answer) === 422).length, 0)
  assert.equal(again.map(statusOf), again.map(() => 200))
  await stopFleet(site)
})

test('the second crash caused by a request is blamed on the request and not on the upstream', async () => {
  const site = await startFleet(1)
  const [entry] = site.entries as [CallerFixture]
  await entry.ask('GET', '/ledger/poison')
  const resets = entry.outcomes.filter((outcome) => outcome.kind === 'reset')
  assert.equal(resets.map((outcome) => outcome.blamedOnRequest), [false, true])
  await stopFleet(site)
})

test('an upstream that closes single connections but stays up has not crashed, and a request is refused only for a time', async () => {
  const site = await startFleet(1, 200)
  const [entry] = site.entries as [CallerFixture]
  const closing = await RawUpstream.create((socket) => { socket.end() })
  const other = await CallerFixture.create({ addresses: [closing.address] })
  for (let turn = 0; turn < 4; turn += 1) assert.is(statusOf(await other.ask('POST', '/ledger')), 502)
  await entry.ask('GET', '/ledger/poison')
  await pause(60)
  assert.is(statusOf(await entry.ask('GET', '/ledger/poison')), 422)
  await pause(250)
  await entry.ask('GET', '/ledger/poison')
  assert.ok(site.down.size > 2)
  await Promise.all([other.close(), closing.close()])
  await stopFleet(site)
})

test.run()

import type { Socket } from 'node:net'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { Err, Ok } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ConnectFailure, type ConnectFailureCode, type ConnectResult } from '../connector.ts'
import { RelayedConnector } from '../relayed-connector.ts'
import { LinkedConnector, UpstreamLinks } from '../upstream-links.ts'

const TIMEOUT_MILLISECONDS = 400
const CONNECT_MILLISECONDS = 4
const neverAborted = new AbortController().signal
const SOCKET = { destroy: () => {} } as unknown as Socket

/** Behaviour of this VM's own network or of a relay. */
type Path = 'works' | 'refuses' | 'hangs'

/** A connector in simulated time whose own network behaves as `state.own` says. A relay that refuses does not reach the upstream either. */
function createConnector (own: Path, relays: readonly Path[]) {
  const clock = FakeClock.create()
  const state = { own, tried: [] as string[], asked: [] as string[] }
  const follow = (path: Path, refusal: ConnectFailureCode, relay: string): Promise<ConnectResult> => new Promise((resolve) => {
    const fail = (code: ConnectFailureCode): void => resolve(Err(ConnectFailure.create(code, 'failed')))
    if (path === 'works') clock.schedule(CONNECT_MILLISECONDS, () => resolve(Ok({ socket: SOCKET, relay })))
    if (path === 'refuses') clock.schedule(CONNECT_MILLISECONDS, () => fail(refusal))
    if (path === 'hangs') clock.schedule(TIMEOUT_MILLISECONDS, () => fail('connect_timeout'))
  })
  const direct = {
    connect: async (address: string) => {
      state.tried.push(address)
      return await follow(state.own, 'connect_refused', '')
    }
  }
  const links = UpstreamLinks.create(clock, silentLogger())
  const connector = RelayedConnector.create({
    clock,
    links,
    direct: LinkedConnector.create(direct, links),
    connectThroughRelay: async (relay) => {
      state.asked.push(relay)
      return await follow(relays[Number(relay)] ?? 'hangs', 'upstream_unreachable', relay)
    },
    relays: () => [...relays.keys()].map(String),
    timeoutMilliseconds: TIMEOUT_MILLISECONDS
  })
  /** Connects; returns the path, which is direct or the number of a relay, or the failure, and the simulated time that it took. */
  const attempt = async (address: string, mayRelayThrough?: (relay: string) => boolean): Promise<{ path: string, milliseconds: number }> => {
    const beganAt = clock.monotonicMilliseconds()
    const outcome = { path: '', milliseconds: 0 }
    const pending = connector.connect(address, neverAborted, mayRelayThrough).then((result) => {
      const path = result.isErr() ? result.error.code : result.value.relay || 'direct'
      Object.assign(outcome, { path, milliseconds: clock.monotonicMilliseconds() - beganAt })
    })
    await clock.advanceAsync(TIMEOUT_MILLISECONDS)
    await pending
    return outcome
  }
  return { clock, state, links, connector, attempt }
}

test('a connection that is refused to the own network goes through a relay at once', async () => {
  const { attempt } = createConnector('refuses', ['works'])
  assert.equal(await attempt('a'), { path: '0', milliseconds: 2 * CONNECT_MILLISECONDS })
})

test('a connection that hangs in the own network goes through a relay after 100 ms', async () => {
  const { attempt } = createConnector('hangs', ['works'])
  assert.equal(await attempt('a'), { path: '0', milliseconds: 100 + CONNECT_MILLISECONDS })
})

test('an upstream that neither this entry nor a relay reaches is reported as unreachable, without asking more relays', async () => {
  const { attempt, state } = createConnector('refuses', ['refuses', 'works'])
  assert.is((await attempt('a')).path, 'upstream_unreachable')
  assert.equal(state.asked, ['0'])
})

test('an upstream that hangs for everyone is reported after the timeout', async () => {
  const { attempt } = createConnector('hangs', ['hangs'])
  assert.equal(await attempt('a'), { path: 'connect_timeout', milliseconds: TIMEOUT_MILLISECONDS })
})

test('while the own network works, no relay is asked', async () => {
  const { attempt, state } = createConnector('works', ['works'])
  assert.is((await attempt('a')).path, 'direct')
  assert.equal(state.asked, [])
})

test('relays that are cut off themselves do not keep others from being tried, and the one that works goes first', async () => {
  const { attempt, state } = createConnector('refuses', ['refuses', 'hangs', 'works'])
  await attempt('a')
  await attempt('bb')
  assert.is((await attempt('ccc')).path, '2')
  state.asked = []
  assert.is((await attempt('ccc')).path, '2')
  assert.is(state.asked[0], '2')
})

test('an entry that is cut off asks relays at once, and tries its own network again at intervals', async () => {
  const { attempt, clock, links, state } = createConnector('hangs', ['works'])
  for (const address of ['a', 'bb', 'ccc']) await attempt(address)
  assert.is(links.isCutOff, true)
  state.tried = []
  assert.equal(await attempt('ccc'), { path: '0', milliseconds: CONNECT_MILLISECONDS })
  assert.equal(state.tried, [], 'its own network was tried just before')
  await clock.advanceAsync(500)
  assert.equal(await attempt('ccc'), { path: '0', milliseconds: 30 + CONNECT_MILLISECONDS })
  await clock.advanceAsync(500)
  state.own = 'works'
  assert.is((await attempt('ccc')).path, 'direct')
  assert.is(links.isCutOff, false)
})

test('without a relay, an entry that is cut off says so, and blames no upstream', async () => {
  const { attempt, connector } = createConnector('refuses', [])
  assert.is((await attempt('a')).path, 'connect_refused', 'the first failure may be the upstream\'s')
  assert.is((await attempt('bb')).path, 'cut_off')
  assert.is(connector.isReaching, false)
})

test('an aborted attempt ends at once', async () => {
  const { connector } = createConnector('hangs', ['hangs'])
  const aborted = new AbortController()
  const pending = connector.connect('a', aborted.signal)
  aborted.abort()
  assert.is((await pending).unwrapErr().code, 'connect_aborted')
})

// Guards against a body that is sent through a machine in another region.
test('a relay that may not be used is not asked', async () => {
  const { attempt, state } = createConnector('refuses', ['works', 'works'])
  assert.is((await attempt('a', () => false)).path, 'connect_refused')
  assert.equal(state.asked, [])
  assert.is((await attempt('a', (relay) => relay === '1')).path, '1')
  assert.equal(state.asked, ['1'])
})

// Guards against an entry that counts as out of reach of all upstreams because of requests that may use no relay.
test('a failure without relays that may be used does not count against the others', async () => {
  const { attempt, connector, links } = createConnector('refuses', ['works'])
  for (let upstream = 0; !links.isCutOff; upstream += 1) await attempt(`u-${upstream}`, () => false)
  await attempt('x', () => false)
  assert.ok(connector.isReaching)
})

test.run()

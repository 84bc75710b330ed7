import { DenialReason, PlacementOutcome, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { KEPT_CONNECTION_SETTINGS, maximumIdleOf, statedKeepAliveMilliseconds } from '@hickoryspoke/request/kept-connections'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { okResponse, RawUpstream, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { until } from './caller-fixture.ts'
import { startDispatched, type DispatchedFixtureOptions } from './dispatched-fixture.ts'
import { Caller, wait } from './scripted-upstreams.ts'

const KEPT = 'Keep-Alive: timeout=5\r\n'
const { PLACEMENT_OUTCOME_ANSWERED: ANSWERED, PLACEMENT_OUTCOME_CANCELLED: CANCELLED, PLACEMENT_OUTCOME_BROKEN: BROKEN } = PlacementOutcome
const REPEATABLE: DispatchedFixtureOptions = { mayRepeat: true, keepsConnections: true, timeoutMilliseconds: 5_000 }

interface Play {
  readonly upstreams: readonly RawUpstream[]
  readonly questions: readonly PlacementQuestion[]
  readonly outcomes: () => PlacementOutcome[]
  /** Places first attempts at this upstream from now on. */
  readonly prefer: (index: number) => void
  /** Sends a request and returns the status of its response. */
  readonly ask: (path?: string) => Promise<number>
}

/** An entry whose requests go to the preferred upstream, or to the first that is not excluded; `isDenied` tells which questions are denied. */
async function withEntry (
  scripts: readonly UpstreamScript[], options: DispatchedFixtureOptions, use: (play: Play) => Promise<void>, isDenied = (_: PlacementQuestion) => false
): Promise<void> {
  const upstreams = await Promise.all(scripts.map(async (script) => await RawUpstream.create(script)))
  const questions: PlacementQuestion[] = []
  let preferred = 0
  const entry = await startDispatched((client, question) => {
    const { ticket, excluded } = question
    questions.push(question)
    if (isDenied(question)) return client.receiveDenial({ ticket, reason: DenialReason.DENIAL_REASON_BUDGET, retryAfterMilliseconds: 200 })
    const isPermitted = (index: number): boolean => !excluded.includes(`i-${index}`)
    const index = isPermitted(preferred) ? preferred : upstreams.findIndex((_, candidate) => isPermitted(candidate))
    client.receivePlacement({ ticket, instance: `i-${index}`, address: upstreams[index]?.address ?? '' })
  }, options)
  const caller = Caller.create(entry.port)
  const ask = async (path = '/'): Promise<number> => {
    const before = caller.responses.length
    caller.get(path)
    await until(() => caller.responses.length > before && caller.responses.every(({ announced, bytes }) => bytes >= announced))
    return caller.responses.at(-1)?.status ?? 0
  }
  try {
    const prefer = (index: number): void => { preferred = index }
    await use({ upstreams, questions, prefer, outcomes: () => entry.ends.map(({ outcome }) => outcome), ask })
  } finally {
    caller.socket.destroy()
    entry.server.close()
    await Promise.all(upstreams.map(async (upstream) => await upstream.close()))
  }
}

const answer = (headers: string): UpstreamScript => (socket) => { socket.write(okResponse('ok', headers)) }

/** Answers the first request on a connection, and does `next` with each later one. */
function answerFirst (next: UpstreamScript): UpstreamScript {
  const used = new WeakSet()
  return (socket, request) => {
    if (used.has(socket)) return next(socket, request)
    used.add(socket)
    socket.write(okResponse('ok', KEPT))
  }
}

// Guards against upstreams that spend their processor on a new connection for each request.
test('repeatable requests use a connection that the upstream keeps', async () => {
  await withEntry([answer(KEPT)], REPEATABLE, async ({ ask, upstreams }) => {
    for (let request = 0; request < 4; request += 1) assert.is(await ask(), 200)
    assert.is(upstreams[0]?.connections, 1)
  })
})

const NEW_EACH_TIME: Record<string, readonly [headers: string, options: DispatchedFixtureOptions]> = {
  'without the switch': [KEPT, { ...REPEATABLE, keepsConnections: false }],
  'of a route whose requests run at most once': [KEPT, { ...REPEATABLE, mayRepeat: false }],
  'of a route that permits one attempt': [KEPT, { ...REPEATABLE, maximumAttempts: 1 }],
  'where the upstream does not say how long it keeps connections': ['', REPEATABLE],
  'where the upstream keeps connections no longer than the margin': ['Keep-Alive: timeout=1\r\n', REPEATABLE],
  'where the upstream closes the connection': [`${KEPT}Connection: close\r\n`, REPEATABLE]
}

// Guards against a second copy of an earlier response that is taken for the one to a request which cannot tell its own (MIXED).
for (const [name, identify, connections] of [
  ['have no identifier', () => '', 4],
  ['have identifiers of their own', (number: number) => `of-its-own-${number}`, 1],
  ['all have the same identifier', () => 'the-same', 4],
  ['have an identifier only now and then', (number: number) => number % 2 === 0 ? '' : `now-and-then-${number}`, 3]
] as const) {
  test(`requests that ${name} use ${connections} connections`, async () => {
    await withEntry([answer(KEPT)], { ...REPEATABLE, identify }, async ({ ask, upstreams }) => {
      for (let request = 0; request < 4; request += 1) assert.is(await ask(), 200)
      assert.is(upstreams[0]?.connections, connections)
    })
  })
}

// Guards against earlier deployments that reuse connections, and against requests that are lost on a connection which the upstream has dropped.
for (const [name, [headers, options]] of Object.entries(NEW_EACH_TIME)) {
  test(`each request ${name} has a new connection`, async () => {
    await withEntry([answer(headers)], options, async ({ ask, upstreams }) => {
      for (let request = 0; request < 3; request += 1) assert.is(await ask(), 200)
      assert.is(upstreams[0]?.connections, 3)
    })
  })
}

// Guards against a request that runs at most once and is lost on a connection that its upstream has dropped.
test('a request that runs at most once does not use the connection of a repeatable one', async () => {
  await withEntry([answer(KEPT)], REPEATABLE, async ({ ask, upstreams }) => {
    await ask()
    await ask('/slow/')
    assert.is(upstreams[0]?.connections, 2)
  })
})

test('a connection is not used when less than the margin is left of the time that the upstream states', async () => {
  await withEntry([answer('Keep-Alive: timeout=2\r\n')], REPEATABLE, async ({ ask, upstreams }) => {
    await ask()
    await wait(1_100)
    await ask()
    assert.is(upstreams[0]?.connections, 2)
  })
})

const DROPS: Record<string, UpstreamScript> = { 'is reset': (socket) => socket.resetAndDestroy(), 'ends in order': (socket) => socket.end() }

// Guards against a repeatable request that fails, and an upstream that is suspected, because a connection was dropped without notice.
for (const [name, drop] of Object.entries(DROPS)) {
  test(`a request whose kept connection ${name} without a byte is sent once more, from the retry budget`, async () => {
    await withEntry([answerFirst(drop), answer(KEPT)], REPEATABLE, async ({ ask, upstreams, questions, outcomes }) => {
      assert.equal([await ask(), await ask()], [200, 200])
      assert.equal(upstreams.map(({ connections }) => connections), [1, 1])
      assert.equal(questions.map(({ attempt }) => attempt), [0, 0, 1])
      assert.equal(outcomes(), [ANSWERED, CANCELLED, ANSWERED])
    })
  })

  test(`a request whose kept connection ${name} without a byte fails where the retry budget is used up`, async () => {
    await withEntry([answerFirst(drop), answer(KEPT)], REPEATABLE, async ({ ask, upstreams }) => {
      assert.equal([await ask(), await ask()], [200, 502])
      assert.is(upstreams[1]?.connections, 0)
    }, ({ attempt }) => attempt > 0)
  })
}

// Guards against a second sending that is lost on a kept connection as well.
test('the second sending uses a new connection', async () => {
  const drop: UpstreamScript = (socket) => socket.resetAndDestroy()
  await withEntry([answerFirst(drop), answerFirst(drop)], REPEATABLE, async ({ ask, prefer, upstreams }) => {
    await ask()
    prefer(1)
    await ask()
    assert.is(await ask(), 200)
    assert.equal(upstreams.map(({ connections }) => connections), [2, 1])
  })
})

// Guards against an upstream that fails and is not suspected, because its connections were kept.
test('a kept connection that is reset some time after the request was sent is evidence of failure', async () => {
  const resetLater: UpstreamScript = (socket) => { setTimeout(() => socket.resetAndDestroy(), 250) }
  await withEntry([answerFirst(resetLater), answer(KEPT)], REPEATABLE, async ({ ask, outcomes }) => {
    assert.equal([await ask(), await ask()], [200, 200])
    assert.equal(outcomes(), [ANSWERED, BROKEN, ANSWERED])
  })
})

test('a kept connection that is reset after a byte of the response is evidence of failure', async () => {
  const resetWithin: UpstreamScript = (socket) => { socket.write('HTTP/1.1 200 OK\r\n', () => setTimeout(() => socket.resetAndDestroy(), 20)) }
  await withEntry([answerFirst(resetWithin), answer(KEPT)], REPEATABLE, async ({ ask, outcomes }) => {
    assert.equal([await ask(), await ask()], [200, 200])
    assert.equal(outcomes(), [ANSWERED, BROKEN, ANSWERED])
  })
})

test('an idle connection that the upstream closes is replaced without a second sending', async () => {
  await withEntry([(socket) => {
    socket.write(okResponse('ok', KEPT))
    setTimeout(() => socket.end(), 50)
  }], REPEATABLE, async ({ ask, upstreams, questions }) => {
    await ask()
    await until(() => upstreams[0]?.sockets.size === 0)
    assert.is(await ask(), 200)
    assert.equal(questions.map(({ attempt }) => attempt), [0, 0])
  })
})

// Guards against a refusal that a faulty upstream sends once more and that is taken for the response to the next request (REFUSED).
for (const status of ['503 Busy', '429 Many', '500 Failed']) {
  test(`the connection of a response with ${status} is not used again`, async () => {
    let requests = 0
    await withEntry([(socket) => {
      requests += 1
      socket.write(requests === 1 ? `HTTP/1.1 ${status}\r\n${KEPT}Content-Length: 2\r\n\r\nno` : okResponse('ok', KEPT))
    }, answer('')], REPEATABLE, async ({ ask, upstreams }) => {
      assert.equal([await ask(), await ask()], [200, 200])
      assert.is(upstreams[0]?.connections, 2)
    })
  })
}

// Guards against upstreams whose connections are used up by those that wait for a request.
test('one idle connection to each upstream is kept', async () => {
  const upstream = await RawUpstream.create(() => {})
  const connections = UpstreamConnections.create(SystemClock.create(), KEPT_CONNECTION_SETTINGS)
  const question = { address: upstream.address, maximumIdleMilliseconds: 0, signal: new AbortController().signal }
  const acquire = async () => (await connections.acquire(question)).unwrap()
  const opened = [await acquire(), await acquire()]
  for (const connection of opened) {
    connection.statedKeepAliveMilliseconds = 5_000
    connections.release(connection, true)
  }
  assert.equal(opened.map(({ isOpen }) => isOpen), [true, false])
  connections.close()
  await upstream.close()
})

// Guards against a request on a connection that its upstream is about to drop, while the timer that closes it is late.
for (const [idleMilliseconds, isUsed] of [[3_999, true], [4_000, false]] as const) {
  test(`a connection that is kept for 5 s ${isUsed ? 'is' : 'is not'} used after ${idleMilliseconds} ms`, async () => {
    const upstream = await RawUpstream.create(() => {})
    const clock = FakeClock.create()
    const connections = UpstreamConnections.create(clock, KEPT_CONNECTION_SETTINGS)
    const acquire = async () => {
      return (await connections.acquire({ address: upstream.address, maximumIdleMilliseconds: 30_000, signal: new AbortController().signal })).unwrap()
    }
    const first = await acquire()
    first.statedKeepAliveMilliseconds = 5_000
    connections.release(first, true)
    clock.advance(idleMilliseconds)
    assert.is(await acquire() === first, isUsed)
    connections.close()
    await upstream.close()
  })
}

test('only a first attempt that the dispatcher placed and that may be followed by another uses a kept connection', () => {
  const question = { mayRetry: true, attemptsBegun: 0, isPlacedLocally: false }
  assert.ok(maximumIdleOf(question) > 0)
  assert.equal([{ mayRetry: false }, { attemptsBegun: 1 }, { isPlacedLocally: true }].map((change) => maximumIdleOf({ ...question, ...change })), [0, 0, 0])
})

test('the time that an upstream states is read from its response', () => {
  const values = ['timeout=5', 'timeout=5, max=100', 'max=3, timeout = 12', 'Timeout=7', 'timeout=5.5', 'timeout=-1', 'max=5', '']
  assert.equal(values.map((value) => statedKeepAliveMilliseconds(['Keep-Alive', value])), [5_000, 5_000, 12_000, 7_000, 5_500, 0, 0, 0])
  assert.is(statedKeepAliveMilliseconds([]), 0)
})

test.run()

import { createConnection } from 'node:net'
import { okResponse, RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CallerServer, type ExchangeRunner } from '../caller-server.ts'
import { AUTHORIZED, CallerFixture, statusOf, until } from './caller-fixture.ts'

const ANNOUNCE_MILLISECONDS = 2_600
const FINISH_MILLISECONDS = 2_900
const FROZEN_MILLISECONDS = 1_000
const REQUEST = `GET /ledger/1 HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}\r\n`

// Guards against a stop that promises its requests more time than it has, because its process was frozen, and is then cut from outside (LOST).
test('the time that a process was frozen in is part of its stop', async () => {
  const clock = FakeClock.create()
  const limits: number[] = []
  const runner: ExchangeRunner = {
    run: async () => {},
    announceStop: () => {},
    drain: async (limitMilliseconds) => {
      limits.push(limitMilliseconds)
      return { finished: 0, lost: [] }
    }
  }
  const freezes = [FROZEN_MILLISECONDS]
  const late = { ...clockOf(clock), schedule: (delay: number, task: () => void) => clock.schedule(delay + (freezes.shift() ?? 0), task) }
  const server = CallerServer.create({ clock: late, runner, host: '127.0.0.1', port: 0 })
  await server.listen()
  const drained = server.drain({ announceMilliseconds: ANNOUNCE_MILLISECONDS, finishMilliseconds: FINISH_MILLISECONDS })
  await clock.advanceAsync(ANNOUNCE_MILLISECONDS + FINISH_MILLISECONDS + FROZEN_MILLISECONDS)
  await drained
  assert.is(limits.length, 1)
  assert.ok((limits[0] as number) <= FINISH_MILLISECONDS - FROZEN_MILLISECONDS, `${limits[0]} ms for requests in flight`)
})

// Guards against a stop that closes a connection whose request arrived while the process did not run (LOST).
test('a request that arrived while the process was frozen at the end of the announcement is answered', async () => {
  const upstream = await RawUpstream.create((socket) => socket.write(okResponse('x')))
  const fixture = await CallerFixture.create({ addresses: [upstream.address] })
  const caller = createConnection(fixture.port, '127.0.0.1')
  let received = ''
  let isClosed = false
  caller.on('data', (chunk) => { received += chunk.toString() }).on('error', () => {}).on('close', () => { isClosed = true })
  caller.write(REQUEST)
  await until(() => statusOf(received) === 200)
  received = ''
  const drained = fixture.server.drain({ announceMilliseconds: 200, finishMilliseconds: 3_000 })
  caller.write(REQUEST)
  freeze(400)
  await until(() => isClosed)
  assert.is(statusOf(received), 200)
  await drained
  await Promise.all([fixture.close(), upstream.close()])
})

/** Lets nothing else run in this process. */
function freeze (milliseconds: number): void {
  const end = performance.now() + milliseconds
  while (performance.now() < end);
}

function clockOf (clock: FakeClock) {
  return { monotonicMilliseconds: () => clock.monotonicMilliseconds(), wallMilliseconds: () => clock.wallMilliseconds() }
}

test.run()

import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CallerServer, type ExchangeRunner } from '../caller-server.ts'

const ANNOUNCE_MILLISECONDS = 2_600
const FINISH_MILLISECONDS = 2_900
const FROZEN_MILLISECONDS = 1_000

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
  const late = { ...clockOf(clock), schedule: (delay: number, task: () => void) => clock.schedule(delay + FROZEN_MILLISECONDS, task) }
  const server = CallerServer.create({ clock: late, runner, host: '127.0.0.1', port: 0 })
  await server.listen()
  const drained = server.drain({ announceMilliseconds: ANNOUNCE_MILLISECONDS, finishMilliseconds: FINISH_MILLISECONDS })
  await clock.advanceAsync(ANNOUNCE_MILLISECONDS + FROZEN_MILLISECONDS)
  await drained
  assert.equal(limits, [FINISH_MILLISECONDS - FROZEN_MILLISECONDS])
})

function clockOf (clock: FakeClock) {
  return { monotonicMilliseconds: () => clock.monotonicMilliseconds(), wallMilliseconds: () => clock.wallMilliseconds() }
}

test.run()

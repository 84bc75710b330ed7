import { DenialReason } from '@hickoryspoke/protocol/generated/dispatch'
import { Logger, LogLevel } from '@hickoryspoke/telemetry/logger'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DenialLog } from '../denial-log.ts'
import { question } from './fixture.ts'

const DENIED_A_SECOND = 250

// Guards against a leader under overload that spends its time on the log lines and pool states of the requests that it denies.
test('of many denials in a second some are logged, and the next line states how many were left out', () => {
  const clock = FakeClock.create()
  const lines: Record<string, unknown>[] = []
  const log = DenialLog.create(clock, Logger.create('test', LogLevel.Info, (line) => lines.push(JSON.parse(line) as Record<string, unknown>)))
  let snapshots = 0
  const snapshot = () => {
    snapshots += 1
    return { name: 'ledger', inFlight: 3, waiting: 7, waitingSince: 0, limited: 1, cold: 0, standings: { sound: 5, suspect: 2 } }
  }
  const deny = (ticket: number): void => log.record('one', question(ticket), { ticket, reason: DenialReason.DENIAL_REASON_OVERLOADED, retryAfterMilliseconds: 300 }, snapshot)
  for (let ticket = 1; ticket <= DENIED_A_SECOND; ticket += 1) deny(ticket)
  assert.equal([lines.length, snapshots], [100, 100])
  clock.advance(1_000)
  deny(DENIED_A_SECOND + 1)
  deny(DENIED_A_SECOND + 2)
  assert.equal(lines.slice(100).map(({ ticket, leftOut }) => [ticket, leftOut]), [[251, 150], [252, undefined]])
  const { entry, reason, retryAfter, waiting, inFlight, limited, sound, suspect } = lines[0] ?? {}
  assert.equal([entry, reason, retryAfter, waiting, inFlight, limited, sound, suspect], ['one', 'overloaded', 300, 7, 3, 1, 5, 2])
})

test.run()

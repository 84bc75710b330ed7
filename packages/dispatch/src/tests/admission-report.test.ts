/** Log lines from which an operator sees whom a pool refused, and why. */
import { DenialReason } from '@hickoryspoke/protocol/generated/dispatch'
import { Logger, LogLevel } from '@hickoryspoke/telemetry/logger'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AdmissionReport } from '../admission-report.ts'
import { question } from './fixture.ts'

function create () {
  const lines: string[] = []
  return { lines, report: AdmissionReport.create(Logger.create('control', LogLevel.Info, (line) => lines.push(line))) }
}

test('a line gives the causes, the promised returns, and the share of the customers that were refused most', () => {
  const { lines, report } = create()
  report.countPlaced(question(1, { customer: 'big' }))
  for (let ticket = 2; ticket <= 4; ticket += 1) report.countRefusal(question(ticket, { customer: 'big' }), DenialReason.DENIAL_REASON_RATE, ticket === 2)
  report.countRefusal(question(5, { customer: 'small' }), DenialReason.DENIAL_REASON_OVERLOADED, false)
  report.logDue(0, () => 7)
  assert.is(lines.length, 1)
  for (const part of ['"placed":1', '"refused":4', '"promised":1', '"reservations":7', 'rate=3 overloaded=1', 'big=1/4 small=0/1']) {
    assert.ok(lines[0]?.includes(part), `${part} in ${lines[0]}`)
  }
})

// Guards against a leader under overload that spends its processor time on log lines.
test('there is one line for a pool in 5 seconds, and none without refusals', () => {
  const { lines, report } = create()
  for (let now = 0; now <= 10_000; now += 50) {
    report.countRefusal(question(now), DenialReason.DENIAL_REASON_RATE, false)
    report.countPlaced(question(now, { pool: 'other' }))
    report.logDue(now, () => 0)
  }
  assert.is(lines.length, 3)
})

test.run()

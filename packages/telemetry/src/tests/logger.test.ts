import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LogLevel, Logger } from '../logger.ts'

function collect (level: LogLevel): { logger: Logger, lines: Record<string, unknown>[] } {
  const lines: Record<string, unknown>[] = []
  return { logger: Logger.create('entry', level, (line) => lines.push(JSON.parse(line))), lines }
}

test('a line is one JSON object with time, level, event and facts', () => {
  const { logger, lines } = collect(LogLevel.Info)
  logger.with({ request: 'r1' }).info('request finished', { status: 200 })
  assert.is(lines.length, 1)
  assert.is(lines[0]?.['event'], 'request finished')
  assert.is(lines[0]?.['request'], 'r1')
  assert.is(lines[0]?.['status'], 200)
  assert.is(lines[0]?.['level'], 'info')
  assert.type(lines[0]?.['time'], 'string')
})

test('lines below the level are not written', () => {
  const { logger, lines } = collect(LogLevel.Warn)
  logger.info('quiet')
  logger.warn('loud')
  assert.equal(lines.map((line) => line['event']), ['loud'])
})

test('keys and tokens are masked by name and by content', () => {
  const { logger, lines } = collect(LogLevel.Info)
  logger.info('x', { operatorToken: 'abc-1', key: 'def-1', authorization: 'Bearer ghi-1', message: 'got Bearer jkl-1 from caller' })
  const text = JSON.stringify(lines)
  for (const secret of ['abc-1', 'def-1', 'ghi-1', 'jkl-1']) assert.not.ok(text.includes(secret))
})

test.run()

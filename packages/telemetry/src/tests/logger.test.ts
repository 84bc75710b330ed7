import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LogLevel, Logger } from '../logger.ts'

function collect (level: LogLevel): { logger: Logger, lines: Record<string, unknown>[] } {
  const lines: Record<string, unknown>[] = []
  return { logger: Logger.create('entry', level, (line) => lines.push(JSON.parse(line))), lines }
}

test('writes each line as one JSON object with time, level, event and fields', () => {
  const { logger, lines } = collect(LogLevel.Info)
  logger.with({ request: 'r1' }).info('request finished', { status: 200 })
  assert.is(lines.length, 1)
  assert.is(lines[0]?.['event'], 'request finished')
  assert.is(lines[0]?.['request'], 'r1')
  assert.is(lines[0]?.['status'], 200)
  assert.is(lines[0]?.['level'], 'info')
  assert.type(lines[0]?.['time'], 'string')
})

test('does not write lines below the minimum level', () => {
  const { logger, lines } = collect(LogLevel.Warn)
  logger.info('below the level')
  logger.warn('at the level')
  assert.equal(lines.map((line) => line['event']), ['at the level'])
})

test('masks secrets by field name and by content', () => {
  const { logger, lines } = collect(LogLevel.Info)
  logger.info('x', { operatorToken: 'abc-1', key: 'def-1', authorization: 'Bearer ghi-1', message: 'got Bearer jkl-1 from caller' })
  const text = JSON.stringify(lines)
  for (const secret of ['abc-1', 'def-1', 'ghi-1', 'jkl-1']) assert.not.ok(text.includes(secret))
})

test.run()

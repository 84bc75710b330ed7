import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { explainRequest } from '../command-explain.ts'

const line = (second: number, fields: Record<string, unknown>): string => JSON.stringify({ time: `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`, ...fields })

const ENTRY = [
  line(5, { node: 'entry-1', event: 'leader lost' }),
  line(10, { node: 'entry-1', event: 'request ended', request: 'abc', upstream: 'i-1', outcome: 'upstream_failed', ticket: 4 }),
  line(10, { node: 'entry-1', event: 'request ended', request: 'def', upstream: 'i-1', outcome: 'answered' })
].join('\n')

const CONTROL = [
  `   3.5 control-1 ${line(9, { node: 'control-1', event: 'evidence on an upstream changed', upstream: 'i-1', failures: 1 })}`,
  line(9, { node: 'control-1', event: 'evidence on an upstream changed', upstream: 'i-2', failures: 1 }),
  line(59, { node: 'control-1', event: 'evidence on an upstream changed', upstream: 'i-1', failures: 2 }),
  line(10, { node: 'control-1', event: 'request denied', entry: 'entry-1', ticket: 4 }),
  line(10, { node: 'control-1', event: 'request denied', entry: 'entry-2', ticket: 4 }),
  '{"time":"2026-01-01T00:00:10.000Z","event":"cut sh'
].join('\n')

test('log lines about a request are collected from several processes', () => {
  const explanation = explainRequest('abc', [ENTRY, CONTROL])
  assert.equal(explanation.request.map(({ fields }) => fields.outcome), ['upstream_failed'])
  assert.equal(explanation.upstream.map(({ fields }) => fields.failures), [1])
  assert.equal(explanation.dispatcher.map(({ fields }) => fields.entry), ['entry-1'])
  assert.equal(explanation.dependencies.map(({ fields }) => fields.event), ['leader lost'])
  assert.is(explanation.damaged, 1)
})

test('the explanation of a request without log lines is empty', () => {
  const explanation = explainRequest('nobody', [ENTRY, 'plain text\n', ''])
  assert.equal(explanation, { request: [], dispatcher: [], upstream: [], dependencies: [], damaged: 0 })
})

test.run()

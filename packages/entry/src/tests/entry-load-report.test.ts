import { Logger, LogLevel } from '@hickoryspoke/telemetry/logger'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { MessageCounts } from '@hickoryspoke/dispatch/message-counts'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { reportEntryLoad } from '../entry-load-report.ts'

test('an entry logs what it used and exchanged since the last line', async () => {
  const clock = FakeClock.create()
  const lines: string[] = []
  const stopping = new AbortController()
  const used = { processor: 100, requests: 7 }
  const sent = MessageCounts.create()
  void reportEntryLoad({
    clock,
    logger: Logger.create('test', LogLevel.Info, (line) => lines.push(line)),
    processorMilliseconds: () => used.processor,
    endedRequests: () => used.requests,
    readMessageCounts: () => sent.readFields('sent')
  }, stopping.signal)
  Object.assign(used, { processor: 250, requests: 9 })
  for (const kind of ['number', 'number', 'question']) sent.record(kind)
  await clock.advanceAsync(10_000)
  await clock.advanceAsync(10_000)
  stopping.abort()
  assert.is(lines.length, 2)
  assert.match(lines[0] ?? '', /"processorMilliseconds":150,"requests":2,"sentNumber":2,"sentQuestion":1/)
  assert.match(lines[1] ?? '', /"processorMilliseconds":0,"requests":0/)
})

test.run()

import { createConnection } from 'node:net'
import { okResponse, RawUpstream, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { until } from './caller-fixture.ts'
import { startDispatched } from './dispatched-fixture.ts'

const ANNOUNCED_BYTES = 400_000
const SENT_BYTES = 100_000
const HEAD = `HTTP/1.1 200 OK\r\nContent-Length: ${ANNOUNCED_BYTES}\r\n\r\n`

/** The fields of the line that is logged for one request to an upstream with a script. */
async function lineOf (script: UpstreamScript): Promise<Record<string, unknown>> {
  const upstream = await RawUpstream.create(script)
  const entry = await startDispatched((client, { ticket }) => client.receivePlacement({ ticket, instance: 'a', address: upstream.address }))
  await entry.send()
  await until(() => entry.outcomes.length === 1)
  entry.server.close()
  await upstream.close()
  return JSON.parse(entry.lines.find((line) => line.includes('request ended')) ?? '{}') as Record<string, unknown>
}

// Guards against a line on a response that was cut off which tells neither why nor on what the time went (LOST).
test('the line on a response that was cut off says why, and how far it came', async () => {
  const line = await lineOf((socket) => {
    socket.write(HEAD + 'x'.repeat(SENT_BYTES))
    setTimeout(() => socket.destroy(), 50)
  })
  const { outcome, failure, bodyBytes, announcedBytes } = line
  assert.equal([outcome, bodyBytes, announcedBytes], ['broken_off', SENT_BYTES, ANNOUNCED_BYTES])
  assert.match(String(failure), /^truncated_answer: /)
  assert.type(line.headMilliseconds, 'number')
  assert.type(line.callerMilliseconds, 'number')
})

test('the line on a complete response states no failure', async () => {
  const { outcome, failure, bodyBytes } = await lineOf((socket) => socket.write(HEAD + 'x'.repeat(ANNOUNCED_BYTES)))
  assert.equal([outcome, failure, bodyBytes], ['answered', '', ANNOUNCED_BYTES])
})

// Guards against an answer that is logged as answered, and of which nothing tells that its caller did not get it (LOST).
test('a complete response whose connection ends before it was sent has a line of its own', async () => {
  const upstream = await RawUpstream.create((socket, request) => {
    if (request.startsWith('GET /answered ')) socket.write(okResponse('x'))
  })
  const entry = await startDispatched((client, { ticket }) => client.receivePlacement({ ticket, instance: 'a', address: upstream.address }))
  const caller = createConnection(entry.port, '127.0.0.1')
  caller.write('GET /held HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\nGET /answered HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n')
  await until(() => entry.outcomes.length === 1)
  caller.destroy()
  await until(() => entry.outcomes.length === 2)
  assert.equal(entry.outcomes.map(({ code }) => code), ['answered', 'caller_gone'])
  assert.is(entry.lines.filter((line) => line.includes('response not delivered')).length, 1)
  entry.server.close()
  await upstream.close()
})

test.run()

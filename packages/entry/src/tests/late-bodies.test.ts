import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { writeEndlessly } from '@hickoryspoke/testing/endless-writer'
import { okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { until } from './caller-fixture.ts'
import { LARGE_BYTES, PART_BYTES, startOf, TIMEOUT_MILLISECONDS, wait, withUpstreams } from './scripted-upstreams.ts'

/** Well past the timeout. */
const LATE_MILLISECONDS = 1_500
/** More than the buffers of the operating system take. */
const HUGE_BYTES = 16_000_000

/** Lets nothing run in this process, which the entry is in, as if it were paused. */
function blockProcess (milliseconds: number): void {
  const end = performance.now() + milliseconds
  while (performance.now() < end);
}

// Guards against a response that is ready and is broken off at its route's timeout, as another one is before it on its connection (LOST).
test('a response that waits for its turn past the timeout of its route arrives whole', () => withUpstreams([
  (socket) => setTimeout(() => socket.write(okResponse('slow')), LATE_MILLISECONDS),
  (socket) => socket.write(okResponse('x'.repeat(LARGE_BYTES)))
], async ({ entry, caller }) => {
  caller.get('/slow/1')
  caller.get('/large')
  await caller.untilReceived(LARGE_BYTES)
  assert.equal(caller.responses, [{ status: 200, announced: 4, bytes: 4 }, { status: 200, announced: LARGE_BYTES, bytes: LARGE_BYTES }])
  await until(() => entry.outcomes.length === 2)
  assert.equal(entry.outcomes.map(({ code, failure }) => [code, failure]), [['answered', ''], ['answered', '']])
  const { outcome, milliseconds = Infinity } = entry.ends.find(({ instance }) => instance === 'i-1') ?? {}
  assert.is(outcome, PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED)
  assert.ok(milliseconds < LATE_MILLISECONDS, 'the time at the upstream includes the wait for the turn')
}))

// Guards against the same for a caller that reads slowly.
test('a response to a caller that pauses reading past the timeout of its route arrives whole', () => withUpstreams([
  (socket) => socket.write(okResponse('x'.repeat(HUGE_BYTES)))
], async ({ entry, caller }) => {
  caller.get('/huge')
  await caller.untilReceived(0)
  caller.socket.pause()
  await wait(LATE_MILLISECONDS)
  caller.socket.resume()
  await caller.untilReceived(HUGE_BYTES)
  assert.equal(caller.responses, [{ status: 200, announced: HUGE_BYTES, bytes: HUGE_BYTES }])
  await until(() => entry.outcomes.length === 1)
  assert.ok((entry.outcomes[0]?.response?.callerMilliseconds ?? 0) > TIMEOUT_MILLISECONDS)
}))

test('a response of an upstream that goes on sending past the timeout arrives whole', () => withUpstreams([(socket) => {
  socket.write(startOf('200 OK', PART_BYTES))
  const rest = LARGE_BYTES - PART_BYTES
  const pieces = 15
  for (let turn = 1; turn <= pieces; turn += 1) setTimeout(() => socket.write('x'.repeat(rest / pieces)), turn * TIMEOUT_MILLISECONDS / 10)
}], async ({ caller }) => {
  caller.get('/large')
  await caller.untilReceived(LARGE_BYTES)
  assert.equal(caller.responses, [{ status: 200, announced: LARGE_BYTES, bytes: LARGE_BYTES }])
}))

// Guards against a response that has arrived and is dropped because the entry was paused or busy at the timeout.
test('a response that arrived while the entry did not run is passed on, although its timeout is over', () => withUpstreams([(socket) => {
  socket.write(okResponse('ready'))
  blockProcess(LATE_MILLISECONDS)
}], async ({ caller }) => {
  caller.get('/ready')
  await until(() => caller.isAnswered)
  assert.equal(caller.responses, [{ status: 200, announced: 5, bytes: 5 }])
}))

test('a response that went on arriving while the entry did not run is passed on, although its timeout is over', () => withUpstreams([(socket) => {
  socket.write(startOf('200 OK', PART_BYTES))
  // From here, timers run before anything is read.
  setTimeout(() => setImmediate(() => {
    socket.write('x'.repeat(LARGE_BYTES - PART_BYTES))
    blockProcess(LATE_MILLISECONDS)
  }), TIMEOUT_MILLISECONDS / 4)
}], async ({ caller }) => {
  caller.get('/large')
  await until(() => caller.isAnswered)
  assert.equal(caller.responses, [{ status: 200, announced: LARGE_BYTES, bytes: LARGE_BYTES }])
}))

// Guards against requests that are held past their timeout by an upstream that hangs in the middle of a body (CONFIG).
test('a response whose upstream is silent past the timeout is broken off, and does not look complete', () => withUpstreams([
  (socket) => socket.write(startOf('200 OK', PART_BYTES))
], async ({ entry, caller, upstreams }) => {
  caller.get('/large')
  await until(() => caller.isClosed)
  assert.equal(caller.responses, [{ status: 200, announced: LARGE_BYTES, bytes: PART_BYTES }])
  await until(() => entry.outcomes.length === 1 && upstreams[0]?.closedConnections === 1)
  assert.is(entry.outcomes[0]?.code, 'broken_off')
}))

// Guards against a body without an end that is passed on for as long as its caller takes it.
test('a body without an end is cut off although its caller takes it', () => withUpstreams([(socket) => {
  socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
  writeEndlessly(socket, `400\r\n${'x'.repeat(1024)}\r\n`)
}], async ({ entry, caller, upstreams }) => {
  caller.socket.removeAllListeners('data').resume()
  caller.get('/endless')
  await until(() => caller.isClosed)
  await until(() => entry.outcomes.length === 1 && upstreams[0]?.closedConnections === 1)
  assert.is(entry.outcomes[0]?.code, 'broken_off')
}))

test.run()

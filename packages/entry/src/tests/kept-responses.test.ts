import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { until } from './caller-fixture.ts'
import { LARGE_BYTES, PART_BYTES, startOf, TIMEOUT_MILLISECONDS, withUpstreams } from './scripted-upstreams.ts'

// Guards against a part of a response that is sent with its own length, so that it looks complete (MIXED).
test('a server error whose upstream closes while another is asked is not passed on in part', () => withUpstreams([
  (socket) => {
    socket.write(startOf('500 Failing', PART_BYTES))
    setTimeout(() => socket.destroy(), TIMEOUT_MILLISECONDS / 2)
  },
  () => {}
], async ({ caller }) => {
  caller.get('/large')
  await until(() => caller.isAnswered)
  const [response] = caller.responses
  assert.ok(response !== undefined && response.status >= 502, `${JSON.stringify(response)}`)
  assert.match(caller.received, /application\/problem\+json/)
}, { mayRepeat: true }))

// Guards against the same for a response that is cut off by the timeout of the request while another upstream is asked.
test('a server error that is kept until another upstream has timed out arrives whole', () => withUpstreams([
  (socket) => socket.write(startOf('500 Failing', LARGE_BYTES)),
  () => {}
], async ({ caller }) => {
  caller.get('/large')
  await until(() => caller.isAnswered)
  assert.equal(caller.responses, [{ status: 500, announced: LARGE_BYTES, bytes: LARGE_BYTES }])
}, { mayRepeat: true }))

test.run()

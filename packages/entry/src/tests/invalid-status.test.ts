import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import { okResponse, type UpstreamScript } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { until } from './caller-fixture.ts'
import { withUpstreams, type Play } from './scripted-upstreams.ts'

/** Timeout of the requests, long enough for a busy machine. */
const TIMEOUT_MILLISECONDS = 5_000
/** Less than the timeout of a request. */
const AT_ONCE_MILLISECONDS = 2_500

/** Responds with this status, and leaves the connection open. */
const respondWith = (status: string, framing: string): UpstreamScript => (socket) => { socket.write(`HTTP/1.1 ${status} Odd\r\n${framing}`) }

const FRAMINGS: Record<string, string> = {
  'a Content-Length': 'Content-Length: 4\r\n\r\nodd!',
  chunks: 'Transfer-Encoding: chunked\r\n\r\n4\r\nodd!\r\n0\r\n\r\n'
}

/** Sends a request and returns the time until its response was complete. */
async function askOnce ({ caller }: Play): Promise<number> {
  const startedAt = performance.now()
  caller.get('/')
  await until(() => caller.isAnswered)
  return performance.now() - startedAt
}

// Guards against an upstream whose response is no HTTP response: it reached the caller as an answer, or its request waited until its timeout.
for (const status of ['000', '042', '099', '600', '999']) {
  for (const [name, framing] of Object.entries(FRAMINGS)) {
    test(`status ${status} with ${name} fails the attempt at once`, async () => {
      await withUpstreams([respondWith(status, framing)], async (play) => {
        const milliseconds = await askOnce(play)
        const [outcome] = play.entry.outcomes
        assert.equal(play.caller.responses.map((response) => response.status), [502])
        assert.is(outcome?.code, 'upstream_failed')
        assert.match(outcome?.failure ?? '', /^malformed_answer: /)
        assert.equal(play.entry.ends.map((end) => end.outcome), [PlacementOutcome.PLACEMENT_OUTCOME_BROKEN])
        assert.ok(milliseconds < AT_ONCE_MILLISECONDS, `after ${milliseconds} ms`)
        await until(() => play.upstreams[0]?.sockets.size === 0)
      }, { timeoutMilliseconds: TIMEOUT_MILLISECONDS })
    })

    test(`status ${status} with ${name}: a repeatable request is answered by another upstream`, async () => {
      await withUpstreams([respondWith(status, framing), (socket) => { socket.write(okResponse('good')) }], async (play) => {
        const milliseconds = await askOnce(play)
        assert.equal(play.caller.responses.map((response) => response.status), [200])
        assert.ok(milliseconds < AT_ONCE_MILLISECONDS, `after ${milliseconds} ms`)
        await until(() => play.upstreams[0]?.sockets.size === 0)
      }, { mayRepeat: true, timeoutMilliseconds: TIMEOUT_MILLISECONDS })
    })
  }
}

test.run()

/** The times at which an entry tells refused callers to return. */
import { DenialReason } from '@hickoryspoke/protocol/generated/dispatch'
import { PlacementDenied } from '@hickoryspoke/dispatch/placement-client'
import { refusalOfDenial, retryableRefusal } from '@hickoryspoke/request/dispatched-refusal'
import { formatRefusal, Refusal } from '@hickoryspoke/request/refusal'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startDispatched } from './dispatched-fixture.ts'

/** Asks one request that the dispatcher refuses, and returns its `Retry-After`. */
async function returnTimeOf (retryAfterMilliseconds: number, spreadsReturns: boolean): Promise<string | null> {
  const entry = await startDispatched((client, { ticket }) => {
    client.receiveDenial({ ticket, reason: DenialReason.DENIAL_REASON_OVERLOADED, retryAfterMilliseconds })
  }, {}, { spreadsReturns })
  const response = await fetch(`http://127.0.0.1:${entry.port}/`)
  await response.text()
  entry.server.close()
  return response.headers.get('retry-after')
}

// Guards against callers that were told different times by the dispatcher and all return with the next full second.
test('a caller is told the time of the dispatcher to the millisecond where the deployment asks for it', async () => {
  assert.is(await returnTimeOf(421, true), '0.421')
  assert.is(await returnTimeOf(500, true), '0.500')
})

test('otherwise it is told whole seconds, as before', async () => {
  assert.is(await returnTimeOf(421, false), '1')
  assert.is(await returnTimeOf(1_500, false), '2')
})

// Guards against a time for which the dispatcher reserved room and that the entry replaces.
test('only a time that all callers are told may be replaced', () => {
  assert.is(retryableRefusal('not_fresh').isTimeUsual, true)
  assert.is(refusalOfDenial(PlacementDenied.create(DenialReason.DENIAL_REASON_RATE, 500)).isTimeUsual, false)
  assert.is(retryableRefusal('not_fresh').withRetryAfter(321).retryAfterMilliseconds, 321)
})

test('a refusal without a time to return names none', () => {
  const { headers } = formatRefusal(Refusal.create('no_route'), 'request', true)
  assert.not.ok(headers.includes('Retry-After'))
})

test.run()

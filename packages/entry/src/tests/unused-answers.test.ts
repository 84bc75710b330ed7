import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import type { CrashTrial } from '@hickoryspoke/request/collaborators'
import { Refusal } from '@hickoryspoke/request/refusal'
import { okResponse, RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { Ok } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CallerFixture, statusOf, until } from './caller-fixture.ts'
import { startDispatched } from './dispatched-fixture.ts'

/** The start of a server error whose body goes on; longer than what is held of a response. */
const LONG_SERVER_ERROR = `HTTP/1.1 503 Failing\r\nContent-Length: 1000000\r\n\r\n${'x'.repeat(100_000)}`
const LONG_ERROR_OF_ITS_OWN = LONG_SERVER_ERROR.replace('503 Failing', '500 Failing')

// Guards against connections that stay open for good, each with a part of a response that nobody reads.
test('a long server error is closed when another upstream answers in its place', async () => {
  const failing = await RawUpstream.create((socket) => socket.write(LONG_ERROR_OF_ITS_OWN))
  const sound = await RawUpstream.create((socket) => socket.write(okResponse('answer')))
  let questions = 0
  const entry = await startDispatched((client, { ticket }) => {
    questions += 1
    client.receivePlacement(questions === 1 ? { ticket, instance: 'failing', address: failing.address } : { ticket, instance: 'sound', address: sound.address })
  }, { mayRepeat: true })
  try {
    assert.is(await entry.send(), 200)
    await until(() => failing.closedConnections > 0, 2_000)
    await until(() => entry.ends.length === 2, 2_000)
    const outcomes = Object.fromEntries(entry.ends.map(({ instance, outcome }) => [instance, outcome]))
    assert.equal(outcomes, { failing: PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR, sound: PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED })
  } finally {
    entry.server.close()
    await Promise.all([failing.close(), sound.close()])
  }
})

test('a long server error is closed when its request may not be sent again', async () => {
  const failing = await RawUpstream.create((socket) => socket.write(LONG_SERVER_ERROR))
  const blocking: CrashTrial = { beforeAttempt: async () => Refusal.create('overloaded'), finish: () => false, end: () => {} }
  const fixture = await CallerFixture.create({
    addresses: [failing.address],
    routes: [{ path: '/ledger', idempotent: true, timeout_milliseconds: 2_000 }],
    crashes: { begin: async () => Ok(blocking) }
  })
  try {
    assert.ok(statusOf(await fixture.ask('GET', '/ledger')) >= 500)
    await until(() => failing.closedConnections > 0, 2_000)
  } finally {
    await Promise.all([fixture.close(), failing.close()])
  }
})

test.run()

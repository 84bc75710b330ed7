import { ConnectFailure, type Connector } from '@hickoryspoke/request/connector'
import { SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { Err } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration, waitFor } from './dispatched-fleet.ts'

const UPSTREAMS = 4
const REQUESTS = 20
/** The other entries of the fleet. */
const RELAYS = 2
/** The time after which entries give up a connection attempt. */
const HANG_MILLISECONDS = 400

/** Every connection is refused, as by a firewall that answers with resets. */
const REFUSING: Connector = { connect: async () => Err(ConnectFailure.create('connect_refused', 'cut off')) }

/** Every connection hangs until it times out, as in a silent partition. */
const SILENT: Connector = {
  connect: async (_, signal) => {
    await sleep(SystemClock.create(), HANG_MILLISECONDS, signal)
    return Err(ConnectFailure.create(signal.aborted ? 'connect_aborted' : 'connect_timeout', 'cut off'))
  }
}

// Guards against callers of an entry that lost its links to the upstreams being served far worse than those of other entries (RECOVER).
for (const [name, connector] of [['refused', REFUSING], ['silent', SILENT]] as const) {
  test(`callers of an entry whose connections to upstreams are ${name} are served`, async () => {
    const fleet = await DispatchedFleet.create(1, 3, undefined, { 'entry-1': connector })
    const upstreams = await Promise.all(Array.from({ length: UPSTREAMS }, async () => await RawUpstream.create((socket) => socket.write(okResponse('served')))))
    try {
      await fleet.publish(fleetConfiguration(1, [{}]))
      for (const [index, { address }] of upstreams.entries()) await fleet.announce(`i-${index}`, address)
      await fleet.waitUntilReady()
      // The leader reports the relays with its answer to the next question of the entry.
      await waitFor(() => fleet.entries[0]?.entry.knownRelays === RELAYS ? true : undefined)
      const url = fleet.entries[0]?.url ?? ''
      const statuses: number[] = []
      for (let request = 0; request < REQUESTS; request += 1) statuses.push((await fetch(url, { method: 'POST', body: 'x' })).status)
      assert.equal(statuses.filter((status) => status !== 200), [])
      assert.is(upstreams.reduce((sum, { requests }) => sum + requests.length, 0), REQUESTS, 'each request ran once')
    } finally {
      await fleet.stop()
      await Promise.all(upstreams.map(async (upstream) => await upstream.close()))
    }
  })
}

test.run()

import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration, waitFor } from './dispatched-fleet.ts'

/** Larger than a gRPC server accepts without a limit of its own, which is 4 MiB. */
const MINIMUM_DOCUMENT_BYTES = 5 * 1024 * 1024
const NAME_PADDING = 'x'.repeat(200)

// Guards against documents that followers refuse: they are never acknowledged, and the leader loses its majority with each try.
test('a document of more than 4 MiB is acknowledged, held by every control VM, and obeyed', async () => {
  const fleet = await DispatchedFleet.create(3, 1)
  const upstream = await RawUpstream.create((socket) => socket.write(okResponse('served')))
  try {
    await fleet.publish(fleetConfiguration(1, [{}]))
    await fleet.announce('i-1', upstream.address)
    await fleet.waitUntilReady()
    const routes = Array.from({ length: 13_000 }, (_, index) => ({ name: `${NAME_PADDING}-${index}`, prefix: `/r${index}/` }))
    const configuration = fleetConfiguration(2, routes)
    assert.ok(JSON.stringify(configuration).length > MINIMUM_DOCUMENT_BYTES)
    await fleet.publish(configuration)
    await waitFor(() => fleet.controls.every(({ control }) => control.held?.number === 2) ? true : undefined)
    const answer = await fetch(`${fleet.entries[0]?.url ?? ''}/r12999/`)
    assert.is(await answer.text(), 'served')
  } finally {
    await fleet.stop()
    await upstream.close()
  }
})

test.run()

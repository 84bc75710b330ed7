import { DirectConnector, type Connector } from '@hickoryspoke/request/connector'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration, waitFor } from './dispatched-fleet.ts'

const CONNECT_TIMEOUT_MILLISECONDS = 400

/** Connects, but holds back connections to one upstream until it is released. */
class HoldingConnector implements Connector {
  heldAddress = ''
  isHolding = false
  private release = (): void => {}
  private readonly released = new Promise<void>((resolve) => { this.release = resolve })
  private readonly direct = DirectConnector.create(SystemClock.create(), CONNECT_TIMEOUT_MILLISECONDS)

  static create (): HoldingConnector {
    return new HoldingConnector()
  }

  async connect (...[address, signal]: Parameters<Connector['connect']>): ReturnType<Connector['connect']> {
    if (address === this.heldAddress) {
      this.isHolding = true
      await this.released
    }
    return await this.direct.connect(address, signal)
  }

  releaseAll (): void {
    this.release()
  }
}

// Guards against requests that reach an upstream after its departure was acknowledged, as their connection took long (DRAIN).
test('a request whose upstream leaves while the entry connects to it goes to another one', async () => {
  const connector = HoldingConnector.create()
  const fleet = await DispatchedFleet.create(1, 1, undefined, { 'entry-1': connector })
  const left = await RawUpstream.create((socket) => socket.write(okResponse('left')))
  const stays = await RawUpstream.create((socket) => socket.write(okResponse('stays')))
  connector.heldAddress = left.address
  try {
    await fleet.publish(fleetConfiguration(1, [{}]))
    await fleet.announce('i-left', left.address)
    await fleet.waitUntilReady()
    const response = fetch(fleet.entries[0]?.url ?? '', { method: 'POST', body: 'x' })
    await waitFor(() => connector.isHolding ? true : undefined)
    await fleet.announce('i-stays', stays.address)
    await fleet.announce('i-left', left.address, { draining: true, sequence: 2 })
    connector.releaseAll()
    assert.is((await response).status, 200)
    assert.is(left.requests.length, 0)
    assert.is(stays.requests.length, 1)
  } finally {
    await fleet.stop()
    await Promise.all([left.close(), stays.close()])
  }
})

// Guards against requests that run although the configuration that allowed them was replaced, as their connection took long (CONFIG).
test('a request whose route is removed while the entry connects does not run', async () => {
  const connector = HoldingConnector.create()
  const fleet = await DispatchedFleet.create(1, 1, undefined, { 'entry-1': connector })
  const upstream = await RawUpstream.create((socket) => socket.write(okResponse('ran')))
  connector.heldAddress = upstream.address
  try {
    await fleet.publish(fleetConfiguration(1, [{}]))
    await fleet.announce('i-1', upstream.address)
    await fleet.waitUntilReady()
    const response = fetch(fleet.entries[0]?.url ?? '', { method: 'POST', body: 'x' })
    await waitFor(() => connector.isHolding ? true : undefined)
    await fleet.publish(fleetConfiguration(2, [{ prefix: '/other/' }]))
    connector.releaseAll()
    assert.is((await response).status, 404)
    assert.is(upstream.requests.length, 0)
  } finally {
    await fleet.stop()
    await upstream.close()
  }
})

test.run()

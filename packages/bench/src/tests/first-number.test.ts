import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration } from './dispatched-fleet.ts'
import { sendRequests } from './leaving-upstream.ts'

const REQUESTS = 5

/** Content of the document that the leader reads; undefined for none. */
async function readContent (fleet: DispatchedFleet): Promise<ServingConfiguration | undefined> {
  const answer = await (await fleet.leader()).api.read()
  if (answer.kind !== 'done') throw new Error(`the document could not be read: ${answer.kind}`)
  return answer.value === undefined ? undefined : JSON.parse(answer.value.content.toString()) as ServingConfiguration
}

// Guards against a first configuration that is acknowledged and kept nowhere, as its number stands for none (CONFIG, LOST).
for (const number of [0, 1]) {
  test(`a first configuration of number ${number} is read back, served from, kept over a restart of all processes, and replaced only by a higher number`, async () => {
    const upstream = await RawUpstream.create((socket) => socket.write(okResponse('served')))
    const fleet = await DispatchedFleet.create(3, 2)
    const first = fleetConfiguration(number, [{}])
    const other = fleetConfiguration(number, [{ prefix: '/other/' }])
    const later = fleetConfiguration(number + 3, [{ prefix: '/' }, { name: 'more', prefix: '/more/' }])
    await fleet.publish(first)
    await fleet.announce('i-1', upstream.address)
    await fleet.waitUntilReady()
    assert.equal(await readContent(fleet), first)
    assert.equal([...new Set(await sendRequests(fleet, REQUESTS))], [200])
    await fleet.publish(other)
    assert.equal(await readContent(fleet), first)
    await fleet.restartAll()
    await fleet.announce('i-1', upstream.address, { sequence: 2 })
    await fleet.waitUntilReady()
    assert.equal(await readContent(fleet), first)
    assert.equal([...new Set(await sendRequests(fleet, REQUESTS))], [200])
    await fleet.publish(later)
    await fleet.publish(first)
    assert.equal(await readContent(fleet), later)
    assert.equal([...new Set(await sendRequests(fleet, REQUESTS))], [200])
    await fleet.stop()
    await upstream.close()
  })
}

test.run()

/** A fleet in which one announcement has values that cannot be right. */
import type { AnnouncedUpstream } from '@hickoryspoke/protocol/generated/dispatch'
import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration, waitFor } from './dispatched-fleet.ts'

const REQUESTS = 12

/** Fields of the odd announcement that differ from those of a sound one. */
const ODD_FIELDS: Readonly<Record<string, Partial<AnnouncedUpstream>>> = {
  'more slots than 32 bits hold': { slots: 2 ** 32 },
  'a warm-up that is longer than 32 bits hold': { warmupMilliseconds: 2 ** 32 },
  'the greatest sequence number': { sequence: Number.MAX_SAFE_INTEGER },
  'a port out of range': { address: '127.0.0.1:99999' },
  'port 0': { address: '127.0.0.1:0' },
  'an octet out of range': { address: '127.0.0.999:80' }
}

const SOUND: Omit<AnnouncedUpstream, 'instance'> = {
  pool: 'ledger',
  address: '127.0.0.1:9',
  zone: 'zone-a',
  slots: 2,
  draining: false,
  warmupMilliseconds: 0,
  born: 1,
  sequence: 1,
  version: '',
  gone: false
}

async function createFleet (upstream: RawUpstream): Promise<DispatchedFleet> {
  const fleet = await DispatchedFleet.create(1, 2)
  await fleet.publish(fleetConfiguration(1, [{}]))
  await fleet.announce('i-sound', upstream.address)
  await fleet.waitUntilReady()
  return fleet
}

/** Announces two upstreams with odd fields, one of which leaves. The answers are not of interest. */
async function announceOdd (fleet: DispatchedFleet, fields: Partial<AnnouncedUpstream>): Promise<void> {
  const { api } = await fleet.leader()
  for (const instance of ['i-odd-left', 'i-odd']) {
    await api.announce({ ...SOUND, instance, ...fields })
    if (instance === 'i-odd-left') await api.leave(instance, undefined)
  }
}

async function statusesOf (fleet: DispatchedFleet): Promise<number[]> {
  const statuses: number[] = []
  for (const { url } of fleet.entries) {
    for (let request = 0; request < REQUESTS; request += 1) statuses.push((await fetch(url, { method: 'POST', body: 'x' })).status)
  }
  return statuses
}

// Guards against entries that stop following the list of upstreams, or end, because of one odd announcement in it (LOST).
for (const [name, fields] of Object.entries(ODD_FIELDS)) {
  test(`entries follow the other upstreams when one is announced with ${name}`, async () => {
    const upstream = await RawUpstream.create((socket) => socket.write(okResponse('served')))
    const fleet = await createFleet(upstream)
    try {
      await announceOdd(fleet, fields)
      const { api } = await fleet.leader()
      assert.is((await api.leave('i-unknown', undefined)).kind, 'done', 'all entries confirm news')
      await fleet.waitUntilReady()
      assert.equal((await statusesOf(fleet)).filter((status) => status !== 200), [])
      const addition = await RawUpstream.create((socket) => socket.write(okResponse('served')))
      await fleet.announce('i-later', addition.address)
      await waitFor(async () => (await statusesOf(fleet)).length > 0 && addition.requests.length > 0 ? true : undefined)
      await addition.close()
    } finally {
      await fleet.stop()
      await upstream.close()
    }
  })
}

test.run()

import { RawUpstream, okResponse } from '@hickoryspoke/testing/raw-upstream'
import { type DispatchedFleet, fleetConfiguration } from './dispatched-fleet.ts'

/** Two upstreams of one pool. The tests announce them, as `i-left` and `i-stays`. */
export interface TwoUpstreams {
  readonly left: RawUpstream
  readonly stays: RawUpstream
}

/** Runs a check with a fleet whose only route goes to the pool of two upstreams, and stops all of them. */
export async function withTwoUpstreams (fleet: DispatchedFleet, check: (upstreams: TwoUpstreams) => Promise<void>): Promise<void> {
  const left = await RawUpstream.create((socket) => socket.write(okResponse('left')))
  const stays = await RawUpstream.create((socket) => socket.write(okResponse('stays')))
  try {
    await fleet.publish(fleetConfiguration(1, [{}]))
    await check({ left, stays })
  } finally {
    await fleet.stop()
    await Promise.all([left.close(), stays.close()])
  }
}

/** Sends one request after another to the first entry and returns the statuses of the responses. */
export async function sendRequests (fleet: DispatchedFleet, count: number): Promise<number[]> {
  const statuses: number[] = []
  for (let sent = 0; sent < count; sent += 1) {
    const response = await fetch(fleet.entries[0]?.url ?? '', { method: 'POST', body: 'x' })
    statuses.push(response.status)
  }
  return statuses
}

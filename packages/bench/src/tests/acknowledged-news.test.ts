import type { ClientDuplexStream } from '@grpc/grpc-js'
import { AnnouncedUpstream, DispatchClient, type DispatchMessage, type EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DispatchedFleet, fleetConfiguration, waitFor } from './dispatched-fleet.ts'

/** So long that no view expires while a test runs. */
const FRESH_MILLISECONDS = 600_000

type Body = NonNullable<DispatchMessage['body']>

/** A stream of an entry that answers only when the test says so. */
class SilentEntry {
  readonly received: Body[] = []

  private constructor (private readonly client: DispatchClient, readonly call: ClientDuplexStream<EntryMessage, DispatchMessage>) {
    call.on('data', ({ body }: DispatchMessage) => { if (body !== undefined) this.received.push(body) })
    call.on('error', () => {})
  }

  /** Attaches to the leader and waits until it serves the stream. */
  static async attach (address: string): Promise<SilentEntry> {
    const client = new DispatchClient(address, InnerCredentials.create({ kind: 'plain_text' }).forChannel())
    const entry = new SilentEntry(client, client.attend())
    const hello = { name: 'silent', zone: 'zone-a', mirror: false, configurationNumber: undefined, running: [], upstreamDigest: '', limits: [], relay: '', admitted: [], fleetShare: 0 }
    entry.call.write({ body: { $case: 'hello', value: hello } })
    await waitFor(() => entry.received.some((body) => body.$case === 'leader' && body.value.serving) ? true : undefined)
    return entry
  }

  async receives (isWanted: (body: Body) => boolean): Promise<Body> {
    return await waitFor(() => this.received.find(isWanted))
  }

  /** Confirms everything that was received so far. */
  confirmAll (): void {
    const revisions = this.received.map(({ value }) => 'revision' in value ? value.revision : 0)
    this.call.write({ body: { $case: 'confirmation', value: { revision: Math.max(...revisions) } } })
  }

  close (): void {
    this.call.cancel()
    this.client.close()
  }
}

// Guards against requests that reach an upstream after its departure was acknowledged, from an entry that had not heard of it (DRAIN).
test('a departure is not acknowledged while an entry has not confirmed that it knows', async () => {
  const fleet = await DispatchedFleet.create(3, 0, FRESH_MILLISECONDS)
  const entry = await SilentEntry.attach((await fleet.leader()).address)
  try {
    await fleet.announce('i-1', '127.0.0.1:9')
    let isAcknowledged = false
    const departure = fleet.announce('i-1', '127.0.0.1:9', { draining: true, sequence: 2 }).then(() => { isAcknowledged = true })
    await entry.receives((body) => body.$case === 'upstreams' && body.value.upstreams.some((element) => AnnouncedUpstream.decode(element).draining))
    assert.not.ok(isAcknowledged)
    entry.confirmAll()
    await departure
  } finally {
    entry.close()
    await fleet.stop()
  }
})

// Guards against requests handled by an older configuration after a newer one was acknowledged (CONFIG).
test('a configuration is not acknowledged while an entry has not confirmed that it holds it', async () => {
  const fleet = await DispatchedFleet.create(3, 0, FRESH_MILLISECONDS)
  const entry = await SilentEntry.attach((await fleet.leader()).address)
  try {
    let isAcknowledged = false
    const change = fleet.publish(fleetConfiguration(3, [{ prefix: '/lots/' }])).then(() => { isAcknowledged = true })
    await entry.receives((body) => body.$case === 'configuration' && body.value.number === 3)
    assert.not.ok(isAcknowledged)
    entry.confirmAll()
    await change
  } finally {
    entry.close()
    await fleet.stop()
  }
})

test('a departure is not acknowledged because the stream of an entry was lost before it confirmed', async () => {
  const fleet = await DispatchedFleet.create(3, 0, FRESH_MILLISECONDS)
  const leader = await fleet.leader()
  const entry = await SilentEntry.attach(leader.address)
  await fleet.announce('i-1', '127.0.0.1:9')
  const departure = fleet.announceTo(leader, 'i-1', '127.0.0.1:9', { draining: true, sequence: 2 })
  await entry.receives((body) => body.$case === 'upstreams' && body.value.upstreams.some((element) => AnnouncedUpstream.decode(element).draining))
  entry.close()
  await waitFor(async () => (await leader.control.metrics.expose()).includes('hickoryspoke_entries 0') ? true : undefined)
  await fleet.stop()
  assert.is((await departure).kind, 'unavailable', 'the leader stopped before the view of the entry expired')
})

test.run()

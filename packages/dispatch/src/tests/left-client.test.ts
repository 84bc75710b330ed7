import { Server } from '@grpc/grpc-js'
import { FramedConnection } from '@hickoryspoke/protocol/framed-connection'
import { DispatchMessage, EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { InnerListener } from '@hickoryspoke/protocol/inner-listener'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLeadingService, emptyHello } from './fixture.ts'

/** A leader that listens on loopback. */
async function createLeader () {
  const clock = FakeClock.create()
  const service = createLeadingService(clock)
  let closed = 0
  const listener = InnerListener.create({
    credentials: InnerCredentials.create({ kind: 'plain_text' }),
    grpc: new Server(),
    logger: silentLogger(),
    framed: (socket) => {
      socket.on('close', () => { closed += 1 })
      service.acceptStream(FramedConnection.accept(socket, { sent: DispatchMessage, received: EntryMessage }))
    }
  })
  const port = (await listener.listen('127.0.0.1:0')).unwrap()
  /** Connects a client, which says who it is. */
  const connect = (name: string) => {
    const connection = FramedConnection.connect(`127.0.0.1:${port}`, { sent: EntryMessage, received: DispatchMessage })
    connection.write(emptyHello(name))
    return connection
  }
  return { service, listener, connect, closed: () => closed }
}

// Guards against a leader that is kept busy by clients that have given up waiting for it (SHORT).
test('a client that has closed its connection when its first message is read is not attached', async () => {
  const { service, listener, connect, closed } = await createLeader()
  const attached: string[] = []
  const leaving = connect('leaving')
  while (!leaving.isConnected) await flushPromises()
  leaving.end()
  while (closed() < 1) await flushPromises()
  const staying = connect('staying')
  staying.on('data', ({ body }) => { if (body?.$case === 'leader' && body.value.serving) attached.push('staying') })
  while (attached.length === 0) await flushPromises()
  assert.is(service.readLoad().helloMessages, 1)
  staying.destroy()
  listener.close()
})

test.run()

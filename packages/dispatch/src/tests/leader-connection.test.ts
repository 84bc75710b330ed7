import { createServer, type AddressInfo, type Socket } from 'node:net'
import { Server, type ServerDuplexStream } from '@grpc/grpc-js'
import { DispatchService, type DispatchMessage, type EntryMessage } from '@hickoryspoke/protocol/generated/dispatch'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { DispatchStreamListener } from '../dispatch-stream.ts'
import { connectTo, CREDENTIALS, ignore } from './leader-connection-fixture.ts'

type Call = ServerDuplexStream<EntryMessage, DispatchMessage>

/** Real time for a connection on loopback that should not be made. */
const SETTLE_MILLISECONDS = 50

/** A control VM that answers only when the test says so, and a connection to it in simulated time. */
async function createConnection (isSeedKnown = true) {
  const clock = FakeClock.create()
  const calls: Call[] = []
  const messages: EntryMessage[] = []
  const server = new Server()
  server.addService(DispatchService, {
    attend: (call: Call) => {
      calls.push(call)
      call.on('data', (message: EntryMessage) => messages.push(message))
      call.on('error', ignore)
    }
  })
  const port = (await CREDENTIALS.bind(server, '127.0.0.1:0')).unwrap()
  const { connection, running, stop: stopConnection } = connectTo(clock, isSeedKnown ? [`127.0.0.1:${port}`] : [])
  const stop = (): void => {
    stopConnection()
    server.forceShutdown()
  }
  return { clock, calls, messages, connection, running, stop }
}

async function waitUntil (isMet: () => boolean): Promise<void> {
  while (!isMet()) await flushPromises()
}

// Guards against entries that give up a busy leader and begin again, until connections are all that the leader handles (CONFIG).
test('a control VM that accepted the connection is given time for its first message', async () => {
  const { clock, calls, messages, connection, stop } = await createConnection()
  await waitUntil(() => messages.length === 1)
  let isCancelled = false
  calls[0]?.on('cancelled', () => { isCancelled = true })
  await clock.advanceAsync(2_000)
  calls[0]?.write({ body: { $case: 'leader', value: { leader: 'here', control: [], serving: true } } })
  await waitUntil(() => connection.isConnected || isCancelled)
  assert.ok(connection.isConnected)
  assert.is(calls.length, 1)
  stop()
})

test('a control VM that stays silent is given up', async () => {
  const { clock, calls, messages, stop } = await createConnection()
  await waitUntil(() => messages.length === 1)
  let isCancelled = false
  calls[0]?.on('cancelled', () => { isCancelled = true })
  await clock.advanceAsync(2_600)
  await waitUntil(() => isCancelled)
  await clock.advanceAsync(200)
  await waitUntil(() => calls.length === 2)
  stop()
})

// Guards against entries that connect to a busy leader twice a second, so that it never serves them (CONFIG).
test('a control VM that does not accept the connection is given more time with each attempt', async () => {
  const clock = FakeClock.create()
  const sockets: Socket[] = []
  const busy = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', ignore)
  })
  await new Promise<void>((resolve) => busy.listen(0, '127.0.0.1', resolve))
  const { running, stop } = connectTo(clock, [`127.0.0.1:${(busy.address() as AddressInfo).port}`])
  await waitUntil(() => sockets.length === 1)
  await clock.advanceAsync(700)
  await waitUntil(() => sockets.length === 2)
  await clock.advanceAsync(700)
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MILLISECONDS))
  assert.is(sockets.length, 2, 'the second attempt is not given up after 500 ms')
  await clock.advanceAsync(700)
  await waitUntil(() => sockets.length === 3)
  stop()
  await clock.advanceAsync(3_000)
  await running
  for (const socket of sockets) socket.destroy()
  busy.close()
})

// Guards against entries that wait for seconds on a VM that is down, while another one leads (SHORT).
test('a control VM to which there is no connection is given up after the same short time at each attempt', async () => {
  const clock = FakeClock.create()
  const openedAt: number[] = []
  const openStream = () => {
    openedAt.push(clock.monotonicMilliseconds())
    return { write: ignore, end: ignore, cancel: ignore, isConnected: () => false, isAccepted: () => false }
  }
  const { running, stop } = connectTo(clock, ['10.0.0.1:1', '10.0.0.2:1'], { openStream })
  for (let step = 0; step < 100; step += 1) await clock.advanceAsync(50)
  assert.ok(openedAt.length >= 5, `${openedAt.length} attempts in 5 s`)
  stop()
  await clock.advanceAsync(3_000)
  await running
})

// Guards against a control VM without others that ends at its start.
test('without any known control VM it waits for one', async () => {
  const { clock, calls, running, stop } = await createConnection(false)
  await clock.advanceAsync(2_000)
  assert.is(calls.length, 0)
  stop()
  await clock.advanceAsync(1_000)
  await running
})

/** Control VMs in simulated time: `one` leads or names `two` as the leader, which does not accept connections. */
function createControlVms () {
  const clock = FakeClock.create()
  const opened: Array<{ readonly address: string, readonly at: number, cancelledAt: number }> = []
  const listeners: DispatchStreamListener[] = []
  const state = { leads: true }
  const openStream = (address: string, _: InnerCredentials, listener: DispatchStreamListener) => {
    const attempt = { address, at: clock.monotonicMilliseconds(), cancelledAt: NaN }
    const isOne = address === 'one:1'
    opened.push(attempt)
    listeners.push(listener)
    const answer = (): void => {
      const notice = state.leads ? { leader: 'one:1', control: [], serving: true } : { leader: 'two:1', control: [], serving: false }
      listener.received({ body: { $case: 'leader', value: notice } })
      if (!state.leads) listener.ended()
    }
    if (isOne) clock.schedule(1, answer)
    const cancel = (): void => { attempt.cancelledAt = clock.monotonicMilliseconds() }
    return { write: ignore, end: ignore, cancel, isConnected: () => true, isAccepted: () => isOne }
  }
  return { clock, opened, openStream, state }
}

// Guards against entries that give up a leader which accepts hundreds of them in turn, and wait again at the end of its queue (SHORT).
test('a leader that another control VM named is given time to accept the connection', async () => {
  const { clock, opened, openStream, state } = createControlVms()
  state.leads = false
  const { stop } = connectTo(clock, ['one:1'], { openStream })
  await clock.advanceAsync(2_900)
  assert.equal(opened.map(({ address }) => address), ['one:1', 'two:1'])
  assert.ok(Number.isNaN(opened[1]?.cancelledAt))
  stop()
})

// Guards against entries that wait for a leader that is frozen, as it is still named (SHORT).
test('a leader that fell silent is given up soon, although it is named', async () => {
  const { clock, opened, openStream, state } = createControlVms()
  const silent = (address: string, credentials: InnerCredentials, listener: DispatchStreamListener) => {
    if (address === 'one:1') return openStream(address, credentials, listener)
    const stream = openStream(address, credentials, listener)
    // It serves the first connection, and then falls silent.
    if (opened.filter((attempt) => attempt.address === 'two:1').length > 1) return stream
    clock.schedule(1, () => listener.received({ body: { $case: 'leader', value: { leader: 'two:1', control: [], serving: true } } }))
    return { ...stream, isAccepted: () => true }
  }
  state.leads = false
  const { stop } = connectTo(clock, ['one:1'], { openStream: silent })
  await clock.advanceAsync(3_000)
  const attempts = opened.filter(({ address }) => address === 'two:1')
  assert.ok(attempts.length >= 3, 'it is tried again')
  const again = attempts[1] as (typeof attempts)[number]
  assert.ok(again.cancelledAt - again.at <= 600, `given up after ${again.cancelledAt - again.at} ms`)
  stop()
})

test.run()

import { createServer, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SystemClock } from '../clock.ts'
import { DrainableServer } from '../drainable-server.ts'

const CALL = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
const LONG_MILLISECONDS = 60_000

/** A server whose answers are given by the test, and a connection to it. */
class Rig {
  readonly waiting: ServerResponse[] = []
  received = ''

  private constructor (readonly drainable: DrainableServer, readonly socket: Socket, readonly closed: Promise<unknown>) {}

  static async create (): Promise<Rig> {
    const server = createServer()
    const drainable = DrainableServer.create(server, SystemClock.create())
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const connected = new Promise((resolve) => server.once('connection', resolve))
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    const rig = new Rig(drainable, socket, new Promise((resolve) => socket.once('close', resolve)))
    server.on('request', (_, response: ServerResponse) => rig.waiting.push(response))
    socket.on('data', (chunk) => { rig.received += String(chunk) })
    await connected
    return rig
  }

  get answers (): number {
    return this.received.split('HTTP/1.1 200').length - 1
  }

  /** Makes a call, and answers it. */
  async callOnce (): Promise<void> {
    this.socket.write(CALL)
    await this.untilWaiting(1)
    this.waiting[0]?.end('done')
  }

  /** Waits for calls, or for the end of the connection. */
  async untilWaiting (count: number): Promise<void> {
    while (this.waiting.length < count && !this.socket.destroyed) await new Promise((resolve) => setTimeout(resolve, 5))
  }
}

// Guards against answers behind the first one on a connection that a stop cuts off.
test('all exchanges of a connection are answered before it closes', async () => {
  const rig = await Rig.create()
  rig.socket.write(CALL + CALL)
  await rig.untilWaiting(2)
  const drained = rig.drainable.drain(LONG_MILLISECONDS)
  assert.is(rig.drainable.busyConnections, 1)
  rig.waiting[0]?.end('done')
  while (rig.answers < 1) await new Promise((resolve) => setTimeout(resolve, 5))
  rig.waiting[1]?.end('done')
  await rig.closed
  assert.is(rig.answers, 2)
  assert.is(await drained, 0)
})

test('a connection on which nothing is in progress does not hold a stop up', async () => {
  const rig = await Rig.create()
  await rig.callOnce()
  assert.is(await rig.drainable.drain(LONG_MILLISECONDS), 0)
  await rig.closed
  assert.is(rig.answers, 1)
})

// Guards against a stop without an end.
test('an exchange that does not end is cut off at the limit', async () => {
  const rig = await Rig.create()
  rig.socket.write(CALL)
  await rig.untilWaiting(1)
  assert.is(await rig.drainable.drain(100), 1)
  await rig.closed
  assert.is(rig.answers, 0)
})

// Guards against an error that ends the process when a call crosses the end of its connection.
test('a call that arrives after the end of its connection does no harm', async () => {
  const rig = await Rig.create()
  rig.socket.write(CALL.slice(0, 10))
  const other = rig.drainable.drain(LONG_MILLISECONDS)
  rig.socket.write(CALL.slice(10))
  await rig.untilWaiting(1)
  for (const response of rig.waiting) response.end('done')
  await rig.closed
  assert.is(await other, 0)
})

// Guards against a call that runs behind the end of its connection, where it cannot be answered.
test('a call that arrives behind the end of its connection does not run', async () => {
  const rig = await Rig.create()
  await rig.callOnce()
  while (rig.answers < 1) await new Promise((resolve) => setTimeout(resolve, 5))
  const drained = rig.drainable.drain(LONG_MILLISECONDS)
  rig.socket.write(CALL)
  await rig.closed
  assert.is(await drained, 0)
  assert.is(rig.waiting.length, 1)
})

// Guards against an answer that closes its connection before its call was read, and that a reset discards.
test('an answer before the end of a call reaches a client that goes on sending', async () => {
  const rig = await Rig.create()
  rig.socket.pause()
  rig.socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\n')
  await rig.untilWaiting(1)
  rig.waiting[0]?.writeHead(200, { Connection: 'close', 'Content-Length': 4 }).end('done')
  for (let sent = 0; sent < 10; sent += 1) {
    rig.socket.write('x'.repeat(60_000))
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
  rig.socket.resume()
  await rig.closed
  assert.is(rig.answers, 1)
  await rig.drainable.drain(LONG_MILLISECONDS)
})

test.run()

import { connect, createServer, type AddressInfo, type Server as SocketServer, type Socket } from 'node:net'
import { Server as GrpcServer, type ServerDuplexStream } from '@grpc/grpc-js'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FramedConnection, FRAMED_PREFACE } from '../framed-connection.ts'
import { DispatchClient, DispatchMessage, DispatchService, EntryMessage } from '../generated/dispatch.ts'
import { InnerCredentials } from '../inner-credentials.ts'
import { InnerListener } from '../inner-listener.ts'

const CREDENTIALS = InnerCredentials.create({ kind: 'plain_text' })
const CLIENT_CODECS = { sent: EntryMessage, received: DispatchMessage }
const SERVER_CODECS = { sent: DispatchMessage, received: EntryMessage }
const QUERY: DispatchMessage = { body: { $case: 'upstreamQuery', value: {} } }

type ServerCall = ServerDuplexStream<EntryMessage, DispatchMessage>
type ServerConnection = FramedConnection<DispatchMessage, EntryMessage>

function question (number: number): EntryMessage {
  return { body: { $case: 'number', value: { question: number, relays: false } } }
}

/** A listener that serves both protocols, and the framed connections that it accepted. */
async function listen () {
  const grpc = new GrpcServer()
  const connections: ServerConnection[] = []
  const received: EntryMessage[] = []
  grpc.addService(DispatchService, { attend: (call: ServerCall) => call.on('data', (message: EntryMessage) => received.push(message)).on('error', () => {}) })
  const listener = InnerListener.create({
    credentials: CREDENTIALS,
    grpc,
    logger: silentLogger(),
    framed: (socket) => {
      const connection = FramedConnection.accept(socket, SERVER_CODECS)
      connection.on('data', (message) => received.push(message))
      connections.push(connection)
    }
  })
  const port = (await listener.listen('127.0.0.1:0')).unwrap()
  const close = (): void => {
    listener.close()
    grpc.forceShutdown()
  }
  return { address: `127.0.0.1:${port}`, port, connections, received, listener, grpc, close }
}

async function until (isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise((resolve) => setImmediate(resolve))
}

/** A server that handles sockets in its own way. */
async function listenRaw (handle: (socket: Socket) => void): Promise<{ address: string, server: SocketServer }> {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    handle(socket)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, server }
}

async function failureOf (connection: FramedConnection<EntryMessage, DispatchMessage>): Promise<Failure> {
  return await new Promise((resolve) => connection.on('error', resolve))
}

test('messages travel in both directions, in order', async () => {
  const { address, connections, received, close } = await listen()
  const client = FramedConnection.connect(address, CLIENT_CODECS)
  const replies: DispatchMessage[] = []
  client.on('data', (message) => replies.push(message))
  for (let number = 1; number <= 500; number += 1) client.write(question(number))
  await until(() => received.length === 500)
  assert.equal(received.map(({ body }) => body?.$case === 'number' ? body.value.question : 0), Array.from({ length: 500 }, (_, index) => index + 1))
  connections[0]?.write(QUERY)
  await until(() => replies.length === 1)
  assert.ok(client.isAccepted)
  client.destroy()
  close()
})

// Guards against messages that are lost or joined where the network cuts them into pieces.
test('a message that arrives byte by byte is read whole', async () => {
  const { port, received, close } = await listen()
  const message = EntryMessage.encode(question(7)).finish()
  const length = Buffer.alloc(4)
  length.writeUInt32BE(message.length)
  const bytes = Buffer.concat([FRAMED_PREFACE, length, message])
  const socket = connect({ port, host: '127.0.0.1', noDelay: true })
  socket.on('error', () => {})
  for (const byte of bytes) {
    socket.write(Buffer.from([byte]))
    await new Promise((resolve) => setTimeout(resolve, 2))
  }
  await until(() => received.length === 1)
  assert.equal(received, [question(7)])
  socket.destroy()
  close()
})

// Guards against a rolling upgrade in which entries of the older version find no leader.
test('a gRPC client is served on the same port', async () => {
  const { address, received, close } = await listen()
  const client = new DispatchClient(address, CREDENTIALS.forChannel())
  const call = client.attend()
  call.on('error', () => {})
  call.write(question(3))
  await until(() => received.length === 1)
  assert.equal(received, [question(3)])
  call.cancel()
  client.close()
  close()
})

test('a peer that answers with something else is not framed', async () => {
  const { address, server } = await listenRaw((socket) => socket.write('HTTP/1.1 400 Bad Request\r\n\r\n'))
  assert.is((await failureOf(FramedConnection.connect(address, CLIENT_CODECS))).code, 'not_framed')
  server.close()
})

test('a peer that closes without a preface is not framed', async () => {
  const { address, server } = await listenRaw((socket) => socket.end())
  assert.is((await failureOf(FramedConnection.connect(address, CLIENT_CODECS))).code, 'not_framed')
  server.close()
})

test('a port without a listener is a lost connection', async () => {
  const { address, server } = await listenRaw(() => {})
  await new Promise((resolve) => server.close(resolve))
  assert.is((await failureOf(FramedConnection.connect(address, CLIENT_CODECS))).code, 'connection_lost')
})

const ODD_FRAMES: Record<string, Buffer> = {
  'a length beyond the limit': Buffer.from([0xff, 0xff, 0xff, 0xff]),
  'bytes that are no message': Buffer.from([0, 0, 0, 2, 0xff, 0xff])
}

for (const [name, bytes] of Object.entries(ODD_FRAMES)) {
  // Guards against a process that ends because of what a peer sent.
  test(`${name} end that connection only`, async () => {
    const { address, server } = await listenRaw((socket) => socket.write(Buffer.concat([FRAMED_PREFACE, bytes])))
    assert.is((await failureOf(FramedConnection.connect(address, CLIENT_CODECS))).code, 'invalid_frame')
    server.close()
  })
}

// Guards against a process that ends because one of its own messages has a value that its field cannot hold.
test('a message that cannot be encoded ends that connection only', async () => {
  const { address, connections, close } = await listen()
  const client = FramedConnection.connect(address, CLIENT_CODECS)
  client.write(question(1))
  await until(() => connections.length === 1)
  const failures: Failure[] = []
  connections[0]?.on('error', (failure) => failures.push(failure))
  connections[0]?.write({ body: { $case: 'denial', value: { ticket: 1, reason: 1, retryAfterMilliseconds: 2 ** 33 } } })
  assert.equal(failures.map(({ code }) => code), ['invalid_message'])
  close()
})

// Guards against a last message that is lost, as one that is written after it resets the connection.
test('messages after the end are ignored', async () => {
  const { address, connections, close } = await listen()
  const client = FramedConnection.connect(address, CLIENT_CODECS)
  const replies: DispatchMessage[] = []
  const failures: Failure[] = []
  client.on('data', (message) => replies.push(message))
  const ended = new Promise<void>((resolve) => client.on('end', resolve))
  client.write(question(1))
  await until(() => connections.length === 1)
  connections[0]?.on('error', (failure) => failures.push(failure))
  connections[0]?.end(QUERY)
  connections[0]?.write(QUERY)
  await ended
  assert.equal({ replies, failures }, { replies: [QUERY], failures: [] })
  close()
})

// Guards against clients of the older version that are cut off in the middle of a response when a control VM stops.
test('a listener that closes leaves gRPC calls to the server that shuts them down', async () => {
  const { address, received, listener, grpc } = await listen()
  const client = new DispatchClient(address, CREDENTIALS.forChannel())
  const call = client.attend()
  let isEnded = false
  call.on('error', () => { isEnded = true })
  call.on('end', () => { isEnded = true })
  call.write(question(3))
  await until(() => received.length === 1)
  listener.close()
  call.write(question(4))
  await until(() => received.length === 2 || isEnded)
  assert.is(received.length, 2)
  call.cancel()
  client.close()
  grpc.forceShutdown()
})

test.run()

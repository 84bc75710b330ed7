/** Relays in processes of their own and of an earlier version, and requests that go through them. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { createInterface } from 'node:readline'
import { connectThroughRelay } from '@hickoryspoke/request/relay-client'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import { exchange, type UpstreamRequest } from '@hickoryspoke/request/upstream-exchange'
import type { BodySink } from '@hickoryspoke/request/upstream-response'
import { SystemClock } from '@hickoryspoke/runtime/clock'

const clock = SystemClock.create()
const neverAborted = new AbortController().signal

/** A relay that tests can end. */
export interface TestRelay {
  /** IP:PORT on which it listens. */
  readonly address: string
  /** Ends it; resolves once it is gone. */
  end (signal: NodeJS.Signals): Promise<void>
}

/** Result of one request: the body of a complete response, or the code of its failure, before or behind its head. */
export interface RelayedOutcome {
  readonly body?: string
  readonly failure?: string
}

/** Returns a loopback IP:PORT on which nothing listens. */
export async function freeAddress (): Promise<string> {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return `127.0.0.1:${port}`
}

/** Starts the relay of an entry for one upstream in a process of its own. */
export async function startRelayProcess (upstream: string): Promise<TestRelay> {
  const child = spawn(process.execPath, ['--import', 'tsx', new URL('relay-process.ts', import.meta.url).pathname, upstream], {
    stdio: ['ignore', 'pipe', 'inherit']
  })
  const [address] = await once(createInterface({ input: child.stdout }), 'line') as [string]
  return {
    address,
    end: async (signal) => {
      if (child.exitCode !== null || child.signalCode !== null) return
      const exited = once(child, 'exit')
      child.kill(signal)
      await exited
    }
  }
}

/** Starts a relay as earlier versions have it, which passes the bytes of the upstream on as they are. */
export async function startEarlierRelay (upstream: string): Promise<TestRelay> {
  const server = createHttpServer()
  const sockets = new Set<Socket>()
  server.on('connect', (_, entry: Socket) => {
    const [host = '', port] = upstream.split(':')
    const target = connect(Number(port), host)
    for (const socket of [entry, target]) sockets.add(socket.on('error', () => {}))
    entry.write('HTTP/1.1 200 Connection Established\r\n\r\n')
    entry.pipe(target)
    target.pipe(entry)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    end: async () => {
      for (const socket of sockets) socket.destroy()
      server.close()
      await once(server, 'close')
    }
  }
}

function sinkInto (chunks: Buffer[]): BodySink {
  const write = (chunk: Buffer): boolean => chunks.push(chunk) > 0
  return { write, whenReady: (task) => task() }
}

/** Sends one request to an upstream through a relay. */
export async function requestThroughRelay (relay: string, upstream: string, changes: Partial<UpstreamRequest> = {}): Promise<RelayedOutcome> {
  const connections = UpstreamConnections.create(clock, {}, { connect: async (target, signal) => await connectThroughRelay(relay, target, signal) })
  const request = {
    address: upstream, method: 'GET', path: '/', headers: ['host', 'a'], body: null, maximumIdleMilliseconds: 0, acceptsCloseDelimited: true, ...changes
  }
  const head = await exchange(clock, connections, request, neverAborted)
  const chunks: Buffer[] = []
  const whole = head.isOk() ? await head.value.pipeTo(sinkInto(chunks)) : head
  connections.close()
  return whole.isOk() ? { body: Buffer.concat(chunks).toString() } : { failure: whole.error.code }
}

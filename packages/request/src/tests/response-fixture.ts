import type { Socket } from 'node:net'
import { SystemClock, type Clock } from '@hickoryspoke/runtime/clock'
import { RawUpstream } from '@hickoryspoke/testing/raw-upstream'
import { DirectConnector } from '../connector.ts'
import { UpstreamConnections } from '../upstream-connections.ts'
import { exchange } from '../upstream-exchange.ts'
import type { UpstreamResponse } from '../upstream-response.ts'

/** Connections to upstreams, and the sockets that they have opened. */
export function connectionsWithSockets (clock: Clock): { readonly connections: UpstreamConnections, readonly sockets: readonly Socket[] } {
  const direct = DirectConnector.create(clock, 500)
  const sockets: Socket[] = []
  const connections = UpstreamConnections.create(clock, {}, {
    connect: async (target, signal) => {
      const opened = await direct.connect(target, signal)
      if (opened.isOk()) sockets.push(opened.value.socket)
      return opened
    }
  })
  return { connections, sockets }
}

/** Requests a response whose body is sent as it stands, and uses it together with the socket of its connection. */
export async function withChunkedResponse (encodedBody: string, use: (response: UpstreamResponse, socket: Socket) => Promise<void>): Promise<void> {
  const clock = SystemClock.create()
  const { connections, sockets } = connectionsWithSockets(clock)
  const upstream = await RawUpstream.create((socket) => socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${encodedBody}`))
  const request = { address: upstream.address, method: 'GET', path: '/', headers: ['host', 'a'], body: null, maximumIdleMilliseconds: 0 }
  try {
    const response = (await exchange(clock, connections, request, new AbortController().signal)).unwrap()
    await use(response, sockets[0] as Socket)
  } finally {
    connections.close()
    await upstream.close()
  }
}

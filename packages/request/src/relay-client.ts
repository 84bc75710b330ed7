/** Connects to an upstream through another entry, with an HTTP CONNECT request to its relay. */
import { request, type IncomingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'
import { splitAddress } from '@hickoryspoke/runtime/address'
import { Err, Ok } from 'ts-results-es'
import { ConnectFailure, type ConnectResult, type OpenConnection } from './connector.ts'
import { RELAY_FRAMES_HEADER, RELAY_FRAMES_VERSION } from './relay-frames.ts'
import { RelayedStream } from './relayed-stream.ts'

/** Status with which a relay states that it cannot, or must not, connect to the upstream either. */
export const UPSTREAM_UNREACHABLE_STATUS = 502
const CONNECTED_STATUS = 200

/**
 * Connects to `upstream` through `relay`, both IP:PORT. Fails with `upstream_unreachable` if the relay cannot reach the
 * upstream, and with `relay_unavailable` if it does not relay or cannot be reached itself.
 */
export function connectThroughRelay (relay: string, upstream: string, signal: AbortSignal): Promise<ConnectResult> {
  return new Promise((resolve) => {
    const { host, port } = splitAddress(relay)
    const outgoing = request({ host, port, method: 'CONNECT', path: upstream, agent: false, signal, headers: { [RELAY_FRAMES_HEADER]: RELAY_FRAMES_VERSION } })
    outgoing.on('connect', ({ statusCode, headers }, socket: Socket, head: Buffer) => {
      if (statusCode === CONNECTED_STATUS) return resolve(Ok(openedThrough(relay, prepare(socket, head), headers)))
      socket.destroy()
      resolve(Err(failureOf(statusCode, upstream)))
    })
    outgoing.on('response', (response) => {
      response.destroy()
      resolve(Err(failureOf(response.statusCode, upstream)))
    })
    outgoing.on('error', (error) => resolve(Err(ConnectFailure.create(signal.aborted ? 'connect_aborted' : 'relay_unavailable', error.message))))
    outgoing.end()
  })
}

/** A relay of an earlier version passes the bytes of the upstream on as they are. */
function openedThrough (relay: string, socket: Socket, headers: IncomingHttpHeaders): OpenConnection {
  if (headers[RELAY_FRAMES_HEADER] !== RELAY_FRAMES_VERSION) return { socket, relay }
  return { socket, relay, relayed: RelayedStream.create(socket) }
}

function failureOf (statusCode: number | undefined, upstream: string): ConnectFailure {
  if (statusCode === UPSTREAM_UNREACHABLE_STATUS) return ConnectFailure.create('upstream_unreachable', `the relay could not connect to ${upstream}`)
  return ConnectFailure.create('relay_unavailable', `the relay answered ${statusCode ?? 'nothing'}`)
}

function prepare (socket: Socket, head: Buffer): Socket {
  socket.setNoDelay(true)
  if (head.length > 0) socket.unshift(head)
  return socket
}

/** Opens the TCP connections to upstreams. */
import { connect, type Socket } from 'node:net'
import { isPort, splitAddress } from '@hickoryspoke/runtime/address'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'
import type { RelayedStream } from './relayed-stream.ts'

/** Why a connection could not be made. */
export type ConnectFailureCode =
  'connect_refused' | 'connect_timeout' | 'connect_aborted' | 'too_many_connections' |
  /** A relay could not connect to the upstream. */
  'upstream_unreachable' |
  /** A relay could not be reached, or does not relay now. */
  'relay_unavailable' |
  /** This VM's own network seems to have failed, and no relay works. */
  'cut_off'

/** No connection could be acquired, so nothing was sent. */
export class ConnectFailure extends Failure {
  private constructor (readonly code: ConnectFailureCode, message: string) {
    super(message)
  }

  static create (code: ConnectFailureCode, message: string): ConnectFailure {
    return new ConnectFailure(code, message)
  }
}

/** A connection to an upstream. */
export interface OpenConnection {
  /** The TCP connection, to the upstream or to the relay. */
  readonly socket: Socket
  /** IP:PORT of the entry through which it goes; empty if it goes over this VM's own network. */
  readonly relay: string
  /** What carries requests and responses, where a relay tells how the upstream ends; by default the socket. */
  readonly relayed?: RelayedStream
}

/** Result of an attempt to connect. */
export type ConnectResult = Result<OpenConnection, ConnectFailure>

/** Connects to an IP:PORT. The signal aborts the attempt. `mayRelayThrough` tells which other entries may be used, by default all. */
export interface Connector {
  connect (address: string, signal: AbortSignal, mayRelayThrough?: (relay: string) => boolean): Promise<ConnectResult>
}

/** Connects over this VM's own network. */
export class DirectConnector implements Connector {
  private constructor (private readonly clock: Clock, private readonly timeoutMilliseconds: number) {}

  static create (clock: Clock, timeoutMilliseconds: number): DirectConnector {
    return new DirectConnector(clock, timeoutMilliseconds)
  }

  connect (address: string, signal: AbortSignal): Promise<ConnectResult> {
    if (signal.aborted) return Promise.resolve(Err(abortedFailure()))
    const { host, port } = splitAddress(address)
    if (!isPort(port)) return Promise.resolve(Err(ConnectFailure.create('connect_refused', 'the address has no possible port')))
    return new Promise((resolve) => {
      const socket = connect({ host: host.replace(/^\[|\]$/g, ''), port, noDelay: true })
      const finish = (result: ConnectResult): void => {
        timer.cancel()
        signal.removeEventListener('abort', abort)
        socket.removeAllListeners('connect')
        socket.removeAllListeners('error')
        if (result.isErr()) socket.on('error', () => {}).destroy()
        resolve(result)
      }
      const abort = (): void => finish(Err(abortedFailure()))
      const expire = (): void => finish(Err(ConnectFailure.create('connect_timeout', 'the connection attempt timed out')))
      const timer = this.clock.schedule(this.timeoutMilliseconds, expire)
      signal.addEventListener('abort', abort, { once: true })
      socket.once('connect', () => finish(Ok({ socket, relay: '' })))
      socket.once('error', (error) => finish(Err(ConnectFailure.create('connect_refused', error.message))))
    })
  }
}

function abortedFailure (): ConnectFailure {
  return ConnectFailure.create('connect_aborted', 'the connection attempt was aborted')
}

/**
 * Whether a connection whose end was read was reset rather than closed in order. A reset that arrives together with the
 * last bytes is reported as an end of file; in that case the operating system no longer knows the peer address, whereas
 * it still does after an orderly close. Call this only once for a socket: Node caches a peer address that it found.
 */
export function endedByReset (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

/** One connection to an upstream, over this VM's own network or through a relay. */
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { Failure } from '@hickoryspoke/runtime/failure'
import { hashName } from '@hickoryspoke/runtime/hashing'
import { endedByReset, type OpenConnection } from './connector.ts'
import type { KeepingSettings } from './kept-connections.ts'
import type { RelayedStream } from './relayed-stream.ts'
import { ResponseProgress } from './response-progress.ts'
import { Client } from './undici-client.ts'

/** Timeouts and limits of the connections of one entry. */
export interface ConnectionSettings {
  readonly connectTimeoutMilliseconds: number
  readonly maximumPerUpstream: number
  /** Connections to all upstreams together, so that descriptors are left for everything else. */
  readonly maximumInTotal: number
  readonly idleMilliseconds: number
  readonly maximumAnswerHeaderBytes: number
  /** Keeps connections only for as long as upstreams state. Without it, each is kept for `idleMilliseconds`. */
  readonly keeping?: KeepingSettings
}

export const DEFAULT_CONNECTION_SETTINGS: ConnectionSettings = {
  connectTimeoutMilliseconds: 500,
  maximumPerUpstream: 64,
  maximumInTotal: 1_536,
  idleMilliseconds: 4000,
  maximumAnswerHeaderBytes: 32_768
}

/** The only socket of an undici client has closed, so the client cannot connect. Nothing was sent. */
export class ConnectionGone extends Failure {
  readonly code = 'connection_gone'

  static create (): ConnectionGone {
    return new ConnectionGone('the connection was closed before the request was sent')
  }
}

/** This entry closed the connection. A response that was being received is not complete. */
export class ConnectionClosed extends Failure {
  readonly code = 'connection_closed'

  static create (): ConnectionClosed {
    return new ConnectionClosed('the connection was closed by this entry')
  }
}

/** Requests that one connection carries, where they have identifiers. */
const MAXIMUM_CARRIED = 1_024
const UNIDENTIFIED = hashName('')
const RESET_ERROR_CODE = 'ECONNRESET'
const HANDLED_RESET_CODE = 'connection_reset'

/** One TCP connection to an upstream. It carries one request at a time and is never reopened. */
export class UpstreamConnection {
  openedAtMilliseconds = 0
  idleSinceMilliseconds = 0
  /** How long the upstream said that it keeps the connection; 0 if it did not. */
  statedKeepAliveMilliseconds = 0
  /** Whether an earlier request used it. */
  isReused = false
  /** The connection was closed by this entry rather than by the upstream. */
  isClosedLocally = false
  /** Called at the end of the upstream's side, before undici learns of it. */
  beforeEnd: () => void = () => {}
  /** Hashes of the identifiers of the requests that it carried. */
  private readonly carried = new Set<number>()
  private hasSocketError = false
  readonly relay: string
  private readonly socket: Socket
  private readonly relayed: RelayedStream | undefined
  /** What carries requests and responses. */
  private readonly stream: Duplex

  private constructor (readonly address: string, readonly client: Client, { socket, relay, relayed }: OpenConnection) {
    this.relay = relay
    this.socket = socket
    this.relayed = relayed
    this.stream = relayed ?? socket
    readInParts(this.stream)
    this.stream.on('error', (error: NodeJS.ErrnoException) => {
      this.hasSocketError = true
      // undici takes a connection reset for a possible end of the response, and its parser must not be paused then.
      if (error.code === RESET_ERROR_CODE) error.code = HANDLED_RESET_CODE
    })
    this.stream.on('end', () => this.beforeEnd())
  }

  /** Whether the end of the connection tells whether the upstream has ended. A relay of an earlier version does not pass that on. */
  get tellsUpstreamEnd (): boolean {
    return this.relay === '' || this.relayed !== undefined
  }

  /** Whether the upstream itself closed the connection in order. Read this only once, at the end of a response. */
  get endedInOrder (): boolean {
    if (this.hasSocketError || !this.tellsUpstreamEnd) return false
    return this.relayed?.hasUpstreamEnded ?? !endedByReset(this.socket)
  }

  /** Sends the requests to the upstream at `address` over an open connection. */
  static create (address: string, opened: OpenConnection, settings: ConnectionSettings): UpstreamConnection {
    // The client uses only what any stream has.
    const stream = (opened.relayed ?? opened.socket) as Socket
    let isSocketUsed = false
    const client = new Client(`http://${address}`, {
      connect: (_, callback) => {
        const isFirst = !isSocketUsed
        isSocketUsed = true
        queueMicrotask(() => isFirst ? callback(null, stream) : callback(ConnectionGone.create(), null))
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: settings.idleMilliseconds,
      keepAliveMaxTimeout: settings.idleMilliseconds,
      ...(settings.keeping === undefined ? {} : { keepAliveTimeoutThreshold: settings.keeping.marginMilliseconds }),
      maxHeaderSize: settings.maximumAnswerHeaderBytes
    })
    return new UpstreamConnection(address, client, opened)
  }

  get isOpen (): boolean {
    return !this.stream.destroyed && this.stream.writable && !this.client.destroyed
  }

  /** Records a request that is sent on the connection. */
  carry (requestId: string | undefined): void {
    if (requestId !== undefined) this.carried.add(hashName(requestId))
  }

  /**
   * Whether a second copy of an earlier response on this connection could be taken for the one to this request: if the request has no identifier,
   * or that of an earlier one.
   */
  mayConfuse (requestId: string | undefined): boolean {
    return requestId === '' || (requestId !== undefined && this.carried.has(hashName(requestId)))
  }

  /** Whether it has carried as many requests as it remembers, or one whose response has no identifier. */
  get isWornOut (): boolean {
    return this.carried.size >= MAXIMUM_CARRIED || this.carried.has(UNIDENTIFIED)
  }

  /** Watches the response to a request; calls back if too much arrives without the response getting further. */
  watchProgress (onExceeded: () => void): ResponseProgress {
    return ResponseProgress.watch(this.stream, () => this.socket.bytesRead, onExceeded)
  }

  /** Calls back once the connection is closed and everything that had arrived was read. */
  onClosed (task: () => void): void {
    this.stream.once('close', task)
  }

  /** Bytes read from the socket so far. */
  get bytesRead (): number {
    return this.socket.bytesRead
  }

  /** Bytes written to the socket so far. */
  get bytesWritten (): number {
    return this.socket.bytesWritten
  }

  /** Closes the connection immediately. A request in progress on it fails. */
  destroy (): void {
    if (!this.stream.destroyed) this.isClosedLocally = true
    // Without an error, undici takes the close for a possible end of the response, and its parser must not be paused then.
    this.stream.destroy(ConnectionClosed.create())
    this.client.destroy().catch(() => {})
  }
}

/**
 * undici takes everything that its stream holds, and gives back what it has not parsed when it is paused. In between the stream holds nothing, so
 * it reads more from the network, and what waits would grow with each pause. What was given back is therefore taken in parts that leave something.
 */
function readInParts (stream: Duplex): void {
  const read = stream.read.bind(stream)
  const unshift = stream.unshift.bind(stream)
  let givenBackBytes = 0
  stream.unshift = (chunk: Buffer) => {
    givenBackBytes += chunk.length
    unshift(chunk)
  }
  stream.read = (bytes) => {
    if (bytes !== undefined || givenBackBytes === 0) return read(bytes)
    const part = read(Math.min(givenBackBytes, stream.readableHighWaterMark)) as Buffer | null
    givenBackBytes -= part?.length ?? 0
    return part
  }
}

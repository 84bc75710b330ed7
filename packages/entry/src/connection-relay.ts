/** Connects other entries, which have lost their own links, to upstreams. */
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { endedByReset, type Connector } from '@hickoryspoke/request/connector'
import { UPSTREAM_UNREACHABLE_STATUS } from '@hickoryspoke/request/relay-client'
import { encodeFrame, END_FRAME, RELAY_FRAMES_HEADER, RELAY_FRAMES_VERSION } from '@hickoryspoke/request/relay-frames'
import { splitAddress } from '@hickoryspoke/runtime/address'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import { JoinedWriter, type JoinedOutput } from '@hickoryspoke/runtime/joined-writer'
import { EVERY_HEADER } from '@hickoryspoke/runtime/request-head'
import type { Logger } from '@hickoryspoke/telemetry/logger'

/** Dependencies of a `ConnectionRelay`. */
export interface ConnectionRelayOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly connector: Connector
  /** Whether an upstream announced this IP:PORT; other destinations are refused. */
  readonly isUpstream: (address: string) => boolean
  /** Whether the upstream at this IP:PORT told this entry that it wants no requests. */
  readonly isUnwanted: (address: string) => boolean
  /** Whether this entry reaches upstreams itself. */
  readonly isReaching: () => boolean
  /** Connections of other entries; by default any number. */
  readonly maximumConnections?: number
}

const FORBIDDEN_STATUS = 403
const UNAVAILABLE_STATUS = 503
const DRAIN_CHECK_MILLISECONDS = 20

/** HTTP server that answers CONNECT requests for upstreams. */
export class ConnectionRelay {
  private readonly server: Server
  /** Sockets of the entries whose connections are relayed. */
  private readonly relayed = new Set<Socket>()
  private isDraining = false

  private constructor (private readonly options: ConnectionRelayOptions) {
    this.server = createServer((_, response) => { response.writeHead(404).end() })
    this.server.maxHeadersCount = EVERY_HEADER
    if (options.maximumConnections !== undefined) this.server.maxConnections = options.maximumConnections
    this.server.on('connect', (request: IncomingMessage, socket: Duplex) => { void this.accept(request, socket as Socket) })
  }

  static create (options: ConnectionRelayOptions): ConnectionRelay {
    return new ConnectionRelay(options)
  }

  /** Listens on an IP:PORT. If the port cannot be bound, logs the error, and this entry does not relay. */
  listen (address: string): void {
    const { host, port } = splitAddress(address)
    this.server.on('error', (error) => {
      this.isDraining = true
      this.options.logger.error('relay server failed', { address, reason: describeError(error) })
    })
    this.server.listen(port, host)
  }

  /** Whether connections are relayed now. */
  get isAvailable (): boolean {
    return this.server.listening && !this.isDraining && this.options.isReaching()
  }

  /** Number of relayed connections. */
  get connections (): number {
    return this.relayed.size
  }

  /** Accepts no more connections, and waits until the relayed ones have ended or the time is up. */
  async drain (limitMilliseconds: number): Promise<void> {
    const { clock } = this.options
    this.isDraining = true
    const until = clock.monotonicMilliseconds() + limitMilliseconds
    while (this.relayed.size > 0 && clock.monotonicMilliseconds() < until) await sleep(clock, DRAIN_CHECK_MILLISECONDS)
  }

  /** Ends all relayed connections with a reset, so that no response that is cut off looks complete. */
  close (): void {
    for (const socket of this.relayed) closeAtOnce(socket)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Status with which a connection to an address is refused now; undefined if it may be used. */
  private refusalOf (address: string): number | undefined {
    if (!this.options.isUpstream(address)) return FORBIDDEN_STATUS
    if (!this.isAvailable) return UNAVAILABLE_STATUS
    return this.options.isUnwanted(address) ? UPSTREAM_UNREACHABLE_STATUS : undefined
  }

  private async accept ({ url: address = '', headers }: IncomingMessage, socket: Socket): Promise<void> {
    socket.on('error', () => {})
    const refusal = this.refusalOf(address)
    if (refusal !== undefined) return refuse(socket, refusal)
    const aborted = new AbortController()
    const abort = (): void => aborted.abort()
    socket.once('end', abort).once('close', abort)
    const opened = await this.options.connector.connect(address, aborted.signal)
    socket.off('end', abort).off('close', abort)
    if (opened.isErr()) return refuse(socket, UPSTREAM_UNREACHABLE_STATUS)
    if (aborted.signal.aborted) {
      opened.value.socket.destroy()
      socket.destroy()
      return
    }
    // Connecting takes time, in which the upstream may have left, or this entry begun to stop.
    const refusalSince = this.refusalOf(address)
    if (refusalSince !== undefined) {
      opened.value.socket.destroy()
      return refuse(socket, refusalSince)
    }
    this.relayed.add(socket)
    socket.once('close', () => this.relayed.delete(socket))
    const isFramed = headers[RELAY_FRAMES_HEADER] === RELAY_FRAMES_VERSION
    socket.write(`HTTP/1.1 200 Connection Established\r\n${isFramed ? `${RELAY_FRAMES_HEADER}: ${RELAY_FRAMES_VERSION}\r\n` : ''}\r\n`)
    join(socket, opened.value.socket, isFramed)
  }
}

/** Resets a connection. One that is being ended in order cannot be reset: Node.js would report an error and keep its descriptor. */
function closeAtOnce (socket: Socket): void {
  if (socket.writableEnded && !socket.writableFinished) socket.destroy()
  else socket.resetAndDestroy()
}

function refuse (socket: Duplex, status: number): void {
  socket.end(`HTTP/1.1 ${status} Not relayed\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
}

/** Writes to the other entry in frames. */
function framedOutput (entry: Socket): JoinedOutput {
  return {
    get writableNeedDrain () { return entry.writableNeedDrain },
    get writableHighWaterMark () { return entry.writableHighWaterMark },
    get destroyed () { return entry.destroyed },
    write: (chunk, written) => {
      const [length, piece] = encodeFrame(chunk)
      entry.cork()
      entry.write(length)
      const isReady = entry.write(piece, written)
      entry.uncork()
      return isReady
    }
  }
}

/** One direction of a relayed connection. */
interface Passage {
  /** Passes on everything that was read. */
  readonly flush: () => void
  /** What is read from now on is discarded. */
  readonly discard: () => void
}

/** Passes on what is read from `source` as fast as `destination` takes it; small pieces that wait are joined. */
function passOn (source: Socket, destination: Socket, output: JoinedOutput = destination): Passage {
  const readOn = (): void => { if (!writer.needsDrain) source.resume() }
  const writer = JoinedWriter.create(output, readOn)
  const forward = (chunk: Buffer): void => { if (!writer.write(chunk)) source.pause() }
  destination.on('drain', readOn)
  source.on('data', forward)
  return {
    flush: () => writer.flush(),
    discard: () => {
      source.off('data', forward)
      writer.discard()
      source.resume()
    }
  }
}

/**
 * Passes bytes on in both directions, and a reset of the upstream too, so that a response that was cut off is not taken
 * for a complete one. Once the upstream has closed in order, the other entry is told so, and the rest of the request
 * is read and discarded, so that the response reaches the other entry and its close is seen.
 */
function join (entry: Socket, upstream: Socket, isFramed: boolean): void {
  let isUpstreamEnded = false
  const requests = passOn(entry, upstream)
  const responses = passOn(upstream, entry, isFramed ? framedOutput(entry) : entry)
  upstream.on('end', () => {
    isUpstreamEnded = true
    if (endedByReset(upstream)) return entry.resetAndDestroy()
    requests.discard()
    responses.flush()
    return isFramed ? entry.end(END_FRAME) : entry.end()
  })
  upstream.on('error', () => { if (!isUpstreamEnded) entry.resetAndDestroy() })
  upstream.on('close', () => { if (!isUpstreamEnded) entry.resetAndDestroy() })
  entry.on('end', () => upstream.destroy())
  entry.on('close', () => upstream.destroy())
}

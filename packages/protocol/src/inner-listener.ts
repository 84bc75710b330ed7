/** Listens on one port for gRPC and for framed connections, told apart by the first bytes that a client sends. */
import { createServer, type Server as SocketServer, type Socket } from 'node:net'
import type { Server as GrpcServer } from '@grpc/grpc-js'
import { splitAddress } from '@hickoryspoke/runtime/address'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { Err, Ok, type Result } from 'ts-results-es'
import { FRAMED_PREFACE } from './framed-connection.ts'
import { AddressNotBound, isLoopback, PlainTextOutsideLoopback, type InnerCredentials } from './inner-credentials.ts'

/** What an `InnerListener` needs. */
export interface InnerListenerOptions {
  readonly credentials: InnerCredentials
  readonly grpc: GrpcServer
  readonly logger: Logger
  /** Called with a socket whose client sent the preface of framed connections, which was answered. */
  readonly framed: (socket: Socket) => void
}

/** A client must send its first bytes within this time. */
const PREFACE_TIMEOUT_MILLISECONDS = 5_000

/** The listening port of a process. With mutual TLS it serves gRPC only. */
export class InnerListener {
  /** Framed connections, and those whose client has not yet shown what it speaks. */
  private readonly sockets = new Set<Socket>()
  private server: SocketServer | undefined
  private readonly injectGrpc: (socket: Socket) => void

  private constructor (private readonly options: InnerListenerOptions) {
    const injector = options.grpc.createConnectionInjector(options.credentials.forServer())
    this.injectGrpc = (socket) => injector.injectConnection(socket)
  }

  static create (options: InnerListenerOptions): InnerListener {
    return new InnerListener(options)
  }

  /** Listens on IP:PORT and resolves with the bound port. */
  async listen (address: string): Promise<Result<number, PlainTextOutsideLoopback | AddressNotBound>> {
    const { credentials, grpc } = this.options
    if (credentials.security.kind === 'mutual_tls') return await credentials.bind(grpc, address)
    if (credentials.security.kind === 'plain_text' && !isLoopback(address)) return Err(PlainTextOutsideLoopback.create(address))
    const server = createServer({ noDelay: true }, (socket) => this.accept(socket))
    this.server = server
    const { host, port } = splitAddress(address)
    return await new Promise((resolve) => {
      // After it listens, an error concerns one connection that could not be accepted, and its client tries again.
      server.on('error', (error) => {
        this.options.logger.warn('connection not accepted', { reason: error.message })
        resolve(Err(AddressNotBound.create(address, error.message)))
      })
      server.listen(port, host, () => {
        const bound = server.address()
        resolve(Ok(bound === null || typeof bound === 'string' ? port : bound.port))
      })
    })
  }

  /** Accepts no more connections and closes the framed ones; the gRPC server is shut down by its owner. */
  close (): void {
    this.server?.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private accept (socket: Socket): void {
    this.sockets.add(socket)
    const giveUp = (): void => { socket.destroy() }
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('error', giveUp)
    socket.setTimeout(PREFACE_TIMEOUT_MILLISECONDS, giveUp)
    let first: Buffer = Buffer.alloc(0)
    const readFirst = (): void => {
      const bytes = socket.read() as Buffer | null
      if (bytes === null) return giveUp()
      first = Buffer.concat([first, bytes])
      if (isPartOfPreface(first)) {
        socket.once('readable', readFirst)
        return
      }
      socket.setTimeout(0)
      socket.off('timeout', giveUp)
      this.handOver(socket, first)
    }
    socket.once('readable', readFirst)
  }

  /** Hands a connection over by its first bytes, which are put back for gRPC. */
  private handOver (socket: Socket, first: Buffer): void {
    if (!first.subarray(0, FRAMED_PREFACE.length).equals(FRAMED_PREFACE)) {
      socket.unshift(first)
      this.sockets.delete(socket)
      return this.injectGrpc(socket)
    }
    const rest = first.subarray(FRAMED_PREFACE.length)
    if (rest.length > 0) socket.unshift(rest)
    socket.write(FRAMED_PREFACE)
    this.options.framed(socket)
  }
}

/** Whether more bytes are needed to tell what the client speaks. */
function isPartOfPreface (bytes: Buffer): boolean {
  return bytes.length < FRAMED_PREFACE.length && FRAMED_PREFACE.subarray(0, bytes.length).equals(bytes)
}

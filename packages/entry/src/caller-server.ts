import { createServer, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https'
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net'
import type { ClientLimiter } from '@hickoryspoke/runtime/client-limiter'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { sleep } from '@hickoryspoke/runtime/clock'
import { Failure } from '@hickoryspoke/runtime/failure'
import { JoinedRequest } from '@hickoryspoke/runtime/joined-request'
import { EVERY_HEADER } from '@hickoryspoke/runtime/request-head'
import { relayRefusal } from '@hickoryspoke/request/response-relay'
import { Refusal, type RefusalCode } from '@hickoryspoke/request/refusal'
import type { CallerExchange } from '@hickoryspoke/request/caller-exchange'
import type { DrainReport } from '@hickoryspoke/request/request-lifecycle'
import polka from 'polka'
import { Err, Ok, type Result } from 'ts-results-es'
import { CallerConnection } from './caller-connection.ts'
import { createCallerLimiter } from './caller-limits.ts'
import { NO_REQUEST_ID } from './caller-raw-refusal.ts'
import { NodeExchange } from './caller-node-exchange.ts'
import { checkRequestHead, endsInput } from './caller-request-check.ts'
import { DEFAULT_CALLER_LIMITS, type CallerLimits, type CallerTls } from './caller-settings.ts'

/** The caller server could not listen on its address. */
export class ListenFailure extends Failure {
  readonly code = 'listen_failed'

  static create (message: string): ListenFailure {
    return new ListenFailure(message)
  }
}

/** Handles the requests of the caller server. */
export interface ExchangeRunner {
  run (exchange: CallerExchange): Promise<void>
  /** Announces that requests in flight are cut off after this time. */
  announceStop (cutMilliseconds: number): void
  drain (limitMilliseconds: number): Promise<DrainReport>
}

/** Options of a `CallerServer`. Port 0 selects a free port. */
export interface CallerServerOptions {
  readonly clock: Clock
  readonly runner: ExchangeRunner
  readonly host: string
  readonly port: number
  readonly limits?: Partial<CallerLimits>
  /** By default the limits of the smallest machines. */
  readonly limiter?: ClientLimiter
  readonly tls?: CallerTls
}

/** Result of a stop of the caller server. */
export interface CallerStopReport extends DrainReport {
  /** Connections that had to be closed while responses were being sent, or before their callers had closed their side. */
  readonly unconfirmed: number
}

/** Phases of a graceful stop in milliseconds: how long new requests are still served, then how long requests in flight may take. */
export interface DrainTimes {
  readonly announceMilliseconds: number
  readonly finishMilliseconds: number
}

/** Which characters of a target the parser itself refuses depends on the version of Node.js; the caller is told the same for all. */
const REFUSAL_BY_PARSER_ERROR: Readonly<Record<string, RefusalCode>> = {
  HPE_INVALID_URL: 'bad_target',
  HPE_HEADER_OVERFLOW: 'headers_too_large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request_timeout'
}

const SENT_CHECK_MILLISECONDS = 10
/** Time in which what has arrived is read. */
const READ_MILLISECONDS = 10

type CallerNodeServer = Server<typeof JoinedRequest> | TlsServer<typeof JoinedRequest>

/** HTTP or HTTPS server for callers. */
export class CallerServer {
  private readonly server: CallerNodeServer
  private readonly connections = new Map<Socket, CallerConnection>()
  private limits: CallerLimits
  private readonly limiter: ClientLimiter
  private isDraining = false

  private constructor (private readonly options: CallerServerOptions) {
    this.limiter = options.limiter ?? createCallerLimiter(options.clock)
    this.limits = { ...DEFAULT_CALLER_LIMITS, ...options.limits }
    this.server = createNodeServer(this.limits, options.tls)
    this.server.maxHeadersCount = EVERY_HEADER
    const application = polka({ server: this.server as unknown as Server })
    application.use((request, response) => { this.serve(request as unknown as JoinedRequest, response as unknown as ServerResponse, false) })
    this.server.on('request', application.handler as unknown as (request: JoinedRequest, response: ServerResponse) => void)
    this.server.on('checkContinue', (request: JoinedRequest, response: ServerResponse) => { this.serve(request, response, true) })
    this.server.on('checkExpectation', (request: JoinedRequest, response: ServerResponse) => {
      this.refuse(request, response, Refusal.create('expectation_failed'))
    })
    // Without a listener to `upgrade`, Node.js passes on requests that offer another protocol like all others.
    this.server.on('connect', (_, socket) => this.connectionOf(socket as Socket).fail(Refusal.create('tunnel_not_supported')))
    this.server.on(options.tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => this.admit(socket))
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.handleClientError(error, socket as Socket))
  }

  static create (options: CallerServerOptions): CallerServer {
    return new CallerServer(options)
  }

  /** Starts to listen. Resolves with the port. */
  listen (): Promise<Result<number, ListenFailure>> {
    return new Promise((resolve) => {
      const fail = (error: Error): void => resolve(Err(ListenFailure.create(error.message)))
      this.server.once('error', fail)
      this.server.listen(this.options.port, this.options.host, () => {
        this.server.off('error', fail)
        resolve(Ok((this.server.address() as AddressInfo).port))
      })
    })
  }

  /** Changes limits for requests that arrive from now on. */
  updateLimits (limits: Partial<CallerLimits>): void {
    this.limits = { ...this.limits, ...limits }
    Object.assign(this.server, { maxHeaderSize: this.limits.maximumHeaderBytes })
    this.server.headersTimeout = this.limits.headersTimeoutMilliseconds
    this.server.keepAliveTimeout = this.limits.idleTimeoutMilliseconds
  }

  /** Uses a renewed certificate for new connections. */
  renewTls (tls: CallerTls): void {
    if ('setSecureContext' in this.server) this.server.setSecureContext({ cert: tls.certificate, key: tls.key })
  }

  /**
   * Stops gracefully. At first requests are still served, but each response closes its connection. Then no more
   * connections are accepted, and requests in flight finish or are cut off when the time is up.
   */
  async drain (times: DrainTimes): Promise<CallerStopReport> {
    const { clock, runner } = this.options
    const stopMilliseconds = times.announceMilliseconds + times.finishMilliseconds
    const end = clock.monotonicMilliseconds() + stopMilliseconds
    this.isDraining = true
    runner.announceStop(stopMilliseconds)
    await sleep(clock, times.announceMilliseconds)
    // After a time in which the process did not run, timers run before connections are accepted and requests are read.
    await sleep(clock, READ_MILLISECONDS)
    this.stopListening()
    for (const connection of this.connections.values()) connection.closeWhenIdle()
    const report = await runner.drain(Math.max(0, end - clock.monotonicMilliseconds()))
    await this.waitUntilSent(end)
    const unconfirmed = this.busyConnections
    this.close()
    return { ...report, unconfirmed }
  }

  /** Closes immediately. Requests in flight are lost. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Stops listening. The `close` of the HTTP server would also close connections whose last response is still being sent. */
  private stopListening (): void {
    NetServer.prototype.close.call(this.server)
  }

  /** Waits until callers have received all responses, or until a monotonic time. */
  private async waitUntilSent (end: number): Promise<void> {
    const { clock } = this.options
    while (this.busyConnections > 0 && clock.monotonicMilliseconds() < end) await sleep(clock, SENT_CHECK_MILLISECONDS)
  }

  private get busyConnections (): number {
    return [...this.connections.values()].filter((connection) => !connection.isIdle).length
  }

  /** Nothing has been read from a connection that is refused, so nothing of it runs. */
  private admit (socket: Socket): void {
    if (this.limiter.admitConnection()) this.connectionOf(socket)
    else socket.destroy()
  }

  private connectionOf (socket: Socket): CallerConnection {
    const known = this.connections.get(socket)
    if (known !== undefined) return known
    const connection = CallerConnection.create(socket, {
      clock: this.options.clock, isDraining: () => this.isDraining, limiter: this.limiter, limits: () => this.limits
    })
    this.connections.set(socket, connection)
    socket.once('close', () => this.connections.delete(socket))
    return connection
  }

  private serve (request: JoinedRequest, response: ServerResponse, expectsContinue: boolean): void {
    const refusal = checkRequestHead(request, this.limits.maximumHeaderBytes)
    if (refusal !== undefined) {
      this.refuse(request, response, refusal)
      return
    }
    const exchange = this.accept(request, response, expectsContinue, endsInput(request))
    if (exchange !== undefined) this.options.runner.run(exchange).catch(() => exchange.answer.abort())
  }

  private refuse (request: JoinedRequest, response: ServerResponse, refusal: Refusal): void {
    const exchange = this.accept(request, response, false, true)
    if (exchange !== undefined) relayRefusal(exchange, refusal, NO_REQUEST_ID)
  }

  /** Adds a request to its connection; undefined if the connection closes in front of it. `isLast` tells whether nothing is read behind it. */
  private accept (request: JoinedRequest, response: ServerResponse, expectsContinue: boolean, isLast: boolean): NodeExchange | undefined {
    const connection = this.connectionOf(request.socket)
    if (connection.isClosing) {
      request.resume()
      return undefined
    }
    const exchange = NodeExchange.create(request, response, {
      clock: this.options.clock,
      limits: this.limits,
      limiter: this.limiter,
      expectsContinue,
      isLast,
      closesConnection: (begun) => connection.closesBehind(begun)
    })
    connection.add(exchange)
    return exchange
  }

  /** Handles input that is not valid HTTP. */
  private handleClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    this.connectionOf(socket).fail(Refusal.create(REFUSAL_BY_PARSER_ERROR[error.code ?? ''] ?? 'bad_request'))
  }
}

function createNodeServer (limits: CallerLimits, tls: CallerTls | undefined): CallerNodeServer {
  const options = {
    maxHeaderSize: limits.maximumHeaderBytes,
    headersTimeout: limits.headersTimeoutMilliseconds,
    requestTimeout: limits.requestTimeoutMilliseconds,
    keepAliveTimeout: limits.idleTimeoutMilliseconds,
    connectionsCheckingInterval: limits.timeoutCheckMilliseconds,
    requireHostHeader: false,
    IncomingMessage: JoinedRequest,
    noDelay: true
  }
  if (tls === undefined) return createServer(options)
  return createTlsServer({ ...options, cert: tls.certificate, key: tls.key })
}

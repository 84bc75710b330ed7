import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { sleep } from '@hickoryspoke/runtime/clock'
import { Failure } from '@hickoryspoke/runtime/failure'
import { relayRefusal } from '@hickoryspoke/request/response-relay'
import { Refusal, type RefusalCode } from '@hickoryspoke/request/refusal'
import type { CallerExchange } from '@hickoryspoke/request/caller-exchange'
import type { DrainReport } from '@hickoryspoke/request/request-lifecycle'
import polka from 'polka'
import { Err, Ok, type Result } from 'ts-results-es'
import { NodeExchange } from './caller-node-exchange.ts'
import { NO_REQUEST, refuseOnSocket } from './caller-raw-refusal.ts'
import { checkRequestHead } from './caller-request-check.ts'
import { DEFAULT_CALLER_LIMITS, type CallerLimits, type CallerTls } from './caller-settings.ts'

/** The caller edge could not take its address. */
export class ListenFailure extends Failure {
  readonly code = 'listen_failed'

  static create (message: string): ListenFailure {
    return new ListenFailure(message)
  }
}

/** Runs the requests of the edge. */
export interface ExchangeRunner {
  run (exchange: CallerExchange): Promise<void>
  drain (limitMilliseconds: number): Promise<DrainReport>
}

/** Where and how callers are served. Port 0 takes a free one. */
export interface CallerServerParts {
  readonly clock: Clock
  readonly runner: ExchangeRunner
  readonly host: string
  readonly port: number
  readonly limits?: Partial<CallerLimits>
  readonly tls?: CallerTls
}

/** Times of a graceful stop in milliseconds: first still serving, then finishing what is in flight. */
export interface DrainTimes {
  readonly announceMilliseconds: number
  readonly finishMilliseconds: number
}

const PARSER_REFUSALS: Readonly<Record<string, RefusalCode>> = {
  HPE_HEADER_OVERFLOW: 'headers_too_large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request_timeout'
}

/** The HTTP server towards callers. */
export class CallerServer {
  private readonly server: Server | TlsServer
  private readonly exchanges = new Map<Socket, Set<NodeExchange>>()
  private limits: CallerLimits
  private isDraining = false

  private constructor (private readonly parts: CallerServerParts) {
    this.limits = { ...DEFAULT_CALLER_LIMITS, ...parts.limits }
    this.server = createNodeServer(this.limits, parts.tls)
    this.server.maxHeadersCount = this.limits.maximumHeaderCount
    const application = polka({ server: this.server as Server })
    application.use((request, response) => { this.serve(request, response as unknown as ServerResponse, false) })
    this.server.on('request', application.handler as (request: IncomingMessage, response: ServerResponse) => void)
    this.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => { this.serve(request, response, true) })
    this.server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
      this.refuse(request, response, Refusal.create('expectation_failed'))
    })
    this.server.on('upgrade', (_, socket) => refuseOnSocket(socket, Refusal.create('upgrade_not_supported')))
    this.server.on('connect', (_, socket) => refuseOnSocket(socket, Refusal.create('tunnel_not_supported')))
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.refuseInput(error, socket as Socket))
  }

  static create (parts: CallerServerParts): CallerServer {
    return new CallerServer(parts)
  }

  /** Starts to listen; gives the port. */
  listen (): Promise<Result<number, ListenFailure>> {
    return new Promise((resolve) => {
      const fail = (error: Error): void => resolve(Err(ListenFailure.create(error.message)))
      this.server.once('error', fail)
      this.server.listen(this.parts.port, this.parts.host, () => {
        this.server.off('error', fail)
        resolve(Ok((this.server.address() as AddressInfo).port))
      })
    })
  }

  /** Puts other limits in force for what arrives from now on. */
  setLimits (limits: Partial<CallerLimits>): void {
    this.limits = { ...this.limits, ...limits }
    Object.assign(this.server, { maxHeaderSize: this.limits.maximumHeaderBytes })
    this.server.headersTimeout = this.limits.headersTimeoutMilliseconds
    this.server.keepAliveTimeout = this.limits.idleTimeoutMilliseconds
  }

  /** Puts a renewed certificate to use for new connections. */
  renewTls (tls: CallerTls): void {
    if ('setSecureContext' in this.server) this.server.setSecureContext({ cert: tls.certificate, key: tls.key })
  }

  /** Stops in order: answers close their connections, then no new connection, then what is in flight ends or is cut off. */
  async drain (times: DrainTimes): Promise<DrainReport> {
    this.isDraining = true
    await sleep(this.parts.clock, times.announceMilliseconds)
    this.server.close()
    this.server.closeIdleConnections()
    const report = await this.parts.runner.drain(times.finishMilliseconds)
    this.server.closeAllConnections()
    return report
  }

  /** Closes at once; what is in flight is lost. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private serve (request: IncomingMessage, response: ServerResponse, waitsForInvitation: boolean): void {
    const refusal = checkRequestHead(request)
    if (refusal !== undefined) {
      this.refuse(request, response, refusal)
      return
    }
    const exchange = this.openExchange(request, response, waitsForInvitation)
    const of = this.exchanges.get(request.socket) ?? new Set()
    this.exchanges.set(request.socket, of.add(exchange))
    response.once('close', () => {
      of.delete(exchange)
      if (of.size === 0) this.exchanges.delete(request.socket)
    })
    this.parts.runner.run(exchange).catch(() => exchange.answer.abort())
  }

  private refuse (request: IncomingMessage, response: ServerResponse, refusal: Refusal): void {
    response.shouldKeepAlive = false
    relayRefusal(this.openExchange(request, response, false), refusal, NO_REQUEST)
  }

  private openExchange (request: IncomingMessage, response: ServerResponse, waitsForInvitation: boolean): NodeExchange {
    return NodeExchange.create(request, response, {
      clock: this.parts.clock,
      limits: this.limits,
      waitsForInvitation,
      closesConnection: () => this.isDraining
    })
  }

  /** Input that is no HTTP: answered where no answer is under way, else the request whose body it was is broken off. */
  private refuseInput (error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const refusal = Refusal.create(PARSER_REFUSALS[error.code ?? ''] ?? 'bad_request')
    const running = this.exchanges.get(socket)
    if (running === undefined) {
      refuseOnSocket(socket, refusal)
      return
    }
    for (const exchange of running) exchange.breakBody(refusal)
  }
}

function createNodeServer (limits: CallerLimits, tls: CallerTls | undefined): Server | TlsServer {
  const options = {
    maxHeaderSize: limits.maximumHeaderBytes,
    headersTimeout: limits.headersTimeoutMilliseconds,
    requestTimeout: limits.requestTimeoutMilliseconds,
    keepAliveTimeout: limits.idleTimeoutMilliseconds,
    connectionsCheckingInterval: limits.timeoutCheckMilliseconds,
    requireHostHeader: false,
    noDelay: true
  }
  if (tls === undefined) return createServer(options)
  return createTlsServer({ ...options, cert: tls.certificate, key: tls.key })
}

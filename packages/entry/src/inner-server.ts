import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { DrainableServer } from '@hickoryspoke/runtime/drainable-server'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { EVERY_HEADER } from '@hickoryspoke/runtime/request-head'
import polka from 'polka'
import type { Result } from 'ts-results-es'

const MAXIMUM_ANNOUNCEMENT_BYTES = 4_096
const BEARER_PATTERN = /^Bearer (\S+)$/i
const REQUEST_TIMEOUT_MILLISECONDS = 10_000
/** How long requests in progress may take when the server stops. */
const STOP_MILLISECONDS = 1_000

/** Whether an entry is ready for requests, and if not, why. */
export interface Readiness {
  readonly ready: boolean
  readonly reasons: readonly string[]
}

/** Handlers of the requests to the inner port of an entry. */
export interface InnerServerHandlers {
  readiness (): Readiness
  metrics (): Promise<string>
  /** Handles an announcement, given as parsed JSON and bearer token. */
  announce (announcement: unknown, token: string): Result<unknown, Failure>
  /** Handles the withdrawal of an announcement. */
  withdraw (announcement: unknown, token: string): Result<unknown, Failure>
}

const STATUS_BY_FAILURE_CODE: Readonly<Record<string, number>> = {
  invalid_input: 400,
  wrong_token: 401,
  unknown_pool: 404,
  unknown_upstream: 404,
  stale_incarnation: 409,
  address_claimed: 409
}

/** HTTP server of the inner port: announcements of upstreams, readiness for the load balancer, and metrics. */
export class InnerServer {
  private constructor (private readonly server: Server, private readonly drainable: DrainableServer) {}

  static async start (listen: string, handlers: InnerServerHandlers, clock: Clock): Promise<InnerServer> {
    const app = polka()
    app.get('/live', (_request, response) => sendJson(response, 200, { live: true }))
    app.get('/ready', (_request, response) => {
      const readiness = handlers.readiness()
      sendJson(response, readiness.ready ? 200 : 503, readiness)
    })
    app.get('/metrics', (_request, response) => {
      void handlers.metrics().then((text) => sendText(response, text))
    })
    app.post('/announce', (request, response) => { void handleAnnouncement(request, response, handlers.announce.bind(handlers)) })
    app.delete('/announce', (request, response) => { void handleAnnouncement(request, response, handlers.withdraw.bind(handlers)) })
    const server = createServer((request, response) => { app.handler(request as never, response) })
    const drainable = DrainableServer.create(server, clock)
    server.maxHeadersCount = EVERY_HEADER
    server.requestTimeout = REQUEST_TIMEOUT_MILLISECONDS
    const separator = listen.lastIndexOf(':')
    const port = Number(listen.slice(separator + 1))
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, listen.slice(0, separator), resolve)
    })
    return new InnerServer(server, drainable)
  }

  /** Bound IP:PORT. */
  get address (): string {
    const { address, port } = this.server.address() as AddressInfo
    return `${address}:${port}`
  }

  /** Stops when the requests in progress have been answered, or the time for them is up. */
  async stop (): Promise<void> {
    await this.drainable.drain(STOP_MILLISECONDS)
  }
}

type AnnouncementHandler = (announcement: unknown, token: string) => Result<unknown, Failure>

async function handleAnnouncement (request: IncomingMessage, response: ServerResponse, handle: AnnouncementHandler): Promise<void> {
  const token = BEARER_PATTERN.exec(request.headers.authorization ?? '')?.[1] ?? ''
  const body = await readJson(request)
  if (body === undefined) return sendProblem(response, 400, 'invalid_json', 'the body must be one JSON object')
  const outcome = handle(body, token)
  if (outcome.isErr()) return sendProblem(response, STATUS_BY_FAILURE_CODE[outcome.error.code] ?? 400, outcome.error.code, outcome.error.message)
  sendJson(response, 200, { accepted: true })
}

async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  let length = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length
      if (length > MAXIMUM_ANNOUNCEMENT_BYTES) return undefined
      chunks.push(chunk)
    }
    return JSON.parse(Buffer.concat(chunks).toString('utf8'))
  } catch {
    return undefined
  }
}

function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

function sendText (response: ServerResponse, text: string): void {
  response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
  response.end(text)
}

function sendProblem (response: ServerResponse, status: number, code: string, detail: string): void {
  response.writeHead(status, { 'content-type': 'application/problem+json' })
  response.end(JSON.stringify({ status, code, detail }))
}

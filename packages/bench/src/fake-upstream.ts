import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { type Clock, sleep } from '@hickoryspoke/runtime/clock'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { CRASH_HEADER, RUN_MARKER_HEADER, type UpstreamFaults, noFaults } from './upstream-faults.ts'

const MAXIMUM_ECHO_BYTES = 1_048_576

/** Options of a fake upstream. */
export interface FakeUpstreamOptions {
  readonly name: string
  readonly clock: Clock
  readonly random: RandomSource
  /** IP address to listen on. */
  readonly host?: string
  /** Port to listen on; 0 picks a free port. */
  readonly port?: number
  /** Number of requests that run concurrently; further requests are refused without running. */
  readonly slots?: number
  /** Processing time of each request. */
  readonly workMilliseconds?: number
  /** Called after a request with the crash header has shut the server down. */
  readonly onCrash?: () => void
}

/** Customer and time of the first run of a request. */
export interface FirstRun {
  readonly customer: string
  readonly wallMilliseconds: number
}

type Behaviour = 'hang' | 'reset' | 'truncate' | 'fail' | 'answer'
type BehaviourHandler = (response: ServerResponse, content: string) => void

const BEHAVIOURS: Record<Behaviour, BehaviourHandler> = {
  hang: () => {},
  reset: (response) => { response.socket?.resetAndDestroy() },
  truncate: (response, content) => {
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) })
    response.write(content.slice(0, content.length / 2), () => response.destroy())
  },
  fail: (response) => {
    response.writeHead(500, { 'content-type': 'application/json' })
    response.end('{"error":"stand-in fault"}')
  },
  answer: (response, content) => {
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) })
    response.end(content)
  }
}

/** An HTTP upstream for tests that answers any path with a description of the request and can be told to inject faults. */
export class FakeUpstream {
  readonly faults: UpstreamFaults = noFaults()
  /** Number of runs by the value of `RUN_MARKER_HEADER`. */
  readonly runs = new Map<string, number>()
  /** First run of each request on this upstream, by request id. Times are wall-clock milliseconds. */
  readonly firstRuns = new Map<string, FirstRun>()
  requests = 0
  running = 0
  cancelled = 0
  private readonly server: Server
  private workedRequests = 0

  private constructor (private readonly options: FakeUpstreamOptions) {
    this.server = createServer((request, response) => { void this.serve(request, response) })
  }

  static async start (options: FakeUpstreamOptions): Promise<FakeUpstream> {
    const upstream = new FakeUpstream(options)
    await new Promise<void>((resolve) => upstream.server.listen(options.port ?? 0, options.host ?? '127.0.0.1', resolve))
    return upstream
  }

  get name (): string {
    return this.options.name
  }

  /** Address in the form IP:PORT. */
  get address (): string {
    const { address, port } = this.server.address() as AddressInfo
    return `${address}:${port}`
  }

  get slots (): number {
    return this.options.slots ?? 6
  }

  /** Share of busy slots from 0 to 1, or the fixed value of the `loadReport` fault. */
  get load (): number {
    return this.faults.loadReport ?? Math.min(1, this.running / this.slots)
  }

  /** Stops accepting connections and waits for the requests in flight. */
  async stop (): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()))
    this.server.closeIdleConnections()
    await closed
  }

  /** Closes the server and all connections at once, as a crash of the process would. */
  kill (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/health') return this.answerHealth(response)
    if (request.url === '/load') return BEHAVIOURS.answer(response, JSON.stringify({ load: this.load }))
    if (this.running >= this.slots) return respondNotRun(response)
    this.running += 1
    this.requests += 1
    response.once('close', () => {
      this.running -= 1
      if (!response.writableFinished) this.cancelled += 1
    })
    await this.run(request, response)
  }

  private async run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    if (body === undefined) return
    this.countRun(request)
    if (this.faults.crashOnMarkedRequest && request.headers[CRASH_HEADER] !== undefined) {
      this.kill()
      this.options.onCrash?.()
      return
    }
    const waitMilliseconds = this.workMilliseconds()
    if (waitMilliseconds > 0) await sleep(this.options.clock, waitMilliseconds)
    if (response.destroyed) return
    BEHAVIOURS[this.chooseBehaviour()](response, this.describe(request, body))
  }

  private countRun (request: IncomingMessage): void {
    const marker = request.headers[RUN_MARKER_HEADER]
    if (typeof marker === 'string') this.runs.set(marker, (this.runs.get(marker) ?? 0) + 1)
    const { 'hickoryspoke-request': identity, 'hickoryspoke-customer': customer } = request.headers
    if (typeof identity !== 'string' || this.firstRuns.has(identity)) return
    this.firstRuns.set(identity, { customer: String(customer ?? ''), wallMilliseconds: this.options.clock.wallMilliseconds() })
  }

  private workMilliseconds (): number {
    const { slowMilliseconds, coldMilliseconds, coldRequests } = this.faults
    this.workedRequests += 1
    const cold = this.workedRequests <= coldRequests ? coldMilliseconds : 0
    return (this.options.workMilliseconds ?? 0) + slowMilliseconds + cold
  }

  private chooseBehaviour (): Behaviour {
    const { faults } = this
    if (faults.hang) return 'hang'
    if (faults.reset) return 'reset'
    if (faults.truncate) return 'truncate'
    if (faults.errorShare > 0 && this.options.random.next() < faults.errorShare) return 'fail'
    return 'answer'
  }

  private answerHealth (response: ServerResponse): void {
    const sick = this.faults.healthAnswer === 'always_sick' || (this.faults.healthAnswer === 'true' && this.faults.errorShare >= 1)
    response.writeHead(sick ? 503 : 200, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ healthy: !sick }))
  }

  private describe (request: IncomingMessage, body: string): string {
    return JSON.stringify({ upstream: this.options.name, method: request.method, path: request.url, headers: request.headers, body })
  }
}

function respondNotRun (response: ServerResponse): void {
  response.writeHead(503, { 'hickoryspoke-run': 'not-run', 'retry-after': '1' })
  response.end()
}

/** Reads the body as text and drops what exceeds `MAXIMUM_ECHO_BYTES`; undefined when the client disconnected. */
async function readBody (request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = []
  let length = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length
      if (length <= MAXIMUM_ECHO_BYTES) chunks.push(chunk)
    }
  } catch {
    return undefined
  }
  return Buffer.concat(chunks).toString('utf8')
}

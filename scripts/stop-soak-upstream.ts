/** A sound upstream of a stop soak: announces itself, works as long as the path asks for, and records what it ran. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { delay } from './process-fleet.ts'
import { callUntilAccepted } from './stop-soak-control-calls.ts'
import { RunEnd, type RunRecord } from './stop-soak-records.ts'
import { AnswerFraming, derivedBody, derivedSignature, parseWork, REQUEST_BODY_BYTES } from './stop-soak-work.ts'

const SLOTS = 8
const WAITING_LIMIT = 24
const ANNOUNCE_MILLISECONDS = 1_500
const IDLE_MILLISECONDS = 10_000
const HTTP_OK = 200
const HTTP_MISDIRECTED = 421
const HTTP_UNAVAILABLE = 503
const HTTP_OUT_OF_TIME = 504

/** Identity of an upstream and what it needs of the soak. */
export interface SoakUpstreamOptions {
  readonly name: string
  readonly pool: string
  readonly ip: string
  readonly zone: string
  readonly controlAddresses: readonly string[]
  readonly now: () => number
  readonly record: (run: RunRecord) => void
}

export class SoakUpstream {
  private readonly server: Server
  private readonly bornAt = Date.now()
  private readonly waiting: (() => void)[] = []
  private running = 0
  private sequence = 0
  private address = ''
  private isStopped = false

  private constructor (private readonly options: SoakUpstreamOptions) {
    this.server = createServer({ keepAliveTimeout: IDLE_MILLISECONDS, requestTimeout: 0 }, (request, response) => this.receive(request, response))
  }

  static async start (options: SoakUpstreamOptions): Promise<SoakUpstream> {
    const upstream = new SoakUpstream(options)
    await new Promise<void>((resolve) => upstream.server.listen(0, options.ip, resolve))
    upstream.address = `${options.ip}:${(upstream.server.address() as AddressInfo).port}`
    void upstream.announce()
    return upstream
  }

  stop (): void {
    this.isStopped = true
    this.server.close()
    this.server.closeAllConnections()
  }

  private async announce (): Promise<void> {
    const path = `/-/Instances.Heartbeat/${this.options.name}`
    while (!this.isStopped) {
      await callUntilAccepted(this.options.controlAddresses, path, () => this.announcement(), ANNOUNCE_MILLISECONDS)
      await delay(ANNOUNCE_MILLISECONDS)
    }
  }

  private announcement (): string {
    this.sequence += 1
    const { pool, zone } = this.options
    return JSON.stringify({
      service: pool, address: this.address, zone, version: 'v1', slots: SLOTS, state: 'ready', 'warmup-left': '0ms', sequence: this.sequence, born: this.bornAt
    })
  }

  private receive (request: IncomingMessage, response: ServerResponse): void {
    response.setHeader('x-instance-id', this.options.name)
    const expected = request.headers['x-expect-instance']
    const id = String(request.headers['x-attempt-id'] ?? '')
    if (request.url === '/health') return refuse(response, HTTP_OK)
    if (expected !== undefined && expected !== this.options.name) return refuse(response, HTTP_MISDIRECTED)
    response.setHeader('x-attempt-id', id)
    if (this.running < SLOTS) return this.run(id, request, response)
    if (this.waiting.length >= WAITING_LIMIT) return refuse(response.setHeader('x-not-executed', '1'), HTTP_UNAVAILABLE)
    this.waiting.push(() => this.run(id, request, response))
  }

  /** Runs a request. It is dropped when its connection closes. */
  private run (id: string, request: IncomingMessage, response: ServerResponse): void {
    if (request.socket.destroyed) return this.runNext()
    const { milliseconds } = parseWork(request.url ?? '')
    const patience = Number(request.headers['x-deadline-ms'] ?? Infinity)
    const run: RunRecord = { id, upstream: this.options.name, begunAt: this.options.now(), end: RunEnd.Open, endedAt: 0, isUnchanged: true }
    this.options.record(run)
    this.running += 1
    const finish = (end: RunEnd): void => {
      if (run.end !== RunEnd.Open) return
      clearTimeout(timer)
      Object.assign(run, { end, endedAt: this.options.now() })
      this.running -= 1
      answerAfter(end, id, request, response)
      this.runNext()
    }
    const isBodyRead = checkBody(id, request, run)
    const timer = setTimeout(() => {
      void isBodyRead.then(() => finish(milliseconds <= patience ? RunEnd.Done : RunEnd.OutOfTime))
    }, Math.min(milliseconds, patience))
    response.once('close', () => finish(RunEnd.Dropped))
  }

  private runNext (): void {
    if (this.running < SLOTS) this.waiting.shift()?.()
  }
}

/** Reads the body and records whether the request arrived as its caller sent it. */
async function checkBody (id: string, request: IncomingMessage, run: RunRecord): Promise<void> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false })) chunks.push(chunk as Buffer)
  } catch {
    // The connection was closed before the end of the body; `close` of the response drops the run.
    return
  }
  const expected = request.method === 'POST' ? REQUEST_BODY_BYTES : 0
  run.isUnchanged = Buffer.concat(chunks).equals(derivedBody(id, expected))
}

function answerAfter (end: RunEnd, id: string, request: IncomingMessage, response: ServerResponse): void {
  if (end === RunEnd.OutOfTime) return refuse(response, HTTP_OUT_OF_TIME)
  if (end !== RunEnd.Done) return
  const { answerBytes, framing } = parseWork(request.url ?? '')
  const body = derivedBody(id, answerBytes)
  response.setHeader('x-response-signature', derivedSignature(id))
  if (framing === AnswerFraming.Length) {
    response.writeHead(HTTP_OK, { 'content-length': answerBytes }).end(body)
    return
  }
  const middle = Math.floor(answerBytes / 2)
  response.writeHead(HTTP_OK).write(body.subarray(0, middle))
  response.end(body.subarray(middle))
}

function refuse (response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-length': 0 }).end()
}

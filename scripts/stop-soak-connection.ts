/** A connection that a caller keeps until the entry closes it: sends requests, some before earlier ones are answered, and records their ends. */
import { connect, type Socket } from 'node:net'
import { AnswerReader, type ReadAnswer } from './stop-soak-answer-reader.ts'
import { RequestEnd, type CallerRecord } from './stop-soak-records.ts'
import { CALLER_HOST, CALLER_KEY, REPEATABLE_PREFIX, SINGLE_PREFIX } from './stop-soak-settings.ts'
import { delay } from './process-fleet.ts'
import type { PlannedRequest } from './stop-soak-plan.ts'
import { derivedBody, derivedSignature, REQUEST_BODY_BYTES, workPath } from './stop-soak-work.ts'

/** How long a caller waits for an answer. */
export const CALLER_DEADLINE_MILLISECONDS = 10_000
const GIVE_UP_MILLISECONDS = 12_000
/** Stands in place of an error's code where Node.js reported an end; a reset behind some bytes is reported so as well. */
const REPORTED_END = 'end'

/** Where a connection leads, and what it needs of the soak. */
export interface SoakConnectionOptions {
  readonly entry: string
  readonly name: string
  readonly address: { readonly host: string, readonly port: number }
  readonly now: () => number
  readonly record: (request: CallerRecord) => void
  readonly recordUnasked: (answer: { readonly at: number, readonly entry: string }) => void
}

export class SoakConnection {
  private readonly reader = AnswerReader.create()
  private readonly waiting: CallerRecord[] = []
  private error = ''
  private isClosing = false
  private onChange = (): void => {}

  private constructor (private readonly socket: Socket, private readonly options: SoakConnectionOptions) {
    socket.on('error', (error: NodeJS.ErrnoException) => { this.error ||= error.code ?? error.message })
    socket.on('data', (chunk) => this.receive(chunk))
    socket.once('end', () => this.receiveEnd())
    socket.once('close', () => this.finishAll(RequestEnd.Closed))
  }

  /** Opens a connection; undefined if that fails. */
  static async open (options: SoakConnectionOptions): Promise<SoakConnection | undefined> {
    const socket = connect({ ...options.address, noDelay: true })
    const isOpen = await new Promise<boolean>((resolve) => {
      socket.once('connect', () => resolve(true))
      socket.once('error', () => resolve(false))
    })
    return isOpen ? new SoakConnection(socket, options) : undefined
  }

  /** Whether another request may be sent. */
  get isUsable (): boolean {
    return !this.isClosing && !this.socket.destroyed && this.socket.writable
  }

  pauseReading (milliseconds: number): void {
    this.socket.pause()
    setTimeout(() => this.socket.resume(), milliseconds)
  }

  /** Sends a request; resolves when its last byte is written, or when the connection has ended. */
  async send (id: string, planned: PlannedRequest): Promise<void> {
    const path = `${planned.mayRepeat ? REPEATABLE_PREFIX : SINGLE_PREFIX}${workPath(planned.work)}`
    const request: CallerRecord = {
      id,
      path,
      entry: this.options.entry,
      connection: this.options.name,
      mayRepeat: planned.mayRepeat,
      answerBytes: planned.work.answerBytes,
      position: this.waiting.length,
      begunAt: this.options.now(),
      sentAt: undefined,
      end: RequestEnd.Open,
      endedAt: 0,
      answer: undefined,
      partialBytes: 0,
      error: ''
    }
    this.waiting.push(request)
    this.options.record(request)
    const [first, ...rest] = requestPieces(id, path, planned)
    this.socket.write(first ?? '')
    for (const piece of rest) {
      await delay(planned.pieceGap)
      if (!this.socket.writable) return
      this.socket.write(piece)
    }
    request.sentAt = this.options.now()
  }

  /** Resolves when all requests have ended; gives up on them, and on the connection, when that takes too long. */
  async waitForAnswers (): Promise<void> {
    const timer = setTimeout(() => this.giveUp(), GIVE_UP_MILLISECONDS)
    while (this.waiting.length > 0) await new Promise<void>((resolve) => { this.onChange = resolve })
    clearTimeout(timer)
  }

  /** Resolves when the entry has closed the connection, or after the time. */
  async waitForClose (milliseconds: number): Promise<void> {
    if (this.socket.destroyed) return
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds)
      this.socket.once('close', () => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  /** Ends the connection from the side of the caller. */
  close (): void {
    this.socket.end()
    this.socket.resume()
    setTimeout(() => this.socket.destroy(), GIVE_UP_MILLISECONDS).unref()
  }

  private receive (chunk: Buffer): void {
    for (const answer of this.reader.read(chunk)) this.accept(answer)
  }

  private receiveEnd (): void {
    this.isClosing = true
    this.error ||= REPORTED_END
    const last = this.waiting.length > 0 ? this.reader.end() : undefined
    if (last !== undefined) this.accept(last)
  }

  private accept (answer: ReadAnswer): void {
    const request = this.waiting.shift()
    if (request === undefined) return this.options.recordUnasked({ at: this.options.now(), entry: this.options.entry })
    request.answer = {
      status: answer.status,
      requestId: answer.headers.get('x-attempt-id') ?? '',
      isSigned: answer.headers.has('x-response-signature'),
      isDerived: isDerived(request.id, answer),
      bodyBytes: answer.body.length
    }
    this.finish(request, RequestEnd.Answered)
    if (/\bclose\b/i.test(answer.headers.get('connection') ?? '')) {
      this.isClosing = true
      this.socket.end()
    }
  }

  private giveUp (): void {
    this.finishAll(RequestEnd.GaveUp)
    this.socket.destroy()
  }

  private finishAll (end: RequestEnd): void {
    const [first] = this.waiting
    if (first !== undefined) first.partialBytes = this.reader.partialBytes
    for (const request of this.waiting.splice(0)) this.finish(request, end)
  }

  private finish (request: CallerRecord, end: RequestEnd): void {
    Object.assign(request, { end, endedAt: this.options.now(), error: this.error })
    this.onChange()
  }
}

function isDerived (id: string, { headers, body }: ReadAnswer): boolean {
  return headers.get('x-response-signature') === derivedSignature(id) && body.equals(derivedBody(id, body.length))
}

/** The pieces in which a request is written. */
function requestPieces (id: string, path: string, { mayRepeat, framing }: PlannedRequest): (string | Buffer)[] {
  const method = mayRepeat ? 'GET' : 'POST'
  const common = [`${method} ${path} HTTP/1.1`, `Host: ${CALLER_HOST}`, `X-Attempt-Id: ${id}`, `X-Api-Key: ${CALLER_KEY}`, `X-Deadline-Ms: ${CALLER_DEADLINE_MILLISECONDS}`]
  const head = (...more: string[]): string => [...common, ...more, '', ''].join('\r\n')
  if (mayRepeat) return [head()]
  const body = derivedBody(id, REQUEST_BODY_BYTES).toString()
  const middle = REQUEST_BODY_BYTES / 2
  const [first, second] = [body.slice(0, middle), body.slice(middle)]
  const pieces = {
    whole: () => [`${head(`Content-Length: ${body.length}`)}${body}`],
    pieces: () => [`${head(`Content-Length: ${body.length}`)}${first}`, second],
    chunked: () => [`${head('Transfer-Encoding: chunked')}${chunk(first)}`, `${chunk(second)}${chunk('')}`]
  }
  return pieces[framing]()
}

function chunk (content: string): string {
  return `${content.length.toString(16)}\r\n${content}\r\n`
}

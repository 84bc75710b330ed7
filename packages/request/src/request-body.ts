import { createHash } from 'node:crypto'
import { Readable } from 'node:stream'
import { Err, Ok, type Result } from 'ts-results-es'
import { AttemptFailure } from './attempt-failure.ts'
import type { CallerExchange } from './caller-exchange.ts'
import { Refusal } from './refusal.ts'

/** Limits in bytes on the bodies of requests. */
export interface BodyLimits {
  /** Largest body of any request. */
  readonly maximumBytes: number
  /** Bodies up to this size are kept until the answer, so that they can be sent again. */
  readonly replayBytes: number
}

export const DEFAULT_BODY_LIMITS: BodyLimits = { maximumBytes: 64 * 1024 * 1024, replayBytes: 65_536 }

/** The body of a request: kept whole, or its head and a stream that can be read once. */
export class RequestBody {
  private constructor (private readonly kept: Buffer, private readonly rest: BodyRest | undefined) {}

  /** Reads a body up to `keepBytes`; what is longer stays a stream. */
  static async read (exchange: CallerExchange, limits: BodyLimits, keepBytes: number): Promise<Result<RequestBody, Refusal>> {
    if (exchange.bodyBytes === 0) return Ok(new RequestBody(Buffer.alloc(0), undefined))
    if ((exchange.bodyBytes ?? 0) > limits.maximumBytes) return Err(Refusal.create('body_too_large'))
    exchange.inviteBody()
    const head = await readHead(exchange, keepBytes)
    if (head.isErr()) return head
    const kept = Buffer.concat(head.value.chunks)
    if (kept.length > limits.maximumBytes) return Err(Refusal.create('body_too_large'))
    if (head.value.ended) return Ok(new RequestBody(kept, undefined))
    return Ok(new RequestBody(kept, BodyRest.create(exchange, kept, limits.maximumBytes)))
  }

  /** Whether the body can be sent more than once. */
  get isReplayable (): boolean {
    return this.rest === undefined
  }

  /** Whether the body grew over the limit while it was streamed. */
  get grewTooLarge (): boolean {
    return this.rest?.grewTooLarge ?? false
  }

  /** The body for one attempt: nothing, bytes, or the stream. */
  forAttempt (): Buffer | Readable | null {
    if (this.rest !== undefined) return this.rest.stream
    return this.kept.length === 0 ? null : this.kept
  }

  /** SHA-256 in hexadecimal of the first bytes. */
  headDigest (bytes: number): string {
    return createHash('sha256').update(this.kept.subarray(0, bytes)).digest('hex')
  }
}

/** The part of a body that is streamed, after the kept head. */
class BodyRest {
  grewTooLarge = false
  readonly stream: Readable

  private constructor (exchange: CallerExchange, head: Buffer, private readonly maximumBytes: number) {
    this.stream = Readable.from(this.pieces(exchange.body, head), { objectMode: false })
    this.stream.on('error', () => {})
    const breakOff = (): void => { this.stream.destroy(AttemptFailure.create('request_broken')) }
    exchange.signal.addEventListener('abort', breakOff, { once: true })
  }

  static create (exchange: CallerExchange, head: Buffer, maximumBytes: number): BodyRest {
    return new BodyRest(exchange, head, maximumBytes)
  }

  private async * pieces (source: Readable, head: Buffer): AsyncGenerator<Buffer> {
    let bytes = head.length
    yield head
    try {
      for await (const chunk of source.iterator({ destroyOnReturn: false })) {
        bytes += (chunk as Buffer).length
        if (bytes > this.maximumBytes) break
        yield chunk as Buffer
      }
    } catch {
      throw AttemptFailure.create('request_broken')
    }
    if (bytes <= this.maximumBytes) return
    this.grewTooLarge = true
    throw AttemptFailure.create('request_broken')
  }
}

interface BodyHead {
  readonly chunks: Buffer[]
  readonly ended: boolean
}

async function readHead (exchange: CallerExchange, keepBytes: number): Promise<Result<BodyHead, Refusal>> {
  const source = exchange.body
  const chunks: Buffer[] = []
  let bytes = 0
  try {
    while (bytes <= keepBytes) {
      const chunk = source.read() as Buffer | null
      if (chunk !== null) {
        chunks.push(chunk)
        bytes += chunk.length
      } else if (source.readableEnded) {
        return Ok({ chunks, ended: true })
      } else {
        await nextChange(source, exchange.signal)
      }
    }
    return Ok({ chunks, ended: false })
  } catch {
    return Err(exchange.signal.reason instanceof Refusal ? exchange.signal.reason : Refusal.create('caller_gone'))
  }
}

/** Waits until more can be read or the body is over; fails when the caller has left. */
function nextChange (source: Readable, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const settle = (finish: () => void): void => {
      source.off('readable', succeed).off('end', succeed).off('close', judgeClose).off('error', fail)
      signal.removeEventListener('abort', fail)
      finish()
    }
    const succeed = (): void => settle(resolve)
    const fail = (): void => settle(() => reject(Refusal.create('caller_gone')))
    const judgeClose = (): void => source.readableEnded ? succeed() : fail()
    if (signal.aborted || source.destroyed) {
      reject(Refusal.create('caller_gone'))
      return
    }
    source.on('readable', succeed).on('end', succeed).on('close', judgeClose).on('error', fail)
    signal.addEventListener('abort', fail, { once: true })
  })
}

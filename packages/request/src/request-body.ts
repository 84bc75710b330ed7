import { createHash } from 'node:crypto'
import { Readable } from 'node:stream'
import { JoinedChunks } from '@hickoryspoke/runtime/joined-chunks'
import { Err, Ok, type Result } from 'ts-results-es'
import { AttemptFailure } from './attempt-failure.ts'
import type { CallerExchange } from './caller-exchange.ts'
import { Refusal } from './refusal.ts'

/** Size limits of request bodies. */
export interface BodyLimits {
  /** Larger bodies are refused. */
  readonly maximumBytes: number
  /** Bodies up to this size are buffered until the response arrives, so that they can be sent again. */
  readonly replayBytes: number
}

export const DEFAULT_BODY_LIMITS: BodyLimits = { maximumBytes: 64 * 1024 * 1024, replayBytes: 65_536 }
/** When a caller whose body was refused for lack of memory may send it again. */
const BODY_RETRY_MILLISECONDS = 1_000

/** A request body: either buffered completely, or a buffered start followed by a stream that can be read once. */
export class RequestBody {
  private constructor (
    private readonly buffered: Buffer,
    private readonly streamed: StreamedBody | undefined,
    /** Size of the whole body; undefined for a stream whose sender did not state it. */
    readonly bytes: number | undefined
  ) {}

  /** Buffers a body up to `bufferBytes`. The rest of a longer body stays a stream. */
  static async read (exchange: CallerExchange, limits: BodyLimits, bufferBytes: number): Promise<Result<RequestBody, Refusal>> {
    if (exchange.bodyBytes === 0) return Ok(new RequestBody(Buffer.alloc(0), undefined, 0))
    if ((exchange.bodyBytes ?? 0) > limits.maximumBytes) return Err(Refusal.create('body_too_large'))
    exchange.sendContinue()
    exchange.awaitBody?.()
    const head = await readHead(exchange, bufferBytes)
    exchange.bodyTaken?.()
    if (head.isErr()) return head
    const { buffered } = head.value
    if (buffered.length > limits.maximumBytes) return Err(Refusal.create('body_too_large'))
    if (head.value.ended) return Ok(new RequestBody(buffered, undefined, buffered.length))
    return Ok(new RequestBody(buffered, StreamedBody.create(exchange, buffered, limits.maximumBytes), exchange.bodyBytes))
  }

  /** Whether the body can be sent more than once. */
  get isReplayable (): boolean {
    return this.streamed === undefined
  }

  /** Whether the body exceeded the size limit while it was streamed. */
  get grewTooLarge (): boolean {
    return this.streamed?.grewTooLarge ?? false
  }

  /** Returns the body for one attempt: null if it is empty, the buffer, or the stream. */
  forAttempt (): Buffer | Readable | null {
    if (this.streamed !== undefined) return this.streamed.stream
    return this.buffered.length === 0 ? null : this.buffered
  }

  /** SHA-256 in hexadecimal of the first bytes of the buffered part. */
  headDigest (bytes: number): string {
    return createHash('sha256').update(this.buffered.subarray(0, bytes)).digest('hex')
  }
}

/** A body too large to buffer, as a stream that starts with the buffered bytes and enforces the size limit. */
class StreamedBody {
  grewTooLarge = false
  readonly stream: Readable

  private constructor (exchange: CallerExchange, head: Buffer, private readonly maximumBytes: number) {
    // Nothing is read ahead of the upstream's connection, as the source joins small pieces and this stream would not.
    this.stream = Readable.from(this.streamChunks(exchange.body, head), { objectMode: false, highWaterMark: 1 })
    this.stream.on('error', () => {})
    const abort = (): void => { this.stream.destroy(AttemptFailure.create('request_broken')) }
    exchange.signal.addEventListener('abort', abort, { once: true })
  }

  static create (exchange: CallerExchange, head: Buffer, maximumBytes: number): StreamedBody {
    return new StreamedBody(exchange, head, maximumBytes)
  }

  private async * streamChunks (source: Readable, head: Buffer): AsyncGenerator<Buffer> {
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
  readonly buffered: Buffer
  readonly ended: boolean
}

async function readHead (exchange: CallerExchange, bufferBytes: number): Promise<Result<BodyHead, Refusal>> {
  const source = exchange.body
  const held = JoinedChunks.create()
  try {
    while (held.bytes <= bufferBytes) {
      const chunk = source.read() as Buffer | null
      if (chunk !== null) {
        if (exchange.takeBody?.(chunk.length) === false) return Err(Refusal.create('overloaded', 'no memory for the body', BODY_RETRY_MILLISECONDS))
        held.append(chunk)
      } else if (source.readableEnded) {
        return Ok({ buffered: held.joined(), ended: true })
      } else {
        await waitForData(source, exchange.signal)
      }
    }
    return Ok({ buffered: held.joined(), ended: false })
  } catch {
    return Err(exchange.signal.reason instanceof Refusal ? exchange.signal.reason : Refusal.create('caller_gone'))
  }
}

/** Waits until more data is readable or the body has ended. Rejects if the caller disconnects. */
function waitForData (source: Readable, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const settle = (finish: () => void): void => {
      source.off('readable', succeed).off('end', succeed).off('close', onClose).off('error', fail)
      signal.removeEventListener('abort', fail)
      finish()
    }
    const succeed = (): void => settle(resolve)
    const fail = (): void => settle(() => reject(Refusal.create('caller_gone')))
    const onClose = (): void => source.readableEnded ? succeed() : fail()
    if (signal.aborted || source.destroyed) {
      reject(Refusal.create('caller_gone'))
      return
    }
    source.on('readable', succeed).on('end', succeed).on('close', onClose).on('error', fail)
    signal.addEventListener('abort', fail, { once: true })
  })
}

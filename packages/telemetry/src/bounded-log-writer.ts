/** Buffers log lines and writes them to a file descriptor asynchronously. Lines over the buffer limit are dropped and counted. */
import { write } from 'node:fs'
import type { Clock } from '@hickoryspoke/runtime/clock'

/** Buffer limit and flush interval of a log writer. */
export interface LogWriterBounds {
  /** Lines that would make the buffer larger than this are dropped. */
  readonly maximumBufferedBytes: number
  readonly flushMilliseconds: number
}

/** Defaults suited to a small VM. */
export const DEFAULT_LOG_BOUNDS: LogWriterBounds = { maximumBufferedBytes: 262_144, flushMilliseconds: 200 }

const STANDARD_OUTPUT = 1

/** Log writer whose callers never block on a slow reader. */
export class BoundedLogWriter {
  private waiting: string[] = []
  private bufferedBytes = 0
  private dropped = 0
  private isWriting = false
  private isScheduled = false

  private constructor (private readonly clock: Clock, private readonly bounds: LogWriterBounds, private readonly descriptor: number) {}

  static create (clock: Clock, bounds: LogWriterBounds = DEFAULT_LOG_BOUNDS, descriptor: number = STANDARD_OUTPUT): BoundedLogWriter {
    return new BoundedLogWriter(clock, bounds, descriptor)
  }

  /** Lines dropped since the last `log lines dropped` record was written. */
  get droppedLines (): number {
    return this.dropped
  }

  /** Buffers a line, or drops it when the buffer is full. */
  readonly enqueue = (line: string): void => {
    if (this.bufferedBytes + line.length > this.bounds.maximumBufferedBytes) {
      this.dropped += 1
      return
    }
    this.waiting.push(line)
    this.bufferedBytes += line.length + 1
    if (this.isScheduled || this.isWriting) return
    this.isScheduled = true
    this.clock.schedule(this.bounds.flushMilliseconds, () => this.flush())
  }

  /** Starts writing the buffered lines, unless a write is in progress. */
  flush (): void {
    this.isScheduled = false
    if (this.isWriting || this.waiting.length === 0) return
    if (this.dropped > 0) {
      this.waiting.push(JSON.stringify({ event: 'log lines dropped', lines: this.dropped }))
      this.dropped = 0
    }
    const text = this.waiting.join('\n') + '\n'
    this.waiting = []
    this.bufferedBytes = 0
    this.writeAll(Buffer.from(text))
  }

  private writeAll (bytes: Buffer): void {
    this.isWriting = true
    write(this.descriptor, bytes, (error, written) => {
      this.isWriting = false
      if (error === null && written < bytes.length) this.writeAll(bytes.subarray(written))
      else this.flush()
    })
  }
}

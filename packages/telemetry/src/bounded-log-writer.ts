/** Writes log lines to a file descriptor without ever waiting for it; what does not fit is dropped and counted. */
import { write } from 'node:fs'
import type { Clock } from '@hickoryspoke/runtime/clock'

/** Bounds of a writer. */
export interface LogWriterBounds {
  /** Lines that wait beyond this size are dropped. */
  readonly maximumWaitingBytes: number
  readonly flushMilliseconds: number
}

/** Bounds for a small VM. */
export const DEFAULT_LOG_BOUNDS: LogWriterBounds = { maximumWaitingBytes: 262_144, flushMilliseconds: 200 }

const STANDARD_OUTPUT = 1

/** Collects lines and writes them in pieces. */
export class BoundedLogWriter {
  private waiting: string[] = []
  private waitingBytes = 0
  private dropped = 0
  private isWriting = false
  private isScheduled = false

  private constructor (private readonly clock: Clock, private readonly bounds: LogWriterBounds, private readonly descriptor: number) {}

  static create (clock: Clock, bounds: LogWriterBounds = DEFAULT_LOG_BOUNDS, descriptor: number = STANDARD_OUTPUT): BoundedLogWriter {
    return new BoundedLogWriter(clock, bounds, descriptor)
  }

  /** Lines dropped so far and not yet told. */
  get droppedLines (): number {
    return this.dropped
  }

  /** Takes one line, or drops it when too much waits. */
  readonly take = (line: string): void => {
    if (this.waitingBytes + line.length > this.bounds.maximumWaitingBytes) {
      this.dropped += 1
      return
    }
    this.waiting.push(line)
    this.waitingBytes += line.length + 1
    if (this.isScheduled || this.isWriting) return
    this.isScheduled = true
    this.clock.schedule(this.bounds.flushMilliseconds, () => this.flush())
  }

  /** Hands over what waits. */
  flush (): void {
    this.isScheduled = false
    if (this.isWriting || this.waiting.length === 0) return
    if (this.dropped > 0) {
      this.waiting.push(JSON.stringify({ event: 'log lines dropped', lines: this.dropped }))
      this.dropped = 0
    }
    const text = this.waiting.join('\n') + '\n'
    this.waiting = []
    this.waitingBytes = 0
    this.writeOut(Buffer.from(text))
  }

  private writeOut (bytes: Buffer): void {
    this.isWriting = true
    write(this.descriptor, bytes, (error, written) => {
      this.isWriting = false
      if (error === null && written < bytes.length) this.writeOut(bytes.subarray(written))
      else this.flush()
    })
  }
}

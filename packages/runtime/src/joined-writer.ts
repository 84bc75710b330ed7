/** Writes small chunks together while an earlier one is still being written. */
import { JoinedChunks } from './joined-chunks.ts'

/** What a `JoinedWriter` needs of a stream. */
export interface JoinedOutput {
  readonly writableNeedDrain: boolean
  readonly writableHighWaterMark: number
  readonly destroyed: boolean
  write (chunk: Buffer, written: () => void): boolean
}

/**
 * Hands a chunk that comes alone to its output at once. What comes while the output has not passed that on is joined, as each chunk costs
 * the output several objects and a chunk head of its own.
 */
export class JoinedWriter {
  private readonly waiting = JoinedChunks.create()
  private isWriting = false

  private constructor (private readonly output: JoinedOutput, private readonly onWritten: () => void) {}

  /** `onWritten` is called each time the output has passed on what it was given. */
  static create (output: JoinedOutput, onWritten: () => void): JoinedWriter {
    return new JoinedWriter(output, onWritten)
  }

  /** Bytes that the output has not been given. */
  get waitingBytes (): number {
    return this.waiting.bytes
  }

  /** Whether nothing should be written before the output has passed on more. */
  get needsDrain (): boolean {
    return this.output.writableNeedDrain || this.waiting.bytes >= this.output.writableHighWaterMark
  }

  /** Returns false to apply back-pressure. */
  write (chunk: Buffer): boolean {
    this.waiting.append(chunk)
    if (!this.isWriting) this.flush()
    return !this.needsDrain
  }

  /** Discards what the output has not been given. */
  discard (): void {
    this.waiting.takeAll()
  }

  /** Gives everything to the output. Call before the output is ended. */
  flush (): void {
    const chunks = this.waiting.takeAll()
    const last = chunks.pop()
    if (last === undefined) return
    this.isWriting = true
    for (const chunk of chunks) this.output.write(chunk, ignore)
    this.output.write(last, () => this.written())
  }

  private written (): void {
    this.isWriting = false
    if (this.output.destroyed) return
    this.flush()
    this.onWritten()
  }
}

function ignore (): void {}

/** Requests to HTTP servers whose bodies may come in very many small pieces. */
import { IncomingMessage } from 'node:http'
import { JoinedChunks } from './joined-chunks.ts'

/**
 * A request of an HTTP server. Node.js keeps each piece of a body that its parser finds as an object of its own until it is read. Here the pieces that
 * nobody has read are joined.
 */
export class JoinedRequest extends IncomingMessage {
  /** Number of pieces in which the body has come so far. */
  pieces = 0
  private readonly unread = JoinedChunks.create()
  private isFlushScheduled = false

  /** Called by the parser with each piece of the body, and with null at its end. */
  override push (piece: Buffer | null): boolean {
    if (piece === null) {
      this.flush()
      return super.push(null)
    }
    this.pieces += 1
    this.unread.append(piece)
    this.scheduleFlush()
    return this.readableLength + this.unread.bytes < this.readableHighWaterMark
  }

  /** Once everything buffered has been read, the pieces that have come since then follow. */
  override read (bytes?: number): unknown {
    const chunk: unknown = super.read(bytes)
    if (this.readableLength === 0) this.flush()
    return chunk
  }

  override _read (bytes: number): void {
    this.flush()
    super._read(bytes)
  }

  /** A piece that comes alone can be read at once. */
  private scheduleFlush (): void {
    if (this.isFlushScheduled) return
    this.isFlushScheduled = true
    process.nextTick(() => {
      this.isFlushScheduled = false
      this.flushIfRead()
    })
  }

  private flushIfRead (): void {
    if (this.readableLength === 0) this.flush()
  }

  private flush (): void {
    for (const chunk of this.unread.takeAll()) super.push(chunk)
  }
}

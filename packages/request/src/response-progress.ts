/** Limits how much an upstream may send without its response getting further. */
import type { Readable } from 'node:stream'

/** Largest head, and what is read from the socket in advance. */
const MAXIMUM_BYTES_WITHOUT_PROGRESS = 262_144

/** Watches one response. Counts what the parser discards, too: status lines, chunk sizes and extensions, informational responses. */
export class ResponseProgress {
  private bytesAtProgress: number

  private constructor (private readonly stream: Readable, private readonly bytesRead: () => number, private readonly onExceeded: () => void) {
    this.bytesAtProgress = bytesRead()
    stream.on('readable', this.check)
  }

  /**
   * Calls back once if more bytes arrive than a response needs between its head and the next part of its body. `bytesRead` tells how
   * many have arrived so far on the connection that `stream` reads.
   */
  static watch (stream: Readable, bytesRead: () => number, onExceeded: () => void): ResponseProgress {
    return new ResponseProgress(stream, bytesRead, onExceeded)
  }

  /** Notes that the head or a part of the body arrived. */
  record (): void {
    this.bytesAtProgress = this.bytesRead()
  }

  end (): void {
    this.stream.off('readable', this.check)
  }

  private readonly check = (): void => {
    if (this.bytesRead() - this.bytesAtProgress <= MAXIMUM_BYTES_WITHOUT_PROGRESS) return
    this.end()
    this.onExceeded()
  }
}

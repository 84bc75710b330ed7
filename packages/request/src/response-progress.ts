/** Limits how much an upstream may send without its response getting further. */
import type { Socket } from 'node:net'

/** Largest head, and what is read from the socket in advance. */
const MAXIMUM_BYTES_WITHOUT_PROGRESS = 262_144

/** Watches one response. Counts what the parser discards, too: status lines, chunk sizes and extensions, informational responses. */
export class ResponseProgress {
  private bytesAtProgress: number

  private constructor (private readonly socket: Socket, private readonly onExceeded: () => void) {
    this.bytesAtProgress = socket.bytesRead
    socket.on('readable', this.check)
  }

  /** Calls back once if more bytes arrive than a response needs between its head and the next part of its body. */
  static watch (socket: Socket, onExceeded: () => void): ResponseProgress {
    return new ResponseProgress(socket, onExceeded)
  }

  /** Notes that the head or a part of the body arrived. */
  record (): void {
    this.bytesAtProgress = this.socket.bytesRead
  }

  end (): void {
    this.socket.off('readable', this.check)
  }

  private readonly check = (): void => {
    if (this.socket.bytesRead - this.bytesAtProgress <= MAXIMUM_BYTES_WITHOUT_PROGRESS) return
    this.end()
    this.onExceeded()
  }
}

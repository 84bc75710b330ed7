import type { Socket } from 'node:net'

const PIECE_BYTES = 16_384

/** Writes a text again and again, as fast as the other side reads, until the connection is closed. */
export function writeEndlessly (socket: Socket, text: string): void {
  const piece = Buffer.from(text.repeat(Math.ceil(PIECE_BYTES / text.length)))
  const send = (): void => {
    if (!socket.writable) return
    if (socket.write(piece)) setImmediate(send)
    else socket.once('drain', send)
  }
  send()
}

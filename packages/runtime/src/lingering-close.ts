/** Closes an accepted connection without a reset. */
import type { Socket } from 'node:net'
import type { Clock } from './clock.ts'

/** How long the client may take to close its side. */
const LINGER_MILLISECONDS = 5_000
/** A client that sends more than this is not waited for. */
const MAXIMUM_DISCARDED_BYTES = 67_108_864

/**
 * Ends the sending side behind what was written, and reads and discards input until the client closes its side. To close
 * a socket while input arrives would reset the connection, and the client would lose what it has not read yet.
 */
export function closeLingering (socket: Socket, clock: Clock): void {
  if (socket.destroyed) return
  const timer = clock.schedule(LINGER_MILLISECONDS, () => socket.destroy())
  socket.once('close', () => timer.cancel())
  discardInput(socket)
  socket.end()
}

function discardInput (socket: Socket): void {
  let bytes = 0
  // Detaches the HTTP parser, which would read further requests.
  socket.removeAllListeners('data')
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > MAXIMUM_DISCARDED_BYTES) socket.destroy()
  })
  socket.resume()
}

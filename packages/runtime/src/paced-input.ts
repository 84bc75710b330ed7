/** Gives the input of an HTTP connection to its parser in pieces, so that reading can stop between two requests. */
import type { Socket } from 'node:net'

/** What a `PacedInput` asks of the owner of its connection. */
export interface PacedInputOptions {
  /** Whether no further request may be read now. */
  readonly isHeld: () => boolean
  /** Whether the body of the last request is still being read. */
  readonly isInBody: () => boolean
  /** Whether there is memory to keep input that waits. Without it, reading stops as soon as something waits. */
  readonly mayKeep: () => boolean
  /** Called with each change of the number of bytes that are kept. */
  readonly onKept: (change: number) => void
}

/** Input that is kept for a connection whose next request must wait. With more, nothing is read from the connection. */
export const MAXIMUM_KEPT_BYTES = 65_536

const SWITCH_EVENTS = ['pause', 'resume'] as const
const END_OF_HEAD = '\r\n\r\n'
/** Longest piece. It limits how much of a head that is too large is parsed at once. */
const MAXIMUM_PIECE_BYTES = 4_096
/** Shortest piece of a body, which may contain what looks like the end of a head at every few bytes. */
const MINIMUM_BODY_PIECE_BYTES = 512
/** No request is shorter than this. */
const MINIMUM_HEAD_BYTES = 14

/**
 * Node.js parses everything that arrives at once and creates a request for each head in it, before it can stop reading.
 * The end of a connection is noticed only while it is read, so up to `MAXIMUM_KEPT_BYTES` are read although they wait.
 */
export class PacedInput {
  private readonly pieces: Buffer[] = []
  private keptBytes = 0
  /** Whether this object stopped reading, as enough is kept. */
  private isFull = false
  /** Whether nothing is read although nothing is kept. */
  private isSuspended = false
  private isFeeding = false
  private isStopped = false

  private constructor (
    private readonly socket: Socket,
    private readonly parse: (chunk: Buffer) => void,
    private readonly options: PacedInputOptions
  ) {
    socket.on('data', (chunk: Buffer) => this.receive(chunk))
    socket.on('resume', () => this.feed())
    socket.once('close', () => this.stop())
    // What waits was sent by a caller that takes no responses any more.
    socket.once('end', () => this.stop())
  }

  /** Call once the HTTP server listens to the connection. */
  static attach (socket: Socket, options: PacedInputOptions): PacedInput {
    const parsers = socket.listeners('data') as ((chunk: Buffer) => void)[]
    const switches = SWITCH_EVENTS.flatMap((event) => socket.listeners(event).map((listener) => [event, listener as () => void] as const))
    // Makes Node.js pass on what arrives, in place of parsing it where it is received.
    socket.removeAllListeners('data')
    // With the first listener to data Node.js gives up its own listeners that stop reading at a pause. Without them one more chunk is read.
    const input = new PacedInput(socket, (chunk) => { for (const parser of parsers) parser.call(socket, chunk) }, options)
    for (const [event, listener] of switches) if (!socket.listeners(event).includes(listener)) socket.prependListener(event, listener)
    return input
  }

  /** Whether input is kept that may hold further requests. */
  get isKeeping (): boolean {
    return this.keptBytes > 0
  }

  /** Parses what is kept, as far as requests may be read. */
  feed (): void {
    if (this.isFeeding || this.isStopped) return
    if (this.isSuspended) {
      if (this.options.isHeld()) return
      this.isSuspended = false
      this.socket.resume()
      return
    }
    this.isFeeding = true
    try {
      while (this.mayFeed()) this.parse(this.takePiece())
    } finally {
      this.isFeeding = false
    }
    this.adjustReading()
  }

  /** Reads nothing until `feed` is called and the next request may be read. Does nothing if input is kept, or a body is being read. */
  suspend (): void {
    if (this.isStopped || this.isSuspended || this.keptBytes > 0 || this.socket.isPaused() || this.options.isInBody()) return
    this.isSuspended = true
    this.socket.pause()
  }

  /** Discards what is kept and what arrives from now on. */
  stop (): void {
    this.isStopped = true
    this.pieces.length = 0
    this.count(-this.keptBytes)
  }

  private receive (chunk: Buffer): void {
    if (this.isStopped) return
    this.pieces.push(chunk)
    this.count(chunk.length)
    this.feed()
  }

  /** While Node.js has paused the connection, its parser takes nothing. */
  private mayFeed (): boolean {
    if (this.isStopped || this.keptBytes === 0 || this.socket.destroyed || this.socket.isPaused()) return false
    return this.options.isInBody() || !this.options.isHeld()
  }

  private takePiece (): Buffer {
    const [first = Buffer.alloc(0)] = this.pieces
    const shortest = this.options.isInBody() ? MINIMUM_BODY_PIECE_BYTES : MINIMUM_HEAD_BYTES
    const found = first.indexOf(END_OF_HEAD, shortest)
    const length = Math.min(first.length, MAXIMUM_PIECE_BYTES, found === -1 ? Infinity : found + END_OF_HEAD.length)
    if (length === first.length) this.pieces.shift()
    else this.pieces[0] = first.subarray(length)
    this.count(-length)
    return length === first.length ? first : first.subarray(0, length)
  }

  private adjustReading (): void {
    if (this.isStopped || this.socket.destroyed) return
    const isEnough = this.keptBytes >= (this.options.mayKeep() ? MAXIMUM_KEPT_BYTES : 1)
    if (this.isFull && (!isEnough || !this.options.isHeld())) {
      this.isFull = false
      // Emits `resume`, upon which what is kept is parsed.
      this.socket.resume()
    } else if (!this.isFull && isEnough && !this.socket.isPaused()) {
      this.isFull = true
      this.socket.pause()
    }
  }

  private count (change: number): void {
    if (change === 0) return
    this.keptBytes += change
    this.options.onKept(change)
  }
}

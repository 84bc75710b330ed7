/** Gives the input of an HTTP connection to its parser in pieces, so that reading can stop between two requests. */
import type { Socket } from 'node:net'
import { JoinedChunks } from './joined-chunks.ts'
import type { PieceShare, PieceTurns } from './piece-turns.ts'
import type { ReadTurns, WaitingInput } from './read-turns.ts'

/** What a `PacedInput` asks of the owner of its connection. */
export interface PacedInputOptions {
  /** Shares the turns of the event loop with the other connections of the server. */
  readonly turns: ReadTurns
  /** Whether no further request may be read now. */
  readonly isHeld: () => boolean
  /** Whether the body of the last request is still being read. */
  readonly isInBody: () => boolean
  /** Whether the rest of that body must wait, since other requests have to end first. */
  readonly isBodyHeld: () => boolean
  /** Length of the body of the last request; undefined for a body in chunks. */
  readonly bodyBytes: () => number | undefined
  /** Number of pieces of that body that the parser has found so far. */
  readonly bodyPieces: () => number
  /** Shares the turns among connections whose bodies have many pieces. */
  readonly pieceTurns: PieceTurns
  /** Whether there is memory to keep input that waits. Without it, reading stops as soon as something waits. */
  readonly mayKeep: () => boolean
  /** Called with each change of the number of bytes that are kept. */
  readonly onKept: (change: number) => void
}

/** Input that is kept for a connection whose next request must wait. With more, nothing is read from the connection. */
export const MAXIMUM_KEPT_BYTES = 65_536

const EMPTY = Buffer.alloc(0)
const SWITCH_EVENTS = ['pause', 'resume'] as const
const END_OF_HEAD = '\r\n\r\n'
/**
 * Shortest piece of a body in chunks, which may contain what looks like its end at every few bytes. With the end of such a body
 * at most 3 requests are read at once.
 */
const MINIMUM_CHUNKED_BYTES = 64
/** Longest piece of a body in chunks. How many chunks it holds is known only once it has been parsed. */
const MAXIMUM_CHUNKED_BYTES = 4_096
/** No request is shorter than this. */
const MINIMUM_HEAD_BYTES = 14
/** Bytes of the end of a head that may precede its last one. */
const TAIL_BYTES = END_OF_HEAD.length - 1

/**
 * Node.js parses everything that arrives at once and creates a request for each head in it, before it can stop reading.
 * The end of a connection is noticed only while it is read, so up to `MAXIMUM_KEPT_BYTES` are read although they wait.
 */
export class PacedInput implements WaitingInput {
  private readonly kept = JoinedChunks.create()
  private readonly share: PieceShare
  /** Whether others have their turn before more of a body is parsed. */
  private awaitsTurn = false
  /** The last bytes of a head whose end has not been parsed. */
  private headTail: Buffer | undefined
  /** What is left of the body of the last request; undefined if that is not known. */
  private bodyLeft: number | undefined
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
    this.share = options.pieceTurns.share(() => this.takePieceTurn())
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
    return this.kept.bytes > 0
  }

  /** Whether nothing of a further request has arrived. */
  get isBetweenRequests (): boolean {
    return this.kept.bytes === 0 && this.headTail === undefined && !this.options.isInBody()
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
      while (this.mayFeed() && this.parsePiece()) { /* Each piece decides whether the next one may be parsed. */ }
    } finally {
      this.isFeeding = false
    }
    this.adjustReading()
  }

  takeTurn (): void {
    this.feed()
  }

  /** Reads nothing until `feed` is called and the next request may be read. Does nothing if input is kept, or a body is being read. */
  suspend (): void {
    if (this.isStopped || this.isSuspended || this.kept.bytes > 0 || this.socket.isPaused() || this.options.isInBody()) return
    this.isSuspended = true
    this.socket.pause()
  }

  /** Discards what is kept and what arrives from now on. */
  stop (): void {
    this.isStopped = true
    this.options.turns.leave(this)
    this.share.leave()
    const { bytes } = this.kept
    this.kept.takeAll()
    this.reportKept(-bytes)
  }

  private receive (chunk: Buffer): void {
    if (this.isStopped) return
    this.kept.append(chunk)
    this.reportKept(chunk.length)
    this.feed()
  }

  /** While Node.js has paused the connection, its parser takes nothing. */
  private mayFeed (): boolean {
    if (this.isStopped || this.kept.bytes === 0 || this.socket.destroyed || this.socket.isPaused()) return false
    return this.mayGoOn()
  }

  /**
   * Parses what is kept up to the end of a head, or of a body, or as far as neither ends. Returns false, and parses nothing, if a head
   * ends in it and it is another connection's turn.
   */
  private parsePiece (): boolean {
    const { first = EMPTY } = this.kept
    const isInBody = this.options.isInBody()
    const piecesBefore = isInBody ? this.options.bodyPieces() : 0
    const end = isInBody ? this.bodyEnd(first) : this.headEnd(first)
    if (!isInBody && end !== undefined && !this.options.turns.take(this)) return false
    const piece = end === undefined || end >= first.length ? first : first.subarray(0, end)
    this.kept.dropFirst(piece.length)
    this.reportKept(-piece.length)
    if (!isInBody) this.headTail = end === undefined ? lastBytes(this.headTail, piece) : undefined
    else if (this.bodyLeft !== undefined) this.bodyLeft -= piece.length
    this.parse(piece)
    if (!isInBody) this.bodyLeft = end === undefined ? undefined : this.options.bodyBytes()
    else this.awaitsTurn = !this.share.take(Math.max(0, this.options.bodyPieces() - piecesBefore))
    return true
  }

  /** Where the head ends that starts in a chunk, or continues in it; undefined if it does not end in it. */
  private headEnd (chunk: Buffer): number | undefined {
    if (this.headTail === undefined) return endOf(chunk.indexOf(END_OF_HEAD, MINIMUM_HEAD_BYTES))
    const straddling = endOf(Buffer.concat([this.headTail, chunk.subarray(0, TAIL_BYTES)]).indexOf(END_OF_HEAD))
    return straddling === undefined ? endOf(chunk.indexOf(END_OF_HEAD)) : straddling - this.headTail.length
  }

  private bodyEnd (chunk: Buffer): number {
    if (this.bodyLeft !== undefined && this.bodyLeft > 0) return this.bodyLeft
    return Math.min(endOf(chunk.indexOf(END_OF_HEAD, MINIMUM_CHUNKED_BYTES)) ?? chunk.length, MAXIMUM_CHUNKED_BYTES)
  }

  private adjustReading (): void {
    if (this.isStopped || this.socket.destroyed) return
    const isEnough = this.kept.bytes >= (this.options.mayKeep() ? MAXIMUM_KEPT_BYTES : 1)
    if (this.isFull && (!isEnough || this.mayGoOn())) {
      this.isFull = false
      // Emits `resume`, upon which what is kept is parsed.
      this.socket.resume()
    } else if (isEnough && !this.socket.isPaused()) {
      this.isFull = true
      this.socket.pause()
    }
  }

  private mayGoOn (): boolean {
    if (this.awaitsTurn) return false
    return this.options.isInBody() ? !this.options.isBodyHeld() : !this.options.isHeld()
  }

  private takePieceTurn (): void {
    this.awaitsTurn = false
    this.feed()
  }

  private reportKept (change: number): void {
    if (change !== 0) this.options.onKept(change)
  }
}

function endOf (index: number): number | undefined {
  return index === -1 ? undefined : index + END_OF_HEAD.length
}

function lastBytes (before: Buffer | undefined, piece: Buffer): Buffer {
  return Buffer.from(Buffer.concat([before ?? Buffer.alloc(0), piece.subarray(-TAIL_BYTES)]).subarray(-TAIL_BYTES))
}

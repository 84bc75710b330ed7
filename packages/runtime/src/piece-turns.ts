/** Shares the turns of the event loop among connections whose bodies arrive in very many small pieces. */
import { TurnQueue } from './turn-queue.ts'

/** Pieces that one connection may hand on in a turn. */
const PIECES_PER_TURN = 512
/** The same once all connections together have used up a turn. Usual bodies have fewer. */
const PIECES_IN_FULL_TURN = 64
const MAXIMUM_PIECES = 4_096
/** Waiting connections that go on in one turn. */
const READERS_PER_TURN = MAXIMUM_PIECES / PIECES_PER_TURN

/**
 * Each piece costs time of its own, however short it is. A connection that has had its share reads nothing until it is called in a later
 * turn, behind those that have waited longer. Between two turns everything else that has arrived is handled.
 */
export class PieceTurns {
  private turn = 0
  private pieces = 0
  private readonly queue: TurnQueue<PieceShare>

  private constructor () {
    this.queue = TurnQueue.create({ maximumCalls: READERS_PER_TURN, onTurn: () => this.beginTurn(), call: (share) => share.readOn() })
  }

  static create (): PieceTurns {
    return new PieceTurns()
  }

  /** Number of connections that wait. */
  get waitingConnections (): number {
    return this.queue.size
  }

  /** The share of one connection. `readOn` is called in a later turn after `take` has returned false. */
  share (readOn: () => void): PieceShare {
    return PieceShare.create(this, readOn)
  }

  /** Number of the current turn. */
  current (): number {
    this.queue.schedule()
    return this.turn
  }

  /** Counts pieces of all connections; returns how many one of them may hand on in this turn. */
  count (pieces: number): number {
    this.pieces += pieces
    return this.pieces < MAXIMUM_PIECES ? PIECES_PER_TURN : PIECES_IN_FULL_TURN
  }

  wait (share: PieceShare): void {
    this.queue.wait(share)
  }

  leave (share: PieceShare): void {
    this.queue.leave(share)
  }

  private beginTurn (): void {
    this.turn += 1
    this.pieces = 0
  }
}

/** What one connection has had of the current turn. */
export class PieceShare {
  private turn = -1
  private pieces = 0

  private constructor (private readonly turns: PieceTurns, readonly readOn: () => void) {}

  static create (turns: PieceTurns, readOn: () => void): PieceShare {
    return new PieceShare(turns, readOn)
  }

  /** Counts pieces. Returns false if the connection must not read on until it is called. */
  take (pieces: number): boolean {
    const turn = this.turns.current()
    if (turn !== this.turn) this.pieces = 0
    this.turn = turn
    this.pieces += pieces
    if (this.pieces < this.turns.count(pieces)) return true
    this.turns.wait(this)
    return false
  }

  /** The connection is not called any more. */
  leave (): void {
    this.turns.leave(this)
  }
}

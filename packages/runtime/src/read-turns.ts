/** Shares the turns of the event loop among the connections of a server. */
import { TurnQueue } from './turn-queue.ts'

/** A connection whose next request is read in a later turn. */
export interface WaitingInput {
  /** Reads on; asks again before it reads a request. */
  takeTurn (): void
}

/** Requests of one turn that may end in it before all further ones wait, and connections that are called in the next turn. */
const MAXIMUM_REQUESTS = 16

/**
 * A request that is refused at once has ended before the event loop turns, so no limit on requests in work stops connections
 * that have sent thousands ahead. Therefore only some requests may end in the turn in which they were read. After that connections
 * wait, and those that wait read one request each, in the order in which they began to wait.
 */
export class ReadTurns {
  private turn = 0
  private endedAtOnce = 0
  private readonly queue: TurnQueue<WaitingInput>
  /** Connections that were called in this turn and have not read a request, and those that have. */
  private readonly called = new Set<WaitingInput>()
  private readonly served = new Set<WaitingInput>()

  private constructor () {
    this.queue = TurnQueue.create({ maximumCalls: MAXIMUM_REQUESTS, onTurn: () => this.beginTurn(), call: (input) => this.call(input) })
  }

  static create (): ReadTurns {
    return new ReadTurns()
  }

  /** Number of connections that wait. */
  get waitingConnections (): number {
    return this.queue.size
  }

  /** Records that a request was read; returns the number of the turn. */
  requestBegun (): number {
    this.queue.schedule()
    return this.turn
  }

  /** Records that a request has ended that was read in this turn. */
  requestEnded (begunInTurn: number): void {
    if (begunInTurn === this.turn) this.endedAtOnce += 1
  }

  /** Whether a connection may read a request now. If not, it is called when it may ask again. */
  take (input: WaitingInput): boolean {
    const isOver = this.endedAtOnce >= MAXIMUM_REQUESTS && !this.called.has(input)
    if (isOver || this.served.has(input)) {
      this.queue.wait(input)
      return false
    }
    if (this.called.delete(input)) this.served.add(input)
    this.queue.leave(input)
    return true
  }

  /** The connection does not read any more. */
  leave (input: WaitingInput): void {
    this.queue.leave(input)
  }

  private beginTurn (): void {
    this.turn += 1
    this.endedAtOnce = 0
    this.called.clear()
    this.served.clear()
  }

  private call (input: WaitingInput): void {
    this.called.add(input)
    input.takeTurn()
  }
}

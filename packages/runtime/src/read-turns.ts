/** Shares the turns of the event loop among the connections of a server. */

/** A connection whose next request is read in a later turn. */
export interface WaitingInput {
  /** Reads on; asks again before it reads a request. */
  takeTurn (): void
}

/** Requests that are read in one turn, each from another connection. */
const MAXIMUM_REQUESTS = 16
/** Bytes of request heads in one turn, since large heads take longer. One head is read in any case. */
const MAXIMUM_HEAD_BYTES = 65_536

/**
 * A request that is refused at once has ended before the event loop turns, so no limit on requests in work stops a connection
 * that has sent thousands ahead. Therefore each connection reads one request in a turn, and those that wait take turns in the
 * order in which they began to wait.
 */
export class ReadTurns {
  /** Connections that have read a request in this turn. */
  private readonly served = new Set<WaitingInput>()
  private readonly waiting = new Set<WaitingInput>()
  private headBytes = 0
  private isScheduled = false

  private constructor () {}

  static create (): ReadTurns {
    return new ReadTurns()
  }

  /** Number of connections that wait. */
  get waitingConnections (): number {
    return this.waiting.size
  }

  /** Whether a connection may read a request now whose head ends with this many bytes. If not, it is called when it may ask again. */
  take (input: WaitingInput, bytes: number): boolean {
    this.schedule()
    if (this.served.has(input) || this.isOver(bytes)) {
      this.waiting.add(input)
      return false
    }
    this.waiting.delete(input)
    this.served.add(input)
    this.headBytes += bytes
    return true
  }

  /** The connection does not read any more. */
  leave (input: WaitingInput): void {
    this.waiting.delete(input)
  }

  private isOver (bytes: number): boolean {
    if (this.served.size === 0) return false
    return this.served.size >= MAXIMUM_REQUESTS || this.headBytes + bytes > MAXIMUM_HEAD_BYTES
  }

  private schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    setImmediate(() => this.beginTurn())
  }

  private beginTurn (): void {
    this.isScheduled = false
    this.served.clear()
    this.headBytes = 0
    for (const input of [...this.waiting].slice(0, MAXIMUM_REQUESTS)) {
      this.waiting.delete(input)
      input.takeTurn()
    }
    if (this.waiting.size > 0) this.schedule()
  }
}

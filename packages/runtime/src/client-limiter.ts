/** Limits over all connections of a server: connections, requests in work, and what is held for them. */
import type { Clock } from './clock.ts'
import { ShedKind, type LimiterState } from './limiter-state.ts'
import { MemoryUse, type MemoryBudget } from './memory-budget.ts'
import { PieceTurns } from './piece-turns.ts'
import { ReadTurns } from './read-turns.ts'
import { StallList, type StallingRequest } from './stall-list.ts'

/** Counted for each connection: the sockets, parsers and listeners of Node.js take about this much. */
export const CONNECTION_BYTES = 8_192
/** Counted for each request in work, without its body and its response: a usual head in several forms, and its timers and signals. */
export const REQUEST_BYTES = 32_768
/** Requests in work that are allowed whatever is held. */
const MINIMUM_REQUESTS = 16
/** A connection without a whole request that is older than this is closed for a new one at the limit. */
const YOUNG_MILLISECONDS = 500
const LOG_INTERVAL_MILLISECONDS = 1_000
/** Memory that is freed by a garbage collection is not announced, so connections that wait are looked at again after this time. */
const WAITING_CHECK_MILLISECONDS = 100
/** Connections that read on at once. What each of them reads is known only afterwards. */
const WAKE_BATCH = 16

/** A body that has not grown for this long is given up when others need its memory or its place. */
const STALLED_BODY_MILLISECONDS = 1_000
/** A response of which nothing has been read for this long is given up when others need its place. */
const STALLED_READER_MILLISECONDS = 5_000

/** Dependencies of a `ClientLimiter`. */
export interface ClientLimiterOptions {
  readonly clock: Clock
  readonly maximumConnections: number
  /** Requests in work on all connections together. */
  readonly maximumRequests: number
  readonly budget: MemoryBudget
  /** Called at most once a second while something is refused or has to wait. */
  readonly report?: (state: LimiterState) => void
}

/** A connection that waits until it may read on, or that can be closed for another. */
export interface LimitedConnection {
  /** Reads on as far as the limits allow. */
  readOn (): void
  /** Reads nothing until it is told to read on, if no request of it is in work. */
  suspend (): void
  closeSilent (): void
}

/** What counts for one request in work. */
export interface RequestInWork {
  readonly bytes: number
  /** The turn of the event loop in which it was read. */
  readonly turn: number
}

export class ClientLimiter {
  readonly budget: MemoryBudget
  /** The turns in which the connections read requests. */
  readonly turns = ReadTurns.create()
  /** The turns in which they read bodies that come in many pieces. */
  readonly pieceTurns = PieceTurns.create()
  /** Number of times that something was refused or had to wait. */
  readonly shed: Record<ShedKind, number> = { connection: 0, silent_connection: 0, read_ahead: 0, pipeline: 0, body: 0, stalled_body: 0, stalled_reader: 0 }
  private readonly open = new Set<LimitedConnection>()
  /** Whether connections without requests do not read, as memory is short. */
  private isTight = false
  private inWork = 0
  private readonly waiting = new Set<LimitedConnection>()
  /** Connections that have not sent a whole request head, oldest first, with the time of their start. */
  private readonly silent = new Map<LimitedConnection, number>()
  /** Requests whose body is awaited. */
  private readonly bodies: StallList
  /** Requests whose response is not read. */
  private readonly readers: StallList
  private loggedAt = -Infinity
  private isWaking = false
  private isCheckScheduled = false

  private constructor (private readonly options: ClientLimiterOptions) {
    this.budget = options.budget
    this.bodies = StallList.create(options.clock, STALLED_BODY_MILLISECONDS)
    this.readers = StallList.create(options.clock, STALLED_READER_MILLISECONDS)
  }

  static create (options: ClientLimiterOptions): ClientLimiter {
    return new ClientLimiter(options)
  }

  get connections (): number {
    return this.open.size
  }

  get requests (): number {
    return this.inWork
  }

  /** Number of connections whose next request waits for others. */
  get waitingConnections (): number {
    return this.waiting.size
  }

  /** Whether a new connection may be kept. At the limit, one that has sent no request for some time is closed for it. */
  admitConnection (): boolean {
    if (this.budget.allows(MemoryUse.Connection) && this.open.size < this.options.maximumConnections) return true
    if (this.closeSilentConnection()) return true
    this.record(ShedKind.Connection)
    return false
  }

  connectionOpened (connection: LimitedConnection): void {
    this.open.add(connection)
    this.silent.set(connection, this.options.clock.monotonicMilliseconds())
    this.budget.count(CONNECTION_BYTES)
    this.checkTightness()
    if (this.isTight) this.suspend(connection)
  }

  connectionClosed (connection: LimitedConnection): void {
    this.open.delete(connection)
    this.silent.delete(connection)
    this.waiting.delete(connection)
    this.budget.count(-CONNECTION_BYTES)
    this.wake()
  }

  /** `extraBytes` is what its head takes beyond that of a usual request. Returns what counts for the request until it has ended. */
  requestBegun (connection: LimitedConnection, extraBytes = 0): RequestInWork {
    this.inWork += 1
    this.silent.delete(connection)
    const bytes = REQUEST_BYTES + extraBytes
    this.budget.count(bytes)
    this.checkTightness()
    return { bytes, turn: this.turns.requestBegun() }
  }

  requestEnded ({ bytes, turn }: RequestInWork): void {
    this.inWork -= 1
    this.budget.count(-bytes)
    this.turns.requestEnded(turn)
    this.wake()
  }

  /**
   * Whether a connection must wait with its next request. One with requests in work gives way before one without. A
   * connection that has to wait is told to read on once others have finished.
   */
  mustWait (connection: LimitedConnection, isAhead: boolean): boolean {
    if (this.mayRead(isAhead)) {
      this.waiting.delete(connection)
      return false
    }
    if (!this.waiting.has(connection)) this.record(ShedKind.ReadAhead)
    this.waiting.add(connection)
    this.scheduleCheck()
    return true
  }

  /** Records that a connection begins to wait because of its own requests. */
  pipelineHeld (): void {
    this.record(ShedKind.Pipeline)
  }

  /** Counts a part of a body that is buffered; false if the body must be refused. */
  takeBody (request: StallingRequest, bytes: number): boolean {
    this.bodies.remove(request)
    while (!this.budget.allows(MemoryUse.Body)) {
      if (this.dropStalledBody()) continue
      this.record(ShedKind.Body)
      return false
    }
    this.bodies.record(request)
    this.budget.count(bytes)
    this.checkTightness()
    return true
  }

  /** Records that a body is awaited from now on, or has grown, without counting it. */
  awaitBody (request: StallingRequest): void {
    this.bodies.record(request)
  }

  /** The body is not awaited any further. What is held of it still counts. */
  bodyEnded (request: StallingRequest): void {
    this.bodies.remove(request)
  }

  /** Records that a response can be sent on only once its client has read more. */
  awaitReader (request: StallingRequest): void {
    this.readers.record(request)
  }

  readerReady (request: StallingRequest): void {
    this.readers.remove(request)
  }

  /** Whether input may be kept that waits behind other requests. */
  get mayKeepInput (): boolean {
    return this.budget.allows(MemoryUse.ReadAhead)
  }

  /** Counts bytes that are held for a caller from now on, or with a negative number no longer. */
  hold (bytes: number): void {
    this.budget.count(bytes)
    if (bytes < 0) this.wake()
    else this.checkTightness()
  }

  /** Lets connections read on, those that have waited longest first. */
  private wake (): void {
    if (this.isWaking || this.waiting.size === 0) return
    this.isWaking = true
    setImmediate(() => {
      this.isWaking = false
      if (this.budget.allows(MemoryUse.ReadAhead)) this.isTight = false
      for (const connection of [...this.waiting].slice(0, this.isTight ? WAKE_BATCH : Infinity)) {
        if (!this.mayRead(false)) return
        this.waiting.delete(connection)
        connection.readOn()
      }
    })
  }

  /**
   * Each connection reads up to 64 kB before it can be told to wait. So once memory is short, those without requests in work
   * stop reading beforehand.
   */
  private checkTightness (): void {
    if (this.budget.allows(MemoryUse.ReadAhead)) {
      this.isTight = false
      return
    }
    if (this.isTight) return
    this.isTight = true
    for (const connection of this.open) this.suspend(connection)
  }

  private suspend (connection: LimitedConnection): void {
    connection.suspend()
    this.waiting.add(connection)
    this.scheduleCheck()
  }

  /** Some requests are read in any case, as only requests that end free the memory of input that waits. */
  private mayRead (isAhead: boolean): boolean {
    if (!isAhead && this.inWork < MINIMUM_REQUESTS) return true
    return this.inWork < this.options.maximumRequests && this.budget.allows(isAhead ? MemoryUse.ReadAhead : MemoryUse.Body)
  }

  private scheduleCheck (): void {
    if (this.isCheckScheduled) return
    this.isCheckScheduled = true
    this.options.clock.schedule(WAITING_CHECK_MILLISECONDS, () => {
      this.isCheckScheduled = false
      if (this.waiting.size === 0) return
      // Clients that make no progress must not keep out the others.
      for (let left = WAKE_BATCH; left > 0 && !this.mayRead(false); left -= 1) if (!this.dropStalledBody() && !this.dropStalledReader()) break
      this.wake()
      this.scheduleCheck()
    })
  }

  private closeSilentConnection (): boolean {
    const [oldest] = this.silent
    if (oldest === undefined) return false
    const [connection, startedAt] = oldest
    if (this.options.clock.monotonicMilliseconds() - startedAt < YOUNG_MILLISECONDS) return false
    this.record(ShedKind.SilentConnection)
    this.silent.delete(connection)
    connection.closeSilent()
    return true
  }

  private dropStalledBody (): boolean {
    if (!this.bodies.dropOldest()) return false
    this.record(ShedKind.StalledBody)
    return true
  }

  private dropStalledReader (): boolean {
    if (!this.readers.dropOldest()) return false
    this.record(ShedKind.StalledReader)
    return true
  }

  private record (kind: ShedKind): void {
    this.shed[kind] += 1
    const now = this.options.clock.monotonicMilliseconds()
    if (now - this.loggedAt < LOG_INTERVAL_MILLISECONDS) return
    this.loggedAt = now
    this.options.report?.({
      kind,
      connections: this.open.size,
      requests: this.inWork,
      waitingConnections: this.waiting.size,
      heldBytes: this.budget.heldBytes,
      limitBytes: this.budget.limitBytes,
      ...this.shed
    })
  }
}

/** Limits over all connections of a server: connections, requests in work, and what is held for them. */
import type { Clock } from './clock.ts'
import { ConnectionAdmission } from './connection-admission.ts'
import { ShedKind, ShedLog, type LimiterState, type ShedCounts } from './limiter-state.ts'
import { MemoryUse, type MemoryBudget } from './memory-budget.ts'
import { PieceTurns } from './piece-turns.ts'
import { ReadTurns } from './read-turns.ts'
import { StallList, type StallingRequest } from './stall-list.ts'
import type { ClosableConnection } from './unused-connections.ts'

/** Counted for each connection: the sockets, parsers and listeners of Node.js take about this much. */
export const CONNECTION_BYTES = 8_192
/** Counted for each request in work, without its body and its response: a usual head in several forms, and its timers and signals. */
export const REQUEST_BYTES = 32_768
/** Requests in work that are allowed whatever is held. */
const MINIMUM_REQUESTS = 16
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
export interface LimitedConnection extends ClosableConnection {
  /** Reads on as far as the limits allow. */
  readOn (): void
  /** Reads nothing until it is told to read on, if no request of it is in work. */
  suspend (): void
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
  private readonly connectionAdmission: ConnectionAdmission<LimitedConnection>
  /** Whether connections without requests do not read, as memory is short. */
  private isTight = false
  private inWork = 0
  private readonly waiting = new Set<LimitedConnection>()
  /** Requests whose body is awaited. */
  private readonly bodies: StallList
  /** Requests whose response is not read. */
  private readonly readers: StallList
  private readonly shedLog: ShedLog
  private isWaking = false
  private isCheckScheduled = false

  private constructor (private readonly options: ClientLimiterOptions) {
    this.budget = options.budget
    this.shedLog = ShedLog.create(options.clock, (kind) => this.report(kind))
    this.connectionAdmission = ConnectionAdmission.create({ ...options, shed: this.shedLog })
    this.bodies = StallList.create(options.clock, STALLED_BODY_MILLISECONDS)
    this.readers = StallList.create(options.clock, STALLED_READER_MILLISECONDS)
  }

  static create (options: ClientLimiterOptions): ClientLimiter {
    return new ClientLimiter(options)
  }

  /** Number of times that something was refused or had to wait. */
  get shed (): Readonly<ShedCounts> {
    return this.shedLog.counts
  }

  get connections (): number {
    return this.connectionAdmission.open.size
  }

  get requests (): number {
    return this.inWork
  }

  /** Number of connections whose next request waits for others. */
  get waitingConnections (): number {
    return this.waiting.size
  }

  /** Whether a new connection may be kept. */
  admitConnection (): boolean {
    return this.connectionAdmission.admit()
  }

  /** Whether no new connection has been able to be kept for some time. Ask this regularly. */
  isFull (): boolean {
    return this.connectionAdmission.isFull()
  }

  /** All requests of a connection have been answered. */
  connectionIdle (connection: LimitedConnection): void {
    this.connectionAdmission.answered(connection)
  }

  connectionOpened (connection: LimitedConnection): void {
    this.connectionAdmission.opened(connection)
    this.budget.count(CONNECTION_BYTES)
    this.checkTightness()
    if (this.isTight) this.suspend(connection)
  }

  connectionClosed (connection: LimitedConnection): void {
    this.connectionAdmission.closed(connection)
    this.waiting.delete(connection)
    this.budget.count(-CONNECTION_BYTES)
    this.wake()
  }

  /** `extraBytes` is what its head takes beyond that of a usual request. Returns what counts for the request until it has ended. */
  requestBegun (connection: LimitedConnection, extraBytes = 0): RequestInWork {
    this.inWork += 1
    this.connectionAdmission.requestBegun(connection)
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
    if (!this.waiting.has(connection)) this.shedLog.record(ShedKind.ReadAhead)
    this.waiting.add(connection)
    this.scheduleCheck()
    return true
  }

  /** Records that a connection begins to wait because of its own requests. */
  pipelineHeld (): void {
    this.shedLog.record(ShedKind.Pipeline)
  }

  /** Counts a part of a body that is buffered; false if the body must be refused. */
  takeBody (request: StallingRequest, bytes: number): boolean {
    this.bodies.remove(request)
    while (!this.budget.allows(MemoryUse.Body)) {
      if (this.dropStalledBody()) continue
      this.shedLog.record(ShedKind.Body)
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
    for (const connection of this.connectionAdmission.open) this.suspend(connection)
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

  private dropStalledBody (): boolean {
    if (!this.bodies.dropOldest()) return false
    this.shedLog.record(ShedKind.StalledBody)
    return true
  }

  private dropStalledReader (): boolean {
    if (!this.readers.dropOldest()) return false
    this.shedLog.record(ShedKind.StalledReader)
    return true
  }

  private report (kind: ShedKind): void {
    this.options.report?.({
      kind,
      connections: this.connectionAdmission.open.size,
      requests: this.inWork,
      waitingConnections: this.waiting.size,
      heldBytes: this.budget.heldBytes,
      limitBytes: this.budget.limitBytes,
      ...this.shed
    })
  }
}

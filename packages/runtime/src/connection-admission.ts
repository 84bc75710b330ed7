/** Decides which connections of clients are kept, and which give way to new ones. */
import type { Clock } from './clock.ts'
import { ShedKind, type ShedLog } from './limiter-state.ts'
import { MemoryUse, type MemoryBudget } from './memory-budget.ts'
import { UnusedConnections, type ClosableConnection } from './unused-connections.ts'

/** Dependencies of a `ConnectionAdmission`. */
export interface ConnectionAdmissionOptions {
  readonly clock: Clock
  readonly maximumConnections: number
  readonly budget: MemoryBudget
  readonly shed: ShedLog
}

/** A server that has been full for this long says that it is not ready. */
const FULL_MILLISECONDS = 1_000

export class ConnectionAdmission<Connection extends ClosableConnection> {
  /** All connections that are open. */
  readonly open = new Set<Connection>()
  private readonly unused: UnusedConnections<Connection>
  /** Since when a new connection would be refused, as far as was asked; undefined if it would be kept. */
  private fullSince: number | undefined

  private constructor (private readonly options: ConnectionAdmissionOptions) {
    this.unused = UnusedConnections.create(options.clock)
  }

  static create<Connection extends ClosableConnection> (options: ConnectionAdmissionOptions): ConnectionAdmission<Connection> {
    return new ConnectionAdmission(options)
  }

  /** Whether a new connection may be kept. At the limit, one that has had no request for some time is closed for it. */
  admit (): boolean {
    if (this.hasRoom || this.closeUnused()) return true
    this.options.shed.record(ShedKind.Connection)
    return false
  }

  /** Whether no new connection has been able to be kept for some time. Ask this regularly. */
  isFull (): boolean {
    const now = this.options.clock.monotonicMilliseconds()
    if (this.hasRoom || this.unused.first() !== undefined) this.fullSince = undefined
    else this.fullSince ??= now
    return this.fullSince !== undefined && now - this.fullSince >= FULL_MILLISECONDS
  }

  opened (connection: Connection): void {
    this.open.add(connection)
    this.unused.opened(connection)
  }

  closed (connection: Connection): void {
    this.open.delete(connection)
    this.unused.remove(connection)
  }

  requestBegun (connection: Connection): void {
    this.unused.remove(connection)
  }

  /** All requests of a connection have been answered. */
  answered (connection: Connection): void {
    if (this.open.has(connection)) this.unused.answered(connection)
  }

  private get hasRoom (): boolean {
    return this.options.budget.allows(MemoryUse.Connection) && this.open.size < this.options.maximumConnections
  }

  private closeUnused (): boolean {
    const unused = this.unused.first()
    if (unused === undefined) return false
    this.options.shed.record(unused.isSilent ? ShedKind.SilentConnection : ShedKind.IdleConnection)
    this.unused.remove(unused.connection)
    unused.connection.closeUnused()
    return true
  }
}

/** Connections of clients without a request in work, which give way to new connections at the limit. */
import type { Clock } from './clock.ts'

/** A connection that can be closed for another. */
export interface ClosableConnection {
  /** Whether nothing has arrived of a further request, as far as can be told. */
  readonly isBetweenRequests: boolean
  /** Closes a connection that has no request in work. */
  closeUnused (): void
}

/** A connection that may be closed, and whether it has never sent a request. */
export interface UnusedConnection<Connection> {
  readonly connection: Connection
  readonly isSilent: boolean
}

/** A connection that is younger, or has been idle for less time, is not closed for another. */
const YOUNG_MILLISECONDS = 500
/** A further request whose head is not complete after this time gives way, too. */
const SLOW_HEAD_MILLISECONDS = 3_000
/** Idle connections that are looked at for one on which no further request has begun to arrive. */
const MAXIMUM_LOOKED_AT = 16

export class UnusedConnections<Connection extends ClosableConnection> {
  /** Connections that have not sent a whole request head, oldest first, with the time of their start. */
  private readonly silent = new Map<Connection, number>()
  /** Connections whose requests have all been answered, longest idle first, with the time of the last response. */
  private readonly idle = new Map<Connection, number>()

  private constructor (private readonly clock: Clock) {}

  static create<Connection extends ClosableConnection> (clock: Clock): UnusedConnections<Connection> {
    return new UnusedConnections(clock)
  }

  opened (connection: Connection): void {
    this.silent.set(connection, this.clock.monotonicMilliseconds())
  }

  /** The last of the connection's requests has been answered. */
  answered (connection: Connection): void {
    this.idle.delete(connection)
    this.idle.set(connection, this.clock.monotonicMilliseconds())
  }

  /** The connection has a request in work, or is closed. */
  remove (connection: Connection): void {
    this.silent.delete(connection)
    this.idle.delete(connection)
  }

  /** The connection that gives way first; undefined if none does. */
  first (): UnusedConnection<Connection> | undefined {
    const [oldest] = this.silent
    if (oldest !== undefined && this.age(oldest[1]) >= YOUNG_MILLISECONDS) return { connection: oldest[0], isSilent: true }
    const connection = this.firstIdle()
    return connection === undefined ? undefined : { connection, isSilent: false }
  }

  private firstIdle (): Connection | undefined {
    let slow: Connection | undefined
    let lookedAt = 0
    for (const [connection, since] of this.idle) {
      const age = this.age(since)
      if (age < YOUNG_MILLISECONDS || lookedAt === MAXIMUM_LOOKED_AT) return slow
      if (connection.isBetweenRequests) return connection
      if (age >= SLOW_HEAD_MILLISECONDS) slow ??= connection
      lookedAt += 1
    }
    return slow
  }

  private age (since: number): number {
    return this.clock.monotonicMilliseconds() - since
  }
}

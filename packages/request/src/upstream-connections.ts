/** The connections of an entry to upstreams, which are kept and used again. */
import type { Clock } from '@hickoryspoke/runtime/clock'
import { PieceTurns } from '@hickoryspoke/runtime/piece-turns'
import { Err, Ok, type Result } from 'ts-results-es'
import { ConnectFailure, DirectConnector, type Connector } from './connector.ts'
import { DEFAULT_CONNECTION_SETTINGS, UpstreamConnection, type ConnectionSettings } from './upstream-connection.ts'

/** Requirements on a connection. `maximumIdleMilliseconds` limits how long a reused connection may have been idle. */
export interface ConnectionOptions {
  readonly address: string
  readonly maximumIdleMilliseconds: number
  /** Maximum number of connections to the upstream; evaluated only before opening another one. */
  readonly maximumOpen?: (() => number) | undefined
  /** Identifier of the request; see `UpstreamRequest`. */
  readonly requestId?: string | undefined
  /** Whether the connection may go through the entry at this IP:PORT; through any by default. */
  readonly mayRelayThrough?: (relay: string) => boolean
  readonly signal: AbortSignal
}

/** An entry that relays connections may stop, so no request is sent on a relayed connection that is older than this. */
const RELAYED_USE_MILLISECONDS = 1_000
const EMPTY_POOL_RETENTION_MILLISECONDS = 1000
const MAXIMUM_REMEMBERED_LOSSES = 8
const LOSSES_INDICATING_CRASH = 2

interface AddressPool {
  readonly idle: UpstreamConnection[]
  open: number
  /** Monotonic times of the latest connections that were lost, that is, not closed by this entry. */
  readonly lost: number[]
}

/** Pools the connections of this entry by upstream. Connections are established before a request is assigned to them. */
export class UpstreamConnections {
  /** The turns in which the responses on these connections are read. */
  readonly turns = PieceTurns.create()
  private readonly pools = new Map<string, AddressPool>()
  private readonly all = new Set<UpstreamConnection>()
  private opening = 0

  private constructor (private readonly clock: Clock, private readonly settings: ConnectionSettings, private readonly connector: Connector) {}

  /** `connector` opens the connections; by default they go over this VM's own network. */
  static create (clock: Clock, settings: Partial<ConnectionSettings> = {}, connector?: Connector): UpstreamConnections {
    const complete = { ...DEFAULT_CONNECTION_SETTINGS, ...settings }
    return new UpstreamConnections(clock, complete, connector ?? DirectConnector.create(clock, complete.connectTimeoutMilliseconds))
  }

  /** Whether connections are kept only for as long as upstreams state. */
  get keepsAsStated (): boolean {
    return this.settings.keeping !== undefined
  }

  /** Returns a sufficiently fresh idle connection or a new one. An error proves that nothing was sent. */
  async acquire (question: ConnectionOptions): Promise<Result<UpstreamConnection, ConnectFailure>> {
    const pool = this.poolOf(question.address)
    const idle = this.takeIdle(pool, question)
    if (idle !== undefined) {
      idle.carry(question.requestId)
      return Ok(idle)
    }
    const maximum = Math.min(this.settings.maximumPerUpstream, question.maximumOpen?.() ?? Infinity)
    if (this.all.size + this.opening >= this.settings.maximumInTotal && !this.closeIdle()) {
      return Err(ConnectFailure.create('too_many_connections', 'too many connections to upstreams'))
    }
    if (pool.open >= maximum) return Err(ConnectFailure.create('too_many_connections', 'too many connections to this upstream'))
    return await this.open(question, pool)
  }

  /** Returns a connection to the pool after its request, or closes it if it is not reusable. */
  release (connection: UpstreamConnection, reusable: boolean): void {
    if (!reusable || !connection.isOpen || connection.isWornOut || this.isOutdated(connection) || !this.mayKeep(connection)) {
      connection.destroy()
      return
    }
    connection.idleSinceMilliseconds = this.clock.monotonicMilliseconds()
    this.poolOf(connection.address).idle.push(connection)
  }

  /**
   * Whether an upstream has gone down since a time on the monotonic clock: no connection to it is open, and either
   * several were lost or a new one cannot be established.
   */
  async wentDown (address: string, sinceMilliseconds: number): Promise<boolean> {
    const pool = this.pools.get(address)
    if (pool !== undefined && pool.open > 0) return false
    const lost = pool?.lost.filter((at) => at >= sinceMilliseconds - this.settings.connectTimeoutMilliseconds).length ?? 0
    if (lost >= LOSSES_INDICATING_CRASH) return true
    const connection = await this.acquire({ address, maximumIdleMilliseconds: 0, signal: new AbortController().signal })
    if (connection.isOk()) this.release(connection.value, true)
    return connection.isErr()
  }

  /** Number of open connections, including idle ones. */
  get openConnections (): number {
    return this.all.size
  }

  /** Closes all connections on shutdown. */
  close (): void {
    for (const connection of this.all) connection.destroy()
    this.pools.clear()
  }

  /** Closes an idle connection to make room for another one; false when there is none. It no longer counts, although its close arrives later. */
  private closeIdle (): boolean {
    for (const { idle } of this.pools.values()) {
      const connection = idle.shift()
      if (connection === undefined) continue
      this.all.delete(connection)
      connection.destroy()
      return true
    }
    return false
  }

  private poolOf (address: string): AddressPool {
    const existing = this.pools.get(address)
    if (existing !== undefined) return existing
    const created: AddressPool = { idle: [], open: 0, lost: [] }
    this.pools.set(address, created)
    return created
  }

  private takeIdle (pool: AddressPool, { maximumIdleMilliseconds, requestId, mayRelayThrough }: ConnectionOptions): UpstreamConnection | undefined {
    const oldest = this.clock.monotonicMilliseconds() - maximumIdleMilliseconds
    for (let index = pool.idle.length - 1; index >= 0; index -= 1) {
      const connection = pool.idle[index] as UpstreamConnection
      if (connection.idleSinceMilliseconds < oldest) return undefined
      if (connection.relay !== '' && mayRelayThrough?.(connection.relay) === false) continue
      if (connection.mayConfuse(requestId)) continue
      pool.idle.splice(index, 1)
      if (connection.isOpen && !this.isOutdated(connection) && !this.isKeptTooLong(connection)) {
        connection.isReused = true
        return connection
      }
      connection.destroy()
    }
    return undefined
  }

  private mayKeep ({ address, statedKeepAliveMilliseconds }: UpstreamConnection): boolean {
    const { keeping } = this.settings
    if (keeping === undefined) return true
    return statedKeepAliveMilliseconds > keeping.marginMilliseconds && this.poolOf(address).idle.length < keeping.maximumIdlePerUpstream
  }

  /** Whether the upstream may be about to close it. */
  private isKeptTooLong ({ idleSinceMilliseconds, statedKeepAliveMilliseconds }: UpstreamConnection): boolean {
    const { keeping } = this.settings
    if (keeping === undefined) return false
    return this.clock.monotonicMilliseconds() - idleSinceMilliseconds >= statedKeepAliveMilliseconds - keeping.marginMilliseconds
  }

  private isOutdated ({ relay, openedAtMilliseconds }: UpstreamConnection): boolean {
    return relay !== '' && this.clock.monotonicMilliseconds() - openedAtMilliseconds > RELAYED_USE_MILLISECONDS
  }

  private async open (question: ConnectionOptions, pool: AddressPool): Promise<Result<UpstreamConnection, ConnectFailure>> {
    pool.open += 1
    this.opening += 1
    const opened = await this.connector.connect(question.address, question.signal, question.mayRelayThrough)
    this.opening -= 1
    if (opened.isErr()) {
      this.countClosed(question.address, pool)
      return opened
    }
    const connection = UpstreamConnection.create(question.address, opened.value, this.settings)
    connection.carry(question.requestId)
    connection.openedAtMilliseconds = this.clock.monotonicMilliseconds()
    this.all.add(connection)
    connection.onClosed(() => {
      this.all.delete(connection)
      if (!connection.isClosedLocally) pool.lost.push(this.clock.monotonicMilliseconds())
      if (pool.lost.length > MAXIMUM_REMEMBERED_LOSSES) pool.lost.shift()
      const index = pool.idle.indexOf(connection)
      if (index !== -1) pool.idle.splice(index, 1)
      this.countClosed(question.address, pool)
      connection.client.destroy().catch(() => {})
    })
    return Ok(connection)
  }

  private countClosed (address: string, pool: AddressPool): void {
    pool.open -= 1
    if (pool.open > 0 || this.pools.get(address) !== pool) return
    this.clock.schedule(EMPTY_POOL_RETENTION_MILLISECONDS, () => {
      if (pool.open === 0 && this.pools.get(address) === pool) this.pools.delete(address)
    })
  }
}

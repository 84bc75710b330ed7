import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'
import { ConnectFailure, DirectConnector, endedByReset, type Connector, type OpenConnection } from './connector.ts'
import type { KeepingSettings } from './kept-connections.ts'
import type { RelayedStream } from './relayed-stream.ts'
import { ResponseProgress } from './response-progress.ts'
import { Client } from './undici-client.ts'

/** Timeouts and limits of the connections of one entry. */
export interface ConnectionSettings {
  readonly connectTimeoutMilliseconds: number
  readonly maximumPerUpstream: number
  /** Connections to all upstreams together, so that descriptors are left for everything else. */
  readonly maximumInTotal: number
  readonly idleMilliseconds: number
  readonly maximumAnswerHeaderBytes: number
  /** Keeps connections only for as long as upstreams state. Without it, each is kept for `idleMilliseconds`. */
  readonly keeping?: KeepingSettings
}

export const DEFAULT_CONNECTION_SETTINGS: ConnectionSettings = {
  connectTimeoutMilliseconds: 500,
  maximumPerUpstream: 64,
  maximumInTotal: 1_536,
  idleMilliseconds: 4000,
  maximumAnswerHeaderBytes: 32_768
}

/** The only socket of an undici client has closed, so the client cannot connect. Nothing was sent. */
export class ConnectionGone extends Failure {
  readonly code = 'connection_gone'

  static create (): ConnectionGone {
    return new ConnectionGone('the connection was closed before the request was sent')
  }
}

/** This entry closed the connection. A response that was being received is not complete. */
export class ConnectionClosed extends Failure {
  readonly code = 'connection_closed'

  static create (): ConnectionClosed {
    return new ConnectionClosed('the connection was closed by this entry')
  }
}

/** Requirements on a connection. `maximumIdleMilliseconds` limits how long a reused connection may have been idle. */
export interface ConnectionOptions {
  readonly address: string
  readonly maximumIdleMilliseconds: number
  /** Maximum number of connections to the upstream; evaluated only before opening another one. */
  readonly maximumOpen?: () => number
  /** Whether the connection may go through the entry at this IP:PORT; through any by default. */
  readonly mayRelayThrough?: (relay: string) => boolean
  readonly signal: AbortSignal
}

const RESET_ERROR_CODE = 'ECONNRESET'
const HANDLED_RESET_CODE = 'connection_reset'

/** One TCP connection to an upstream. It carries one request at a time and is never reopened. */
export class UpstreamConnection {
  openedAtMilliseconds = 0
  idleSinceMilliseconds = 0
  /** How long the upstream said that it keeps the connection; 0 if it did not. */
  statedKeepAliveMilliseconds = 0
  /** Whether an earlier request used it. */
  isReused = false
  /** The connection was closed by this entry rather than by the upstream. */
  isClosedLocally = false
  /** Called at the end of the upstream's side, before undici learns of it. */
  beforeEnd: () => void = () => {}
  private hasSocketError = false
  readonly relay: string
  private readonly socket: Socket
  private readonly relayed: RelayedStream | undefined
  /** What carries requests and responses. */
  private readonly stream: Duplex

  private constructor (readonly address: string, readonly client: Client, { socket, relay, relayed }: OpenConnection) {
    this.relay = relay
    this.socket = socket
    this.relayed = relayed
    this.stream = relayed ?? socket
    this.stream.on('error', (error: NodeJS.ErrnoException) => {
      this.hasSocketError = true
      // undici takes a connection reset for a possible end of the response, and its parser must not be paused then.
      if (error.code === RESET_ERROR_CODE) error.code = HANDLED_RESET_CODE
    })
    this.stream.on('end', () => this.beforeEnd())
  }

  /** Whether the end of the connection tells whether the upstream has ended. A relay of an earlier version does not pass that on. */
  get tellsUpstreamEnd (): boolean {
    return this.relay === '' || this.relayed !== undefined
  }

  /** Whether the upstream itself closed the connection in order. Read this only once, at the end of a response. */
  get endedInOrder (): boolean {
    if (this.hasSocketError || !this.tellsUpstreamEnd) return false
    return this.relayed?.hasUpstreamEnded ?? !endedByReset(this.socket)
  }

  /** Sends the requests to the upstream at `address` over an open connection. */
  static create (address: string, opened: OpenConnection, settings: ConnectionSettings): UpstreamConnection {
    // The client uses only what any stream has.
    const stream = (opened.relayed ?? opened.socket) as Socket
    let isSocketUsed = false
    const client = new Client(`http://${address}`, {
      connect: (_, callback) => {
        const isFirst = !isSocketUsed
        isSocketUsed = true
        queueMicrotask(() => isFirst ? callback(null, stream) : callback(ConnectionGone.create(), null))
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: settings.idleMilliseconds,
      keepAliveMaxTimeout: settings.idleMilliseconds,
      ...(settings.keeping === undefined ? {} : { keepAliveTimeoutThreshold: settings.keeping.marginMilliseconds }),
      maxHeaderSize: settings.maximumAnswerHeaderBytes
    })
    return new UpstreamConnection(address, client, opened)
  }

  get isOpen (): boolean {
    return !this.stream.destroyed && this.stream.writable && !this.client.destroyed
  }

  /** Watches the response to a request; calls back if too much arrives without the response getting further. */
  watchProgress (onExceeded: () => void): ResponseProgress {
    return ResponseProgress.watch(this.stream, () => this.socket.bytesRead, onExceeded)
  }

  /** Calls back once the connection is closed and everything that had arrived was read. */
  onClosed (task: () => void): void {
    this.stream.once('close', task)
  }

  /** Bytes read from the socket so far. */
  get bytesRead (): number {
    return this.socket.bytesRead
  }

  /** Bytes written to the socket so far. */
  get bytesWritten (): number {
    return this.socket.bytesWritten
  }

  /** Closes the connection immediately. A request in progress on it fails. */
  destroy (): void {
    if (!this.stream.destroyed) this.isClosedLocally = true
    // Without an error, undici takes the close for a possible end of the response, and its parser must not be paused then.
    this.stream.destroy(ConnectionClosed.create())
    this.client.destroy().catch(() => {})
  }
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
    if (idle !== undefined) return Ok(idle)
    const maximum = Math.min(this.settings.maximumPerUpstream, question.maximumOpen?.() ?? Infinity)
    if (this.all.size + this.opening >= this.settings.maximumInTotal && !this.closeIdle()) {
      return Err(ConnectFailure.create('too_many_connections', 'too many connections to upstreams'))
    }
    if (pool.open >= maximum) return Err(ConnectFailure.create('too_many_connections', 'too many connections to this upstream'))
    return await this.open(question, pool)
  }

  /** Returns a connection to the pool after its request, or closes it if it is not reusable. */
  release (connection: UpstreamConnection, reusable: boolean): void {
    if (!reusable || !connection.isOpen || this.isOutdated(connection) || !this.mayKeep(connection)) {
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

  private takeIdle (pool: AddressPool, { maximumIdleMilliseconds, mayRelayThrough }: ConnectionOptions): UpstreamConnection | undefined {
    const oldest = this.clock.monotonicMilliseconds() - maximumIdleMilliseconds
    for (let index = pool.idle.length - 1; index >= 0; index -= 1) {
      const connection = pool.idle[index] as UpstreamConnection
      if (connection.idleSinceMilliseconds < oldest) return undefined
      if (connection.relay !== '' && mayRelayThrough?.(connection.relay) === false) continue
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

import { connect, type Socket } from 'node:net'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'
import { Client } from 'undici'

/** Limits on the connections of one entry. */
export interface ConnectionSettings {
  readonly connectTimeoutMilliseconds: number
  readonly maximumPerUpstream: number
  readonly idleMilliseconds: number
  readonly maximumAnswerHeaderBytes: number
}

export const DEFAULT_CONNECTION_SETTINGS: ConnectionSettings = {
  connectTimeoutMilliseconds: 500,
  maximumPerUpstream: 64,
  idleMilliseconds: 4000,
  maximumAnswerHeaderBytes: 32_768
}

/** No connection could be had, so nothing was sent. */
export class ConnectFailure extends Failure {
  private constructor (readonly code: 'connect_refused' | 'connect_timeout' | 'too_many_connections' | 'connect_aborted', message: string) {
    super(message)
  }

  static create (code: ConnectFailure['code'], message: string): ConnectFailure {
    return new ConnectFailure(code, message)
  }
}

/** A connection was asked of a client whose only socket is gone; nothing was sent on it. */
export class ConnectionGone extends Failure {
  readonly code = 'connection_gone'

  static create (): ConnectionGone {
    return new ConnectionGone('the connection was closed before the request was sent')
  }
}

/** What a connection must satisfy. `maximumIdleMilliseconds` bounds how long it may have been idle. */
export interface ConnectionQuestion {
  readonly address: string
  readonly maximumIdleMilliseconds: number
  /** Most connections of this entry to the upstream; asked only when one more is to be opened. */
  readonly maximumOpen?: () => number
  readonly signal: AbortSignal
}

/** One TCP connection to an upstream, used by one request at a time and never opened again. */
export class UpstreamConnection {
  idleSinceMilliseconds = 0
  /** This entry closed it, not the upstream. */
  isGivenUp = false
  private hasFailed = false

  private constructor (readonly address: string, readonly client: Client, private readonly socket: Socket) {
    socket.on('error', () => { this.hasFailed = true })
  }

  /**
   * The connection was reset or broke, rather than being closed in order. A reset that arrives together with the last
   * bytes is reported as an end of file; then the system no longer knows a peer, as it does after an orderly end.
   * To be asked once, at the end of an answer: a peer that is known is remembered.
   */
  get hasBroken (): boolean {
    return this.hasFailed || this.socket.remoteAddress === undefined
  }

  static create (address: string, socket: Socket, settings: ConnectionSettings): UpstreamConnection {
    let handedOver = false
    const client = new Client(`http://${address}`, {
      connect: (_, callback) => {
        const isFirst = !handedOver
        handedOver = true
        queueMicrotask(() => isFirst ? callback(null, socket) : callback(ConnectionGone.create(), null))
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: settings.idleMilliseconds,
      keepAliveMaxTimeout: settings.idleMilliseconds,
      maxHeaderSize: settings.maximumAnswerHeaderBytes
    })
    return new UpstreamConnection(address, client, socket)
  }

  get isOpen (): boolean {
    return !this.socket.destroyed && this.socket.writable && !this.client.destroyed
  }

  /** Bytes handed to the socket so far. */
  get bytesWritten (): number {
    return this.socket.bytesWritten
  }

  /** Closes at once; what runs on it fails. */
  destroy (): void {
    if (!this.socket.destroyed) this.isGivenUp = true
    this.socket.destroy()
    this.client.destroy().catch(() => {})
  }
}

const EMPTY_POOL_MILLISECONDS = 1000
const LOSSES_REMEMBERED = 8
const LOSSES_OF_ONE_CRASH = 2

interface AddressPool {
  readonly idle: UpstreamConnection[]
  open: number
  /** When connections that were not given back by this entry were lost, in monotonic milliseconds; the latest only. */
  readonly lost: number[]
}

/** The connections of this entry to all upstreams: connect first, send after. */
export class UpstreamConnections {
  private readonly pools = new Map<string, AddressPool>()
  private readonly all = new Set<UpstreamConnection>()

  private constructor (private readonly clock: Clock, private readonly settings: ConnectionSettings) {}

  static create (clock: Clock, settings: Partial<ConnectionSettings> = {}): UpstreamConnections {
    return new UpstreamConnections(clock, { ...DEFAULT_CONNECTION_SETTINGS, ...settings })
  }

  /** An idle connection that is fresh enough, or a new one. An error proves that nothing was sent. */
  async acquire (question: ConnectionQuestion): Promise<Result<UpstreamConnection, ConnectFailure>> {
    const pool = this.poolOf(question.address)
    const idle = this.takeIdle(pool, question.maximumIdleMilliseconds)
    if (idle !== undefined) return Ok(idle)
    const maximum = Math.min(this.settings.maximumPerUpstream, question.maximumOpen?.() ?? Infinity)
    if (pool.open >= maximum) return Err(ConnectFailure.create('too_many_connections', 'too many connections to this upstream'))
    return await this.open(question, pool)
  }

  /** Gives a connection back after its request; it is kept only while it is open and asked to be kept. */
  release (connection: UpstreamConnection, reusable: boolean): void {
    if (!reusable || !connection.isOpen) {
      connection.destroy()
      return
    }
    connection.idleSinceMilliseconds = this.clock.monotonicMilliseconds()
    this.poolOf(connection.address).idle.push(connection)
  }

  /**
   * Whether an upstream went down since a moment on the monotonic clock: it refuses connections,
   * or it lost several at once and kept none.
   */
  async wentDown (address: string, sinceMilliseconds: number): Promise<boolean> {
    const pool = this.pools.get(address)
    if (pool !== undefined && pool.open > 0) return false
    const lost = pool?.lost.filter((at) => at >= sinceMilliseconds - this.settings.connectTimeoutMilliseconds).length ?? 0
    if (lost >= LOSSES_OF_ONE_CRASH) return true
    const connection = await this.acquire({ address, maximumIdleMilliseconds: 0, signal: new AbortController().signal })
    if (connection.isOk()) this.release(connection.value, true)
    return connection.isErr()
  }

  /** Open connections, idle ones included. */
  get openConnections (): number {
    return this.all.size
  }

  /** Closes every connection; for the end of the program. */
  close (): void {
    for (const connection of this.all) connection.destroy()
    this.pools.clear()
  }

  private poolOf (address: string): AddressPool {
    const known = this.pools.get(address)
    if (known !== undefined) return known
    const created: AddressPool = { idle: [], open: 0, lost: [] }
    this.pools.set(address, created)
    return created
  }

  private takeIdle (pool: AddressPool, maximumIdleMilliseconds: number): UpstreamConnection | undefined {
    const oldest = this.clock.monotonicMilliseconds() - maximumIdleMilliseconds
    for (let index = pool.idle.length - 1; index >= 0; index -= 1) {
      const connection = pool.idle[index] as UpstreamConnection
      if (connection.idleSinceMilliseconds < oldest) return undefined
      pool.idle.splice(index, 1)
      if (connection.isOpen) return connection
    }
    return undefined
  }

  private async open (question: ConnectionQuestion, pool: AddressPool): Promise<Result<UpstreamConnection, ConnectFailure>> {
    pool.open += 1
    const socket = await this.connectSocket(question)
    if (socket.isErr()) {
      this.forget(question.address, pool)
      return socket
    }
    const connection = UpstreamConnection.create(question.address, socket.value, this.settings)
    this.all.add(connection)
    socket.value.once('close', () => {
      this.all.delete(connection)
      if (!connection.isGivenUp) pool.lost.push(this.clock.monotonicMilliseconds())
      if (pool.lost.length > LOSSES_REMEMBERED) pool.lost.shift()
      const index = pool.idle.indexOf(connection)
      if (index !== -1) pool.idle.splice(index, 1)
      this.forget(question.address, pool)
      connection.client.destroy().catch(() => {})
    })
    return Ok(connection)
  }

  private forget (address: string, pool: AddressPool): void {
    pool.open -= 1
    if (pool.open > 0 || this.pools.get(address) !== pool) return
    this.clock.schedule(EMPTY_POOL_MILLISECONDS, () => {
      if (pool.open === 0 && this.pools.get(address) === pool) this.pools.delete(address)
    })
  }

  private connectSocket (question: ConnectionQuestion): Promise<Result<Socket, ConnectFailure>> {
    const separator = question.address.lastIndexOf(':')
    const host = question.address.slice(0, separator).replace(/^\[|\]$/g, '')
    const port = Number(question.address.slice(separator + 1))
    return new Promise((resolve) => {
      const socket = connect({ host, port, noDelay: true })
      const finish = (result: Result<Socket, ConnectFailure>): void => {
        timer.cancel()
        question.signal.removeEventListener('abort', abort)
        socket.removeAllListeners('connect')
        socket.removeAllListeners('error')
        if (result.isErr()) socket.on('error', () => {}).destroy()
        resolve(result)
      }
      const abort = (): void => finish(Err(ConnectFailure.create('connect_aborted', 'no longer wanted')))
      const expire = (): void => finish(Err(ConnectFailure.create('connect_timeout', 'no connection in time')))
      const timer = this.clock.schedule(this.settings.connectTimeoutMilliseconds, expire)
      question.signal.addEventListener('abort', abort, { once: true })
      socket.once('connect', () => finish(Ok(socket)))
      socket.once('error', (error) => finish(Err(ConnectFailure.create('connect_refused', error.message))))
    })
  }
}

/** Stops an HTTP server without cutting off the exchanges in progress. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import { sleep, type Clock } from './clock.ts'
import { closeLingering } from './lingering-close.ts'

const CHECK_MILLISECONDS = 10
/** How long clients have to close their side of a connection on which nothing is in progress any more. */
const LINGER_MILLISECONDS = 300

/** Follows the connections of an HTTP server from its creation, so that the server can be drained. */
export class DrainableServer {
  /** Number of exchanges in progress on each open connection. */
  private readonly exchanges = new Map<Socket, number>()
  private isDraining = false

  private constructor (private readonly server: Server, private readonly clock: Clock) {
    server.prependListener('connection', (socket: Socket) => this.follow(socket))
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => this.begin(request.socket, response))
  }

  /** Call before the server accepts connections. */
  static create (server: Server, clock: Clock): DrainableServer {
    return new DrainableServer(server, clock)
  }

  /** Number of connections with a request that is not answered, or an answer that has not been sent. */
  get busyConnections (): number {
    return [...this.exchanges].filter(([socket, count]) => count > 0 || socket.writableLength > 0).length
  }

  /**
   * Stops listening, closes each connection behind the last answer on it, and cuts off what is still in progress when the
   * time is up. Resolves to the number of connections on which something was cut off.
   */
  async drain (limitMilliseconds: number): Promise<number> {
    const end = this.clock.monotonicMilliseconds() + limitMilliseconds
    this.isDraining = true
    // The `close` of the HTTP server would also close connections on which an answer is still being sent.
    NetServer.prototype.close.call(this.server)
    for (const socket of this.exchanges.keys()) this.endIfIdle(socket)
    await this.waitUntil(() => this.busyConnections === 0, end)
    const cutOff = this.busyConnections
    await this.waitUntil(() => this.exchanges.size === 0, Math.min(end, this.clock.monotonicMilliseconds() + LINGER_MILLISECONDS))
    this.server.closeAllConnections()
    this.server.close()
    return cutOff
  }

  private follow (socket: Socket): void {
    this.exchanges.set(socket, 0)
    // Called by Node.js behind an answer that closes the connection.
    socket.destroySoon = () => closeLingering(socket, this.clock)
    socket.once('close', () => this.exchanges.delete(socket))
  }

  /** `socket` is that of the request, since a response behind another one has none yet. */
  private begin (socket: Socket, response: ServerResponse): void {
    this.count(socket, 1)
    response.once('close', () => {
      this.count(socket, -1)
      if (this.isDraining) this.endIfIdle(socket)
    })
  }

  private count (socket: Socket, change: number): void {
    const before = this.exchanges.get(socket)
    if (before !== undefined) this.exchanges.set(socket, before + change)
  }

  /** Ends the server's side behind what is still to be sent. Calls that arrive afterwards do not run, as they could not be answered. */
  private endIfIdle (socket: Socket): void {
    if (this.exchanges.get(socket) === 0) closeLingering(socket, this.clock)
  }

  private async waitUntil (isDone: () => boolean, end: number): Promise<void> {
    while (!isDone() && this.clock.monotonicMilliseconds() < end) await sleep(this.clock, CHECK_MILLISECONDS)
  }
}

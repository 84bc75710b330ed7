import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Responds to one request. `request` is the raw text of the whole request. */
export type UpstreamScript = (socket: Socket, request: string) => void

/** TCP server that passes each HTTP request to a script and records the requests it received. */
export class RawUpstream {
  readonly requests: string[] = []
  readonly sockets = new Set<Socket>()
  connections = 0
  closedConnections = 0

  private constructor (private readonly server: Server, readonly address: string) {}

  /** Starts listening on a free loopback port. */
  static async create (script: UpstreamScript): Promise<RawUpstream> {
    const server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const upstream = new RawUpstream(server, `127.0.0.1:${(server.address() as AddressInfo).port}`)
    server.on('connection', (socket) => upstream.follow(socket, script))
    return upstream
  }

  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise((resolve) => this.server.close(resolve))
  }

  private follow (socket: Socket, script: UpstreamScript): void {
    this.connections += 1
    this.sockets.add(socket)
    let text = ''
    socket.on('error', () => {})
    socket.on('close', () => {
      this.sockets.delete(socket)
      this.closedConnections += 1
    })
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1')
      if (!isComplete(text)) return
      const request = text
      text = ''
      this.requests.push(request)
      script(socket, request)
    })
  }
}

/** Returns a 200 response with a `Content-Length`. `extra` holds further header lines, each ending with CRLF. */
export function okResponse (body: string, extra = ''): string {
  return `HTTP/1.1 200 OK\r\n${extra}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

function isComplete (text: string): boolean {
  const end = text.indexOf('\r\n\r\n')
  if (end === -1) return false
  const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, end + 2))
  if (length !== null) return text.length >= end + 4 + Number(length[1])
  return !/\r\ntransfer-encoding: chunked/i.test(text) || text.endsWith('0\r\n\r\n')
}

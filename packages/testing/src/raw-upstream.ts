import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** What a scripted upstream does with one request: `request` is its text as received so far. */
export type UpstreamBehaviour = (socket: Socket, request: string) => void

/** A TCP server that answers each request just as its script says, and counts what it was asked to run. */
export class RawUpstream {
  readonly requests: string[] = []
  readonly sockets = new Set<Socket>()
  connections = 0
  closedByPeer = 0

  private constructor (private readonly server: Server, readonly address: string) {}

  /** Starts on a free port of loopback. */
  static async create (behaviour: UpstreamBehaviour): Promise<RawUpstream> {
    const server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const upstream = new RawUpstream(server, `127.0.0.1:${(server.address() as AddressInfo).port}`)
    server.on('connection', (socket) => upstream.follow(socket, behaviour))
    return upstream
  }

  async close (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise((resolve) => this.server.close(resolve))
  }

  private follow (socket: Socket, behaviour: UpstreamBehaviour): void {
    this.connections += 1
    this.sockets.add(socket)
    let text = ''
    socket.on('error', () => {})
    socket.on('close', () => {
      this.sockets.delete(socket)
      this.closedByPeer += 1
    })
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1')
      if (!isComplete(text)) return
      const request = text
      text = ''
      this.requests.push(request)
      behaviour(socket, request)
    })
  }
}

/** An answer with a length. */
export function wholeAnswer (body: string, extra = ''): string {
  return `HTTP/1.1 200 OK\r\n${extra}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}

function isComplete (text: string): boolean {
  const end = text.indexOf('\r\n\r\n')
  if (end === -1) return false
  const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, end + 2))
  if (length !== null) return text.length >= end + 4 + Number(length[1])
  return !/\r\ntransfer-encoding: chunked/i.test(text) || text.endsWith('0\r\n\r\n')
}

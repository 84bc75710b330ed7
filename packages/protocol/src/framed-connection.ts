/**
 * Typed messages over one TCP connection, for the streams that carry several messages for each request.
 * Each side first sends a preface; then each message is preceded by its length in 4 bytes, highest first.
 */
import { EventEmitter } from 'node:events'
import { connect, type Socket } from 'node:net'
import { splitAddress } from '@hickoryspoke/runtime/address'
import { Failure } from '@hickoryspoke/runtime/failure'

/** Sent first by both sides. Differs from the preface of HTTP/2 in its first byte, so that one port can serve both. */
export const FRAMED_PREFACE = Buffer.from('HSPOKE1\n', 'latin1')

/** Encodes and decodes one type of message; generated message types are such codecs. */
export interface MessageCodec<Message> {
  encode (message: Message): { finish (): Uint8Array }
  decode (bytes: Uint8Array): Message
}

/** The codecs of both directions of a connection. */
export interface ConnectionCodecs<Sent, Received> {
  readonly sent: MessageCodec<Sent>
  readonly received: MessageCodec<Received>
}

/** Events of a `FramedConnection`. */
interface ConnectionEvents<Received> {
  /** A message arrived. */
  data: [Received]
  /** The connection is closed, whichever side closed it. */
  end: []
  /** The connection failed; `end` follows. */
  error: [Failure]
}

/** The peer sent something that is not a message of this protocol. */
export class InvalidFrame extends Failure {
  readonly code = 'invalid_frame'

  static create (reason: string): InvalidFrame {
    return new InvalidFrame(reason)
  }
}

/** A message of this process has a value that its field cannot hold. */
export class InvalidMessage extends Failure {
  readonly code = 'invalid_message'

  static create (reason: string): InvalidMessage {
    return new InvalidMessage(reason)
  }
}

/** The peer accepted the connection but does not speak this protocol. */
export class NotFramed extends Failure {
  readonly code = 'not_framed'

  static create (): NotFramed {
    return new NotFramed('the peer does not speak framed connections')
  }
}

/** The connection was lost. */
export class ConnectionLost extends Failure {
  readonly code = 'connection_lost'

  static create (reason: string): ConnectionLost {
    return new ConnectionLost(reason)
  }
}

const LENGTH_BYTES = 4
/** Room for a whole configuration of the largest size that operators may publish. */
const MAXIMUM_FRAME_BYTES = 67_108_864
/** A peer that has not read this much more than the largest message is given up, so that it cannot use up the memory. */
const MAXIMUM_UNSENT_BYTES = 2 * MAXIMUM_FRAME_BYTES
/** A peer that has gone silent, and so does not close its side, is given up after this time. */
const CLOSE_TIMEOUT_MILLISECONDS = 5_000

/** One side of a connection. Messages written in one turn of the event loop are sent together. */
export class FramedConnection<Sent, Received> extends EventEmitter<ConnectionEvents<Received>> {
  /** Bytes that are not a whole message yet; joined only once they are, so that a large message is copied once. */
  private unread: Buffer[] = []
  private unreadBytes = 0
  /** Number of unread bytes from which on there is something to read. */
  private wantedBytes = 1
  private isCorked = false
  private isEnding = false
  private isEnded = false
  private connected = false

  private constructor (private readonly socket: Socket, private readonly codecs: ConnectionCodecs<Sent, Received>, private awaitsPreface: boolean) {
    super()
    socket.once('connect', () => { this.connected = true })
    socket.setNoDelay(true)
    socket.on('data', (bytes: Buffer) => this.receive(bytes))
    // Not only once the socket is closed, which is a turn later: what waits for a peer that has left is not to be done.
    socket.on('end', () => this.close())
    socket.on('error', (error) => this.fail(ConnectionLost.create(error.message)))
    socket.on('close', () => this.close())
  }

  /** The server's side, on a socket on which the prefaces were exchanged. */
  static accept<Sent, Received> (socket: Socket, codecs: ConnectionCodecs<Sent, Received>): FramedConnection<Sent, Received> {
    return new FramedConnection(socket, codecs, false)
  }

  /** The client's side: connects to IP:PORT. Messages may be written at once. Fails with `NotFramed` if the peer speaks something else. */
  static connect<Sent, Received> (address: string, codecs: ConnectionCodecs<Sent, Received>): FramedConnection<Sent, Received> {
    const { host, port } = splitAddress(address)
    const socket = connect({ host, port })
    const connection = new FramedConnection(socket, codecs, true)
    socket.write(FRAMED_PREFACE)
    return connection
  }

  /** Whether the peer's operating system accepted the connection. */
  get isConnected (): boolean {
    return this.connected
  }

  /** Whether the peer, and not only its operating system, accepted the connection. */
  get isAccepted (): boolean {
    return !this.awaitsPreface
  }

  /** Sends a message; ignored once the connection is closed or `end` was called. One that cannot be encoded fails the connection. */
  write (message: Sent): void {
    if (this.isEnded || this.isEnding) return
    const frame = this.encode(message)
    if (frame === undefined) return
    this.cork()
    this.socket.write(frame)
    if (this.socket.writableLength > MAXIMUM_UNSENT_BYTES) this.fail(ConnectionLost.create('the peer does not read'))
  }

  /** Sends a last message, if any, and closes the connection once all is sent. */
  end (last?: Sent): void {
    if (last !== undefined) this.write(last)
    this.isEnding = true
    this.socket.end()
    this.socket.setTimeout(CLOSE_TIMEOUT_MILLISECONDS, () => this.socket.destroy())
  }

  /** Closes the connection at once. */
  destroy (): void {
    this.socket.destroy()
  }

  /** There is no certificate: framed connections are for networks that are private. */
  getAuthContext (): { readonly sslPeerCertificate?: undefined } {
    return {}
  }

  /** Holds messages back until the end of the turn. */
  private cork (): void {
    if (this.isCorked) return
    this.isCorked = true
    this.socket.cork()
    setImmediate(() => {
      this.isCorked = false
      this.socket.uncork()
    })
  }

  private receive (bytes: Buffer): void {
    this.unread.push(bytes)
    this.unreadBytes += bytes.length
    if (this.unreadBytes < this.wantedBytes) return
    let rest = this.unread.length === 1 ? bytes : Buffer.concat(this.unread)
    this.wantedBytes = 1
    if (this.awaitsPreface) {
      if (!rest.subarray(0, FRAMED_PREFACE.length).equals(FRAMED_PREFACE.subarray(0, rest.length))) return this.fail(NotFramed.create())
      this.awaitsPreface = rest.length < FRAMED_PREFACE.length
      rest = rest.subarray(this.awaitsPreface ? 0 : FRAMED_PREFACE.length)
    }
    while (!this.awaitsPreface && rest.length >= LENGTH_BYTES && !this.isEnded) {
      const length = rest.readUInt32BE(0)
      if (length > MAXIMUM_FRAME_BYTES) return this.fail(InvalidFrame.create(`a message of ${length} bytes was announced`))
      const frameEnd = LENGTH_BYTES + length
      if (rest.length < frameEnd) {
        this.wantedBytes = frameEnd
        break
      }
      this.deliver(rest.subarray(LENGTH_BYTES, frameEnd))
      rest = rest.subarray(frameEnd)
    }
    this.unread = rest.length === 0 ? [] : [rest]
    this.unreadBytes = rest.length
  }

  private deliver (bytes: Buffer): void {
    const message = this.decode(bytes)
    if (message !== undefined) this.emit('data', message)
  }

  private encode (message: Sent): Buffer | undefined {
    try {
      return frameOf(this.codecs.sent.encode(message).finish())
    } catch (thrown) {
      this.fail(InvalidMessage.create(`a message cannot be encoded: ${String(thrown)}`))
      return undefined
    }
  }

  private decode (bytes: Buffer): Received | undefined {
    try {
      return this.codecs.received.decode(bytes)
    } catch (thrown) {
      this.fail(InvalidFrame.create(`a message cannot be decoded: ${String(thrown)}`))
      return undefined
    }
  }

  /** A peer that closes an accepted connection without a preface may be one that cannot read ours. */
  private close (): void {
    if (this.awaitsPreface && this.connected) this.fail(NotFramed.create())
    else this.finish()
  }

  private fail (failure: Failure): void {
    if (this.isEnded) return
    if (this.listenerCount('error') > 0) this.emit('error', failure)
    this.finish()
  }

  private finish (): void {
    this.socket.destroy()
    if (this.isEnded) return
    this.isEnded = true
    this.emit('end')
  }
}

function frameOf (message: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + message.length)
  frame.writeUInt32BE(message.length, 0)
  frame.set(message, LENGTH_BYTES)
  return frame
}

/** A connection to an upstream through a relay that passes the upstream's bytes on in frames. */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'
import { RelayFrameDecoder } from './relay-frames.ts'

const EMPTY = Buffer.alloc(0)

type Done = (error?: Error | null) => void

/** Writes go to the relay as they are. What is read are the contents of the relay's frames. */
export class RelayedStream extends Duplex {
  private readonly decoder = RelayFrameDecoder.create()
  private isInputOver = false

  private constructor (private readonly socket: Socket) {
    super({ allowHalfOpen: false })
    socket.on('data', (chunk: Buffer) => this.receive(chunk))
    socket.on('end', () => this.endInput())
    socket.on('error', (error) => this.destroy(error))
    socket.on('close', () => { if (!this.isInputOver) this.destroy() })
    socket.pause()
  }

  /** `socket` is a connection to a relay that has agreed to send frames. */
  static create (socket: Socket): RelayedStream {
    return new RelayedStream(socket)
  }

  /** Whether the relay said that the upstream ended its side in order. */
  get hasUpstreamEnded (): boolean {
    return this.decoder.isEnded
  }

  override _read (): void {
    this.socket.resume()
  }

  override _write (chunk: Buffer, _: BufferEncoding, done: Done): void {
    this.socket.write(chunk, done)
  }

  override _writev (chunks: { readonly chunk: Buffer }[], done: Done): void {
    this.socket.cork()
    const last = chunks.pop()
    for (const { chunk } of chunks) this.socket.write(chunk)
    this.socket.write(last?.chunk ?? Buffer.alloc(0), done)
    this.socket.uncork()
  }

  override _final (done: Done): void {
    this.socket.end(done)
  }

  override _destroy (error: Error | null, done: Done): void {
    this.socket.destroy()
    done(error)
  }

  private receive (chunk: Buffer): void {
    const contents = this.decoder.decode(chunk)
    if (contents.isErr()) {
      this.destroy(contents.error)
      return
    }
    const [first = EMPTY] = contents.value
    const content = contents.value.length > 1 ? Buffer.concat(contents.value) : first
    if (content.length > 0 && !this.push(content)) this.socket.pause()
    if (this.decoder.isEnded) this.endInput()
  }

  /** What has arrived is read to its end, also where the relay did not say that nothing is missing. */
  private endInput (): void {
    if (this.isInputOver) return
    this.isInputOver = true
    this.push(null)
  }
}

/** Bytes that arrive in chunks of any size, held so that their memory follows from their number and not from that of the chunks. */

/** Shorter chunks are copied together, longer ones kept as they are. */
const SMALL_CHUNK_BYTES = 1_024
const BLOCK_BYTES = 4_096

/** A queue of bytes. A single chunk is not copied. */
export class JoinedChunks {
  private chunks: Buffer[] = []
  /** The end of the queue, to which small chunks are copied. */
  private block: Buffer | undefined
  private blockBytes = 0
  private length = 0

  private constructor () {}

  static create (): JoinedChunks {
    return new JoinedChunks()
  }

  /** Number of bytes held. */
  get bytes (): number {
    return this.length
  }

  /** The first chunk; undefined if nothing is held. */
  get first (): Buffer | undefined {
    if (this.chunks.length === 0) this.closeBlock()
    return this.chunks[0]
  }

  append (chunk: Buffer): void {
    if (chunk.length === 0) return
    this.length += chunk.length
    if (this.block === undefined || chunk.length > BLOCK_BYTES - this.blockBytes) this.openBlock(chunk)
    else this.copy(this.block, chunk)
  }

  /** Removes bytes of the first chunk. */
  dropFirst (bytes: number): void {
    const { first } = this
    if (first === undefined) return
    this.length -= Math.min(bytes, first.length)
    if (bytes >= first.length) this.chunks.shift()
    else this.chunks[0] = first.subarray(bytes)
  }

  /** Removes and returns everything, in few chunks. */
  takeAll (): Buffer[] {
    this.closeBlock()
    const { chunks } = this
    this.chunks = []
    this.length = 0
    return chunks
  }

  /** Everything in one chunk, which stays in the queue. */
  joined (): Buffer {
    this.closeBlock()
    if (this.chunks.length !== 1) this.chunks = [Buffer.concat(this.chunks)]
    return this.chunks[0] as Buffer
  }

  /** Begins a block with a small chunk, together with the small one in front of it. */
  private openBlock (chunk: Buffer): void {
    this.closeBlock()
    const last = this.chunks.at(-1)
    if (chunk.length >= SMALL_CHUNK_BYTES || last === undefined || last.length >= SMALL_CHUNK_BYTES) {
      this.chunks.push(chunk)
      return
    }
    this.chunks.pop()
    this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES)
    this.copy(this.block, last)
    this.copy(this.block, chunk)
  }

  private copy (block: Buffer, chunk: Buffer): void {
    chunk.copy(block, this.blockBytes)
    this.blockBytes += chunk.length
  }

  private closeBlock (): void {
    if (this.block === undefined) return
    this.chunks.push(this.block.subarray(0, this.blockBytes))
    this.block = undefined
    this.blockBytes = 0
  }
}

/**
 * Frames in which a relay passes on what it reads from an upstream: the length of a piece in four bytes, then the piece. A frame of
 * length 0 says that the upstream itself has ended its side in order. The operating system closes the connections of a process that
 * ends in order too, so without that frame the end of the connection says nothing of the upstream.
 */
import { Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'

/** Header with which an entry asks a relay for frames, and with which the relay says that it sends them. */
export const RELAY_FRAMES_HEADER = 'hickoryspoke-relay-frames'
/** The only value of that header. */
export const RELAY_FRAMES_VERSION = '1'

const LENGTH_BYTES = 4
/** A relay passes on what it reads at once, which is far less. */
const MAXIMUM_FRAME_BYTES = 16_777_216
/** The frame that says that the upstream ended in order. */
export const END_FRAME = Buffer.alloc(LENGTH_BYTES)

/** What was received is not a sequence of frames. */
export class MalformedFrame extends Failure {
  readonly code = 'malformed_frame'

  static create (bytes: number): MalformedFrame {
    return new MalformedFrame(`a frame of ${bytes} bytes, or one behind the end`)
  }
}

/** The parts of the frame of a piece, which must not be empty. */
export function encodeFrame (piece: Buffer): readonly [length: Buffer, piece: Buffer] {
  const length = Buffer.alloc(LENGTH_BYTES)
  length.writeUInt32BE(piece.length)
  return [length, piece]
}

/** Reads frames that arrive in pieces of any size. */
export class RelayFrameDecoder {
  private readonly length = Buffer.alloc(LENGTH_BYTES)
  private lengthBytes = 0
  /** Bytes of the current frame that have not arrived. */
  private missingBytes = 0
  /** Whether the frame that ends the sequence has arrived. */
  isEnded = false

  private constructor () {}

  static create (): RelayFrameDecoder {
    return new RelayFrameDecoder()
  }

  /** Returns what a piece of the input holds of the contents of frames. */
  decode (input: Buffer): Result<Buffer[], MalformedFrame> {
    const contents: Buffer[] = []
    let rest = input
    while (rest.length > 0) {
      if (this.isEnded || this.missingBytes > MAXIMUM_FRAME_BYTES) return Err(MalformedFrame.create(this.missingBytes))
      if (this.missingBytes === 0) {
        rest = this.readLength(rest)
        continue
      }
      const content = rest.subarray(0, this.missingBytes)
      this.missingBytes -= content.length
      contents.push(content)
      rest = rest.subarray(content.length)
    }
    return Ok(contents)
  }

  /** Takes what a piece of the input holds of a frame's length; returns what follows. */
  private readLength (input: Buffer): Buffer {
    const bytes = input.copy(this.length, this.lengthBytes)
    this.lengthBytes += bytes
    if (this.lengthBytes === LENGTH_BYTES) {
      this.lengthBytes = 0
      this.missingBytes = this.length.readUInt32BE()
      this.isEnded = this.missingBytes === 0
    }
    return input.subarray(bytes)
  }
}

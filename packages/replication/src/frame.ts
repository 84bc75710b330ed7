import { crc32 } from 'node:zlib'

/** Size of a frame header: magic number, payload length, payload checksum, header checksum. */
export const FRAME_HEADER_BYTES = 16
/** ASCII "HSPF". */
const MAGIC = 0x48535046
const MAGIC_BYTES = Buffer.from([0x48, 0x53, 0x50, 0x46])
const SECTOR_BYTES = 512

/** How a scan ended: at the end of the file, at an interrupted write, or at damaged content. */
export const FRAME_END = {
  Clean: 'clean',
  Torn: 'torn',
  Corrupt: 'corrupt'
} as const

/** Result of a scan: payloads in order, the length of the valid part, and how the scan ended. */
export interface FrameScan {
  readonly payloads: readonly Uint8Array[]
  readonly validLength: number
  readonly end: typeof FRAME_END[keyof typeof FRAME_END]
}

/** Encodes a payload with a header that lets a reader distinguish complete, torn and corrupt frames. */
export function encodeFrame (payload: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length)
  frame.writeUInt32BE(MAGIC, 0)
  frame.writeUInt32BE(payload.length, 4)
  frame.writeUInt32BE(crc32(payload), 8)
  frame.writeUInt32BE(crc32(frame.subarray(0, 12)), 12)
  frame.set(payload, FRAME_HEADER_BYTES)
  return frame
}

/** Reads frames until the end of the bytes or the first invalid frame. */
export function scanFrames (bytes: Buffer): FrameScan {
  const payloads: Uint8Array[] = []
  let offset = 0
  while (offset < bytes.length) {
    const payload = readFrame(bytes, offset)
    if (payload === undefined) {
      return { payloads, validLength: offset, end: isTorn(bytes, offset) ? FRAME_END.Torn : FRAME_END.Corrupt }
    }
    payloads.push(payload)
    offset += FRAME_HEADER_BYTES + payload.length
  }
  return { payloads, validLength: offset, end: FRAME_END.Clean }
}

function readFrame (bytes: Buffer, offset: number): Buffer | undefined {
  if (!hasValidHeader(bytes, offset)) return undefined
  const length = bytes.readUInt32BE(offset + 4)
  const start = offset + FRAME_HEADER_BYTES
  if (start + length > bytes.length) return undefined
  const payload = bytes.subarray(start, start + length)
  return crc32(payload) === bytes.readUInt32BE(offset + 8) ? payload : undefined
}

function hasValidHeader (bytes: Buffer, offset: number): boolean {
  if (offset + FRAME_HEADER_BYTES > bytes.length) return false
  if (bytes.readUInt32BE(offset) !== MAGIC) return false
  return crc32(bytes.subarray(offset, offset + 12)) === bytes.readUInt32BE(offset + 12)
}

/**
 * A write interrupted by a crash leaves a short frame or sectors of zeros, and no complete frame after it.
 * Each frame is synced before the next is written, so anything else is damage to synced content.
 */
function isTorn (bytes: Buffer, offset: number): boolean {
  if (hasCompleteFrameAfter(bytes, offset + 1)) return false
  const rest = bytes.subarray(offset)
  if (rest.length < FRAME_HEADER_BYTES) return true
  if (hasValidHeader(bytes, offset) && rest.length < FRAME_HEADER_BYTES + rest.readUInt32BE(4)) return true
  return hasZeroSector(bytes, offset)
}

function hasCompleteFrameAfter (bytes: Buffer, from: number): boolean {
  for (let at = bytes.indexOf(MAGIC_BYTES, from); at !== -1; at = bytes.indexOf(MAGIC_BYTES, at + 1)) {
    if (readFrame(bytes, at) !== undefined) return true
  }
  return false
}

function hasZeroSector (bytes: Buffer, offset: number): boolean {
  const zeros = Buffer.alloc(SECTOR_BYTES)
  const firstSector = Math.ceil(offset / SECTOR_BYTES) * SECTOR_BYTES
  for (let start = firstSector; start < bytes.length; start += SECTOR_BYTES) {
    const sector = bytes.subarray(start, start + SECTOR_BYTES)
    if (sector.equals(zeros.subarray(0, sector.length))) return true
  }
  const head = bytes.subarray(offset, firstSector)
  return head.length > 0 && head.every((byte) => byte === 0)
}

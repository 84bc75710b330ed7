import { crc32 } from 'node:zlib'

/** Bytes of a frame before its payload: mark, payload length, payload checksum, header checksum. */
export const FRAME_HEADER_BYTES = 16
const MARK = 0x48535046
const MARK_BYTES = Buffer.from([0x48, 0x53, 0x50, 0x46])
const SECTOR_BYTES = 512

/** How the bytes after the last whole frame look. */
export const FRAME_END = {
  Clean: 'clean',
  Torn: 'torn',
  Corrupt: 'corrupt'
} as const

/** The frames of a file: payloads in order, and where and how reading ended. */
export interface FrameScan {
  readonly payloads: readonly Uint8Array[]
  readonly validLength: number
  readonly end: typeof FRAME_END[keyof typeof FRAME_END]
}

/** A payload behind a header that lets a reader tell whole, torn and corrupt content apart. */
export function encodeFrame (payload: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length)
  frame.writeUInt32BE(MARK, 0)
  frame.writeUInt32BE(payload.length, 4)
  frame.writeUInt32BE(crc32(payload), 8)
  frame.writeUInt32BE(crc32(frame.subarray(0, 12)), 12)
  frame.set(payload, FRAME_HEADER_BYTES)
  return frame
}

/** Reads frames from the start until the end or the first frame that does not verify. */
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
  if (!hasHeader(bytes, offset)) return undefined
  const length = bytes.readUInt32BE(offset + 4)
  const start = offset + FRAME_HEADER_BYTES
  if (start + length > bytes.length) return undefined
  const payload = bytes.subarray(start, start + length)
  return crc32(payload) === bytes.readUInt32BE(offset + 8) ? payload : undefined
}

function hasHeader (bytes: Buffer, offset: number): boolean {
  if (offset + FRAME_HEADER_BYTES > bytes.length) return false
  if (bytes.readUInt32BE(offset) !== MARK) return false
  return crc32(bytes.subarray(offset, offset + 12)) === bytes.readUInt32BE(offset + 12)
}

/**
 * A write that a crash cut off leaves a short frame or sectors of zeros, and nothing whole behind it.
 * Every earlier frame was synced before this one was written, so anything else is damage to synced content.
 */
function isTorn (bytes: Buffer, offset: number): boolean {
  if (hasWholeFrameAfter(bytes, offset + 1)) return false
  const rest = bytes.subarray(offset)
  if (rest.length < FRAME_HEADER_BYTES) return true
  if (hasHeader(bytes, offset) && rest.length < FRAME_HEADER_BYTES + rest.readUInt32BE(4)) return true
  return hasZeroSector(bytes, offset)
}

function hasWholeFrameAfter (bytes: Buffer, from: number): boolean {
  for (let at = bytes.indexOf(MARK_BYTES, from); at !== -1; at = bytes.indexOf(MARK_BYTES, at + 1)) {
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

/** Heads of HTTP requests whose size is limited in bytes, whatever number of headers they hold. */

/**
 * Value of `maxHeadersCount` of a server or a client request of Node.js with which no header of a head is left out. With any other, the
 * headers behind that many are left out without a word, those that say how the body is delimited among them.
 */
export const EVERY_HEADER = 0

/** Headers whose memory is part of what is counted for any request. */
const USUAL_HEADERS = 64
/** Memory of each further header: its name and value, the list and the table of headers, and the copy that is sent on. */
const HEADER_BYTES = 192

/** What stands between a name and its value, and behind the value. */
const SEPARATOR_BYTES = 4

/** Bytes of the header lines of a head. Node.js limits those of names and values alone. `rawHeaders` are alternating names and values. */
export function headerLineBytes (rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, rawHeaders.length / 2 * SEPARATOR_BYTES)
}

/** Memory in bytes that a head takes beyond what is counted for any request. `rawHeaders` are alternating names and values. */
export function extraHeadBytes (rawHeaders: readonly string[]): number {
  return Math.max(0, rawHeaders.length / 2 - USUAL_HEADERS) * HEADER_BYTES
}

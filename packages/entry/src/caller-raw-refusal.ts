import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import { formatRefusal, type Refusal } from '@hickoryspoke/request/refusal'

/** Request ID in responses to input that could not be parsed as a request. */
export const NO_REQUEST_ID = 'none'

/** Writes a refusal, which closes the connection, to a socket without a parsed request. */
export function writeRefusal (socket: Duplex, refusal: Refusal): void {
  if (!socket.writable) return
  const { headers, body } = formatRefusal(refusal, NO_REQUEST_ID)
  const lines = [`HTTP/1.1 ${refusal.status} ${STATUS_CODES[refusal.status] ?? ''}`]
  for (let index = 0; index < headers.length; index += 2) lines.push(`${headers[index]}: ${headers[index + 1]}`)
  lines.push('Connection: close', '', body)
  socket.write(lines.join('\r\n'))
}

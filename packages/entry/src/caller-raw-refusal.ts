import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import { formatRefusal, type Refusal } from '@hickoryspoke/request/refusal'

/** Request name of answers to input that never became a request. */
export const NO_REQUEST = 'none'

/** Answers on a socket that carries no parsed request, and closes it. */
export function refuseOnSocket (socket: Duplex, refusal: Refusal): void {
  if (!socket.writable) {
    socket.destroy()
    return
  }
  const { headers, body } = formatRefusal(refusal, NO_REQUEST)
  const lines = [`HTTP/1.1 ${refusal.status} ${STATUS_CODES[refusal.status] ?? ''}`]
  for (let index = 0; index < headers.length; index += 2) lines.push(`${headers[index]}: ${headers[index + 1]}`)
  lines.push('Connection: close', '', body)
  socket.end(lines.join('\r\n'), () => socket.destroy())
}

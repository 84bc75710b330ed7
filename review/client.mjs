/** A client's connection: sends requests, also before the earlier ones are answered, and reads the answers in order. */
import { randomBytes } from 'node:crypto'
import { open } from './fleet.mjs'
import { HOST, KEY } from './operator.mjs'

export function newId () {
  return randomBytes(8).toString('hex')
}

export class Client {
  constructor (record, name, socket) {
    Object.assign(this, { record, name, socket, waiting: [], answers: [], bytes: Buffer.alloc(0), isClosed: false })
    socket.on('data', (bytes) => { this.bytes = Buffer.concat([this.bytes, bytes]); this.read() })
    socket.on('error', () => {})
    socket.on('close', () => this.end())
  }

  static async connect (record, name, address) {
    return new Client(record, name, await open(address))
  }

  /** Sends a request; resolves with its answer, or with status 0 when the connection ends without one. */
  send ({ method = 'GET', path, id = newId(), deadline = 10_000, headers = [], body }) {
    const length = body === undefined && method !== 'GET' ? ['Content-Length: 0'] : body === undefined ? [] : [`Content-Length: ${body.length}`]
    const lines = [`${method} ${path} HTTP/1.1`, `Host: ${HOST}`, `X-Attempt-Id: ${id}`, `X-Deadline-Ms: ${deadline}`, `X-Api-Key: ${KEY}`, ...length, ...headers]
    this.record.write('client sends', { client: this.name, id, method, path })
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n`)
    if (body !== undefined) this.socket.write(body)
    return new Promise((resolve) => this.waiting.push({ id, method, resolve, sentAt: performance.now() }))
  }

  read () {
    for (;;) {
      const end = this.bytes.indexOf('\r\n\r\n')
      if (end < 0) return
      const [first, ...lines] = this.bytes.subarray(0, end).toString('latin1').split('\r\n')
      const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
      const length = Number(headers['content-length'] ?? 0)
      if (this.bytes.length < end + 4 + length) return
      this.bytes = this.bytes.subarray(end + 4 + length)
      this.settle({ status: Number(first.split(' ')[1]), headers, length })
    }
  }

  settle (answer) {
    const request = this.waiting.shift()
    if (request === undefined) return
    this.record.write('client got', {
      client: this.name, id: request.id, status: answer.status, connection: answer.headers.connection ?? 'keep-alive', signed: answer.headers['x-response-signature'] !== undefined
    })
    request.resolve({ ...answer, id: request.id, milliseconds: performance.now() - request.sentAt })
  }

  end () {
    this.isClosed = true
    for (const { id, resolve } of this.waiting.splice(0)) {
      this.record.write('connection ended without an answer', { client: this.name, id })
      resolve({ status: 0, id, headers: {} })
    }
  }

  close () {
    this.socket.destroy()
  }
}

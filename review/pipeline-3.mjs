/** A client that sends several requests on one connection before the first is answered, and reads the answers in their order. */
import { connect } from 'node:net'

/** Text of a request. */
export function requestText (method, path, id, { headers = [], body = '' } = {}) {
  const lines = [`${method} ${path} HTTP/1.1`, 'Host: seeds.example', `X-Attempt-Id: ${id}`, 'X-Deadline-Ms: 6000', ...headers]
  if (method !== 'GET') lines.push(`Content-Length: ${Buffer.byteLength(body)}`)
  return `${lines.join('\r\n')}\r\n\r\n${body}`
}

export class Pipeline {
  /** What is sent and answered is written to the journal. */
  constructor (host, port, journal) {
    this.journal = journal
    this.bytes = Buffer.alloc(0)
    this.answers = []
    this.isClosed = false
    this.waiting = []
    this.socket = connect(port, host)
    this.socket.on('error', () => {})
    this.socket.on('data', (chunk) => {
      this.bytes = Buffer.concat([this.bytes, chunk])
      while (this.readAnswer());
      this.wake()
    })
    this.socket.on('close', () => {
      this.isClosed = true
      this.wake()
    })
  }

  send (text) {
    for (const [, line, id] of text.matchAll(/([A-Z]+ \S+) HTTP\/1\.1\r\n(?:.+\r\n)*?X-Attempt-Id: (\S+)/g)) this.journal.write(`${id} sent: ${line}`)
    this.socket.write(text)
  }

  /** Resolves once there are so many final answers, or the connection is closed, or the time is over. */
  async untilAnswered (count, limitMilliseconds = 7_000) {
    const end = Date.now() + limitMilliseconds
    while (this.answers.length < count && !this.isClosed && Date.now() < end) {
      await new Promise((resolve) => {
        this.waiting.push(resolve)
        setTimeout(resolve, 50)
      })
    }
    return this.answers
  }

  close () {
    this.socket.destroy()
  }

  wake () {
    for (const resolve of this.waiting.splice(0)) resolve()
  }

  /** Takes one answer with a Content-Length, or an informational one, from what has arrived. */
  readAnswer () {
    const end = this.bytes.indexOf('\r\n\r\n')
    if (end === -1) return false
    const head = this.bytes.subarray(0, end).toString('latin1')
    const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0)
    const length = status >= 100 && status < 200 ? 0 : Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0)
    if (this.bytes.length < end + 4 + length) return false
    const body = this.bytes.subarray(end + 4, end + 4 + length).toString('latin1')
    this.bytes = this.bytes.subarray(end + 4 + length)
    const closes = /\r\nconnection: close/i.test(head)
    if (status < 100 || status >= 200) this.answers.push({ status, head, body, closes })
    this.journal.write(`answered, number ${this.answers.length} of its connection: ${status}${closes ? ', closing the connection' : ''}, ${JSON.stringify(body.slice(0, 100))}`)
    return true
  }
}

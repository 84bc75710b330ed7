/** A sound instance of a service, as PROTOCOL.md describes it: slots, a short queue, heartbeats, its id in what it says. */
import { createHash, randomBytes } from 'node:crypto'
import { createServer, request as httpRequest } from 'node:http'

export class Instance {
  /** `work` returns how long a request takes in milliseconds; `answer` may answer in its own way and returns true then. */
  constructor ({ record, service, ip, control, zone, slots = 6, queue = 24, work = () => 100, size = () => 200, answer = () => false, onBeat = () => {} }) {
    Object.assign(this, { record, service, ip, control, zone, slots, queue, work, size, answer, onBeat })
    this.id = `i-${randomBytes(4).toString('hex')}`
    this.born = Date.now()
    this.sequence = 0
    this.running = 0
    this.waiting = []
    this.arrivals = []
    this.runs = new Map()
    this.state = 'ready'
    this.isQuiet = false
    this.server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => { this.receive(request, response) })
    this.server.requestTimeout = 0
  }

  async start () {
    await new Promise((resolve, reject) => this.server.once('error', reject).listen(0, this.ip, resolve))
    this.address = `${this.ip}:${this.server.address().port}`
    this.record.write('instance started', { id: this.id, service: this.service, address: this.address })
    this.beatOn().catch(() => {})
    return this
  }

  stop () {
    this.isQuiet = true
    clearTimeout(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  receive (request, response) {
    const id = request.headers['x-attempt-id'] ?? ''
    if (request.url === '/health') return response.writeHead(200, { 'X-Instance-Id': this.id, 'Content-Length': 0 }).end()
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'X-Instance-Id': this.id, 'Content-Length': 0 }).end()
    this.arrivals.push({ id, at: performance.now() })
    this.record.write('arrived at instance', { instance: this.id, id, method: request.method, path: request.url, deadline: request.headers['x-deadline-ms'] })
    if (this.answer(request, response, this)) return
    request.resume()
    if (this.running < this.slots) return this.begin(request, response, id)
    if (this.waiting.length >= this.queue) return response.writeHead(503, { 'X-Not-Executed': '1', 'X-Attempt-Id': id, 'Content-Length': 0 }).end()
    this.waiting.push(() => this.begin(request, response, id))
  }

  /** Runs a request; drops it when its connection closes. */
  begin (request, response, id) {
    if (request.socket.destroyed) return this.next()
    this.running += 1
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1)
    this.record.write('run begins', { instance: this.id, id })
    let isOver = false
    const finish = (isDone) => {
      if (isOver) return
      isOver = true
      clearTimeout(timer)
      this.running -= 1
      this.record.write(isDone ? 'run ends' : 'run dropped', { instance: this.id, id })
      if (isDone) this.send(response, 200, id, Buffer.alloc(this.size(request), 'x'))
      this.next()
    }
    const timer = setTimeout(() => finish(true), this.work(request))
    response.once('close', () => finish(false))
  }

  next () {
    if (this.running < this.slots) this.waiting.shift()?.()
  }

  send (response, status, id, body) {
    response.writeHead(status, {
      'X-Attempt-Id': id,
      'X-Response-Signature': createHash('sha256').update(id).digest('hex').slice(0, 16),
      'X-Instance-Load': `${this.running},${this.waiting.length},${this.slots}`,
      'Content-Length': body.length
    })
    response.end(body)
  }

  async beatOn () {
    if (this.isQuiet) return
    await this.beat()
    this.timer = setTimeout(() => { this.beatOn().catch(() => {}) }, 1_500)
  }

  /** Sends a heartbeat to one control machine after the other until one acknowledges it. */
  async beat () {
    for (let tries = 0; tries < 6 && !this.isQuiet; tries += 1) {
      this.sequence += 1
      const body = {
        service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, 'warmup-left': '0ms', sequence: this.sequence, born: this.born
      }
      this.onBeat(body)
      const address = this.control[(this.sequence + tries) % this.control.length]
      const answer = await call(address, 'POST', `/-/Instances.Heartbeat/${this.id}`, body, 1_000)
      if (answer.status === 200) return true
      await new Promise((resolve) => setTimeout(resolve, 100))
    }
    return false
  }
}

/** Calls control, and follows a redirection twice. Status 0 means no answer. */
export async function call (address, method, path, body, timeoutMilliseconds, redirects = 2) {
  const answer = await callOnce(address, method, path, body, timeoutMilliseconds)
  if (answer.status !== 307 || redirects === 0) return answer
  const next = new URL(answer.location)
  return await call(next.host, method, next.pathname, body, timeoutMilliseconds, redirects - 1)
}

function callOnce (address, method, path, body, timeoutMilliseconds) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':')
    const content = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body)
    const headers = { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(content) }
    const request = httpRequest({ host, port, method, path, headers, agent: false, signal: AbortSignal.timeout(Math.ceil(timeoutMilliseconds)) }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('end', () => resolve({ status: response.statusCode, location: response.headers.location, text: Buffer.concat(chunks).toString() }))
      response.on('error', () => resolve({ status: 0, text: '' }))
    })
    request.on('error', (error) => resolve({ status: 0, text: error.message }))
    request.end(content)
  })
}

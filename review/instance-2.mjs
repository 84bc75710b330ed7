/** A sound instance of the users' pages: announces itself, runs what is meant for it, and records what it ran. */
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { callControl, delay } from './fleet-2.mjs'

const HEARTBEAT_MILLISECONDS = 1_500

export class Instance {
  /** `respond` may answer in another way; by default a short signed answer. */
  constructor ({ id, service, ip, zone = 'zone-0', slots = 6, controlAddresses, record, respond }) {
    Object.assign(this, { id, service, ip, zone, slots, controlAddresses, record, respond })
    this.sequence = 0
    this.state = 'ready'
    this.born = Date.now()
    this.runs = []
    this.isStopped = false
  }

  async start (port = 0) {
    this.server = createServer({ maxHeaderSize: 131_072, requestTimeout: 0 }, (request, response) => this.receive(request, response))
    // Reads as many headers as a caller sends.
    this.server.maxHeadersCount = 0
    await new Promise((resolve) => this.server.listen(port, this.ip, resolve))
    this.address = `${this.ip}:${this.server.address().port}`
    this.announce()
  }

  stop () {
    this.isStopped = true
    this.server.close()
    this.server.closeAllConnections()
  }

  announcement () {
    this.sequence += 1
    const { service, address, zone, slots, state, sequence, born } = this
    return JSON.stringify({ service, address, zone, version: 'v1', slots, state, 'warmup-left': '0ms', sequence, born })
  }

  async heartbeat () {
    return await callControl(this.controlAddresses, 'POST', `/-/Instances.Heartbeat/${this.id}`, this.announcement(), { until: Date.now() + 3_000 })
  }

  async announce () {
    while (!this.isStopped) {
      await this.heartbeat()
      await delay(HEARTBEAT_MILLISECONDS)
    }
  }

  receive (request, response) {
    response.on('error', () => {})
    request.on('error', () => {})
    const id = request.headers['x-attempt-id'] ?? ''
    if (request.url === '/health') return response.writeHead(200, { 'X-Instance-Id': this.id, 'Content-Length': 0 }).end()
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'X-Attempt-Id': id, 'Content-Length': 0 }).end()
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('end', () => {
      const body = Buffer.concat(chunks)
      const run = {
        id,
        instance: this.id,
        method: request.method,
        path: request.url,
        bodyBytes: body.length,
        bodyDigest: digest(body),
        tenant: request.headers['x-tenant'],
        headerCount: request.rawHeaders.length / 2
      }
      this.runs.push(run)
      this.record?.({ kind: 'run', ...run })
      if (this.respond !== undefined) return this.respond(run, request, response, this)
      answer(response, id, Buffer.from(`done ${id}`))
    })
  }
}

/** Sends a signed answer with its length. */
export function answer (response, id, body) {
  response.writeHead(200, { 'X-Attempt-Id': id, 'X-Response-Signature': signature(id, body), 'Content-Length': body.length }).end(body)
}

export function signature (id, body) {
  return `sig.${createHash('sha256').update(id).update(body).digest('hex').slice(0, 24)}`
}

export function digest (body) {
  return createHash('sha256').update(body).digest('hex').slice(0, 16)
}

/** A sound instance: announces itself, runs requests for as long as their path says, and records what it ran. */
import { createServer } from 'node:http'
import { sleep } from './fleet-3.mjs'

let born = 0

export class Instance {
  constructor (fleet, { service, id, slots = 6, answer, work = 20, onRun = () => {}, onRequest = () => {} }) {
    born = Math.max(born + 1, Date.now())
    Object.assign(this, { fleet, service, id, slots, born, work, onRun, onRequest, sequence: 0, state: 'ready', isStopped: false, running: 0, runs: [] })
    this.answer = answer ?? ((_, response) => { response.writeHead(200, { 'content-length': 2 }).end('ok') })
    this.server = createServer({ keepAliveTimeout: 10_000, requestTimeout: 0 }, (request, response) => this.receive(request, response))
    fleet.instances.push(this)
  }

  static async start (fleet, options) {
    const instance = new Instance(fleet, options)
    const ip = `${fleet.network}.${200 + fleet.instances.length % 50}`
    await new Promise((resolve) => instance.server.listen(0, ip, resolve))
    instance.address = `${ip}:${instance.server.address().port}`
    await instance.beat()
    instance.beatOn()
    return instance
  }

  async beat () {
    const { service, address, state, born, slots } = this
    this.sequence += 1
    const body = { service, address, zone: 'north-a', version: 'v1', slots, state, 'warmup-left': '0ms', sequence: this.sequence, born }
    return (await this.fleet.call('POST', `/-/Instances.Heartbeat/${this.id}`, JSON.stringify(body))).status
  }

  async beatOn () {
    while (!this.isStopped) {
      await sleep(1_500)
      if (!this.isStopped) await this.beat()
    }
  }

  receive (request, response) {
    const id = request.headers['x-attempt-id']
    response.setHeader('x-instance-id', this.id)
    if (request.url === '/health') return response.writeHead(200, { 'content-length': 0 }).end()
    if (id !== undefined) response.setHeader('x-attempt-id', id)
    this.onRequest(request, response)
    const refuse = (status) => {
      this.fleet.journal.write(`${this.id} refuses ${id ?? 'a request without identifier'}: ${status}`)
      response.writeHead(status, { 'x-not-executed': '1', 'content-length': 0 }).end()
    }
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return refuse(421)
    if (id === undefined) return refuse(400)
    if (this.running >= this.slots) return refuse(503)
    this.running += 1
    this.runs.push(id)
    this.fleet.journal.write(`${this.id} runs ${id}: ${request.method} ${request.url}`)
    this.onRun(id, request)
    request.resume()
    const timer = setTimeout(() => {
      response.setHeader('x-response-signature', `${id}.${this.id}`)
      this.answer(request, response)
    }, this.work)
    response.once('close', () => {
      clearTimeout(timer)
      this.running -= 1
    })
  }

  stop () {
    this.isStopped = true
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** A configuration as the operator of the pages sends it. */
export function configuration (version, { services, routes, tenants, limits = {} }) {
  return {
    version,
    services: services.map((name) => ({ name, 'health-path': '/health', 'max-connections': 390, protocol: 'h1', tls: false })),
    limits: { 'max-header-bytes': 16384, 'max-body-bytes': 67108864, 'header-timeout': '3000ms', 'idle-timeout': '15000ms', ...limits },
    ...(tenants === undefined ? {} : { tenants }),
    hosts: [{ host: 'seeds.example', paths: routes }]
  }
}

export function route (prefix, service, kind, more = {}) {
  return {
    name: `r${prefix.replaceAll('/', '-')}`, 'path-prefix': prefix, kind, timeout: '6000ms', 'target-latency': '1000ms', priority: 1, service, 'max-attempts': 2, public: false, ...more
  }
}

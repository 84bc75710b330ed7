import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka from 'polka'
import * as z from 'zod'
import type { Announcer } from './announcer.ts'
import type { FakeUpstream } from './fake-upstream.ts'

const share = z.number().min(0).max(1)
const milliseconds = z.number().min(0).max(600_000)

/** Faults to change; omitted faults keep their values. */
const faultChangeSchema = z.strictObject({
  slowMilliseconds: milliseconds.optional(),
  errorShare: share.optional(),
  truncate: z.boolean().optional(),
  hang: z.boolean().optional(),
  reset: z.boolean().optional(),
  crashOnMarkedRequest: z.boolean().optional(),
  healthAnswer: z.enum(['true', 'always_well', 'always_sick']).optional(),
  loadReport: share.optional(),
  coldMilliseconds: milliseconds.optional(),
  coldRequests: z.int().min(0).optional()
})

/** HTTP interface through which another process changes the faults of a fake upstream, drains it and reads its counters. */
export class UpstreamAdmin {
  private constructor (private readonly server: Server) {}

  /** Starts the server on a free loopback port. */
  static async start (upstream: FakeUpstream, announcer: Announcer): Promise<UpstreamAdmin> {
    const app = polka()
    app.put('/faults', (request, response) => { void changeFaults(upstream, request, response) })
    app.post('/drain', (_request, response) => { void announcer.drain().then(() => send(response, 200, { draining: true })) })
    app.get('/counters', (_request, response) => {
      const { requests, running, cancelled, runs, firstRuns } = upstream
      send(response, 200, { requests, running, cancelled, runs: Object.fromEntries(runs), firstRuns: Object.fromEntries(firstRuns) })
    })
    const server = createServer((request, response) => { app.handler(request as never, response) })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return new UpstreamAdmin(server)
  }

  /** Address in the form IP:PORT. */
  get address (): string {
    const { address, port } = this.server.address() as AddressInfo
    return `${address}:${port}`
  }

  stop (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}

async function changeFaults (upstream: FakeUpstream, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const parsed = faultChangeSchema.safeParse(await readJson(request))
  if (!parsed.success) return send(response, 400, { issues: parsed.error.issues })
  Object.assign(upstream.faults, parsed.data)
  send(response, 200, upstream.faults)
}

async function readJson (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'))
  } catch {
    return undefined
  }
}

function send (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

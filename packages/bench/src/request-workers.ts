import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { MessageChannel, parentPort, Worker, workerData, type MessagePort } from 'node:worker_threads'
import { ClaimMessage } from '@hickoryspoke/protocol/generated/claim'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import { FleetClaims } from '@hickoryspoke/request/fleet-claims'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { startStandaloneEntry } from './standalone-entry.ts'

const LARGE_BODY = Buffer.alloc(100_000, 'x')
const SMALL_BODY = Buffer.from('{"lot":7,"drawer":"north-3"}')
const HOLDERS = ['entry', 'holder-1', 'holder-2', 'holder-3', 'holder-4'] as const
const PERMANENT_LEASE: EpochLease = { epoch: () => 1, validUntilMilliseconds: () => Infinity, exclusiveFromMilliseconds: () => 0 }

/** Worker threads do not inherit the TypeScript loader of the main thread, so each registers it first. */
const LOADER = `import('tsx/esm/api').then((loader) => {
  loader.register()
  return import(${JSON.stringify(import.meta.url)})
})`

type Role = 'upstream' | 'entry' | 'holders'

interface Assignment {
  readonly role: Role
  readonly upstream?: string
  readonly peers?: MessagePort
}

/** Memory of a worker in bytes, inside and outside the heap. */
export interface WorkerUsage {
  readonly heapBytes: number
  readonly externalBytes: number
}

/** Messages from a worker: its port once it is ready, and its memory usage on request. */
type WorkerReply = { readonly ready: number } | { readonly usage: WorkerUsage }

/** A worker thread that runs one role of the measurement. */
export class RequestWorker {
  private constructor (private readonly worker: Worker, readonly port: number) {}

  static async start (assignment: Assignment): Promise<RequestWorker> {
    const transferList = assignment.peers === undefined ? [] : [assignment.peers]
    const worker = new Worker(LOADER, { eval: true, workerData: assignment, transferList })
    const answer = await nextReply(worker)
    return new RequestWorker(worker, 'ready' in answer ? answer.ready : 0)
  }

  async usage (): Promise<WorkerUsage> {
    this.worker.postMessage('usage')
    const answer = await nextReply(this.worker)
    return 'usage' in answer ? answer.usage : { heapBytes: 0, externalBytes: 0 }
  }

  async stop (): Promise<void> {
    await this.worker.terminate()
  }
}

/** Starts an upstream, four claim holders and an entry, each role in its own thread. */
export async function startWorkers (): Promise<{ upstream: RequestWorker, entry: RequestWorker, holders: RequestWorker }> {
  const { port1, port2 } = new MessageChannel()
  const upstream = await RequestWorker.start({ role: 'upstream' })
  const holders = await RequestWorker.start({ role: 'holders', peers: port1 })
  const entry = await RequestWorker.start({ role: 'entry', upstream: `127.0.0.1:${upstream.port}`, peers: port2 })
  return { upstream, entry, holders }
}

function nextReply (worker: Worker): Promise<WorkerReply> {
  return new Promise((resolve, reject) => {
    worker.once('message', resolve)
    worker.once('error', reject)
  })
}

interface Envelope {
  readonly from: string
  readonly to: string
  readonly bytes: Uint8Array
}

/** Creates the claim stores of some entries of the fleet. Messages to entries in the other thread are encoded and sent through a port. */
function createClaims (names: readonly string[], port: MessagePort): FleetClaims[] {
  const local = new Map<string, FleetClaims>()
  const deliver = ({ from, to, bytes }: Envelope): void => local.get(to)?.receive(from, ClaimMessage.decode(bytes))
  for (const name of names) {
    const send = (to: string, message: ClaimMessage): void => port.postMessage({ from: name, to, bytes: ClaimMessage.encode(message).finish() })
    const parts = { clock: SystemClock.create(), random: SystemRandom.create(), network: { self: name, send }, epochLease: PERMANENT_LEASE, incarnation: 'first' }
    local.set(name, FleetClaims.create(parts))
  }
  port.on('message', deliver)
  const entries = HOLDERS.map((name, index) => ({ name, zone: `z${index % 3}`, region: 'r', peerAddress: '', witness: true, incarnation: 'first' }))
  for (const claims of local.values()) {
    claims.applyMembership({ epoch: 0, establishedEpoch: 0, entries: [] })
    claims.applyMembership({ epoch: 1, establishedEpoch: 1, entries })
    claims.run(new AbortController().signal).catch(() => {})
  }
  return [...local.values()]
}

function startUpstream (): Promise<number> {
  const server = createServer((request, response) => {
    request.resume().on('end', () => {
      const body = request.url === '/large' ? LARGE_BODY : SMALL_BODY
      const answer = (): void => { response.writeHead(200, { 'content-length': body.length }).end(body) }
      if (request.url === '/slow') setTimeout(answer, 20_000)
      else answer()
    })
  })
  server.keepAliveTimeout = 60_000
  return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port)))
}

async function startEntry (assignment: Assignment): Promise<number> {
  const [claims] = createClaims(['entry'], assignment.peers as MessagePort)
  const entry = await startStandaloneEntry({ addresses: [assignment.upstream as string], claims, timeoutMilliseconds: 60_000 })
  return entry.port
}

function startHolders (assignment: Assignment): Promise<number> {
  createClaims(HOLDERS.slice(1), assignment.peers as MessagePort)
  return Promise.resolve(0)
}

const ROLES: Record<Role, (assignment: Assignment) => Promise<number>> = { upstream: startUpstream, entry: startEntry, holders: startHolders }

function readUsage (): WorkerUsage {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc')()
  const { heapUsed, external } = process.memoryUsage()
  return { heapBytes: heapUsed, externalBytes: external }
}

async function runWorker (port: MessagePort, assignment: Assignment): Promise<void> {
  port.postMessage({ ready: await ROLES[assignment.role](assignment) })
  port.on('message', () => port.postMessage({ usage: readUsage() }))
}

const assigned = workerData as Assignment | null
if (parentPort !== null && assigned?.role !== undefined) await runWorker(parentPort, assigned)

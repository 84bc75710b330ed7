import { connect, type Socket } from 'node:net'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'
import { runOpenLoopLoad, type CustomerLoad } from './open-loop-load.ts'
import { BENCH_KEY } from './standalone-entry.ts'
import { startWorkers, type RequestWorker } from './request-workers.ts'

const DURATION_MILLISECONDS = 5000
const WARM_UP_MILLISECONDS = 1500
const ADDED_LIMIT_MILLISECONDS = 7.7
const QUANTILES = ['50', '99', '99.9'] as const
const OPEN_REQUESTS = 500
const SETTLE_MILLISECONDS = 1500

interface LoadKind {
  readonly label: string
  readonly rates: readonly number[]
  readonly load: Omit<CustomerLoad, 'ratePerSecond'>
}

const LOAD_KINDS: readonly LoadKind[] = [
  { label: 'small GET', rates: [100, 1000, 2000], load: { name: 'c', key: BENCH_KEY, method: 'GET', path: '/small' } },
  { label: '100 KB GET', rates: [100, 400], load: { name: 'c', key: BENCH_KEY, method: 'GET', path: '/large' } },
  {
    label: 'claimed POST',
    rates: [100, 500],
    load: {
      name: 'c',
      key: BENCH_KEY,
      method: 'POST',
      path: '/withdrawals',
      body: '{"lot":7}',
      headersOf: (sequence) => ({ 'idempotency-key': `${Math.random().toString(36)}-${sequence}` })
    }
  }
]

interface LoadResult {
  readonly ok: number
  readonly requests: number
  readonly quantiles: Readonly<Record<string, number>>
}

async function runLoad (port: number, load: CustomerLoad, durationMilliseconds: number): Promise<LoadResult> {
  const recorder = await runOpenLoopLoad({
    targets: [`http://127.0.0.1:${port}`], customers: [load], durationMilliseconds, clock: SystemClock.create(), random: SeededRandom.create(3)
  })
  const [result] = recorder.results()
  return { ok: result?.statuses['200'] ?? 0, requests: result?.requests ?? 0, quantiles: result?.milliseconds ?? {} }
}

async function measureLoadKind (kind: LoadKind, direct: number, entry: number): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = []
  for (const ratePerSecond of kind.rates) {
    const load = { ...kind.load, ratePerSecond }
    for (const port of [direct, entry]) await runLoad(port, load, WARM_UP_MILLISECONDS)
    const baselineResult = await runLoad(direct, load, DURATION_MILLISECONDS)
    const throughEntry = await runLoad(entry, load, DURATION_MILLISECONDS)
    for (const quantile of QUANTILES) {
      const added = (throughEntry.quantiles[quantile] ?? 0) - (baselineResult.quantiles[quantile] ?? 0)
      const label = `${kind.label} at ${ratePerSecond}/s: added at p${quantile}`
      const baseline = `${baselineResult.quantiles[quantile]?.toFixed(2)} ms direct`
      rows.push(quantile === '99' ? atMost(label, added, 'ms', ADDED_LIMIT_MILLISECONDS, baseline) : withoutTarget(label, added, 'ms', baseline))
    }
    rows.push(atMost(`${kind.label} at ${ratePerSecond}/s: answers other than 200`, throughEntry.requests - throughEntry.ok, 'of ' + throughEntry.requests, 0))
  }
  return rows
}

/** Measures the memory of the entry per open request, with an upstream that delays every response. */
async function measureMemory (entry: RequestWorker): Promise<MeasureRow[]> {
  const before = await entry.usage()
  const sockets = await Promise.all(Array.from({ length: OPEN_REQUESTS }, () => openRequest(entry.port)))
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MILLISECONDS))
  const open = await entry.usage()
  for (const socket of sockets) socket.destroy()
  const heap = (open.heapBytes - before.heapBytes) / OPEN_REQUESTS / 1024
  const external = (open.externalBytes - before.externalBytes) / OPEN_REQUESTS / 1024
  return [
    withoutTarget(`heap per open request and its two connections, with ${OPEN_REQUESTS} requests`, heap, 'KB'),
    withoutTarget('memory outside the heap per open request', external, 'KB')
  ]
}

function openRequest (port: number): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = connect({ port, host: '127.0.0.1' })
    socket.on('error', () => {})
    socket.write(`GET /slow HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer ${BENCH_KEY}\r\n\r\n`, () => resolve(socket))
  })
}

/** Measures the latency that one entry adds to a direct call, and its memory per open request. */
export async function measureRequest (): Promise<MeasureReport> {
  const { upstream, entry, holders } = await startWorkers()
  const rows: MeasureRow[] = []
  for (const kind of LOAD_KINDS) rows.push(...await measureLoadKind(kind, upstream.port, entry.port))
  rows.push(...await measureMemory(entry))
  await Promise.all([upstream.stop(), entry.stop(), holders.stop()])
  const notes = ['Load, entry, upstream and the other four claim holders each run in a thread of their own on one machine; arrivals are open loop, ' +
    'timed from their schedule. Claim messages are encoded and cross between threads without a network delay. Limits and health are left out.']
  return { name: 'request', rows, notes }
}

import { type Clock, sleep } from '@hickoryspoke/runtime/clock'
import { type RandomSource, nextArrivalMilliseconds, pickOne } from '@hickoryspoke/runtime/random'
import { type Dispatcher, Pool } from 'undici'
import { LoadRecorder } from './load-report.ts'

/** Requests of one customer in a load run. */
export interface CustomerLoad {
  readonly name: string
  readonly key: string
  readonly ratePerSecond: number
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: string
  /** Returns extra headers for the request with the given sequence number, such as an idempotency key. */
  readonly headersOf?: (sequence: number) => Readonly<Record<string, string>>
}

/** Options of an open-loop run, in which arrivals do not wait for responses. */
export interface LoadOptions {
  /** Base URLs of the targets; each request picks one at random. */
  readonly targets: readonly string[]
  readonly customers: readonly CustomerLoad[]
  readonly durationMilliseconds: number
  readonly clock: Clock
  readonly random: RandomSource
  readonly connectionsPerTarget?: number
}

const DEFAULT_CONNECTIONS_PER_TARGET = 128

/** Runs the load and resolves when every request has finished. */
export async function runOpenLoopLoad (options: LoadOptions): Promise<LoadRecorder> {
  const recorder = LoadRecorder.create()
  const connections = options.connectionsPerTarget ?? DEFAULT_CONNECTIONS_PER_TARGET
  const pools = options.targets.map((target) => new Pool(target, { connections, pipelining: 1 }))
  const streams = options.customers.map(async (customer) => await runCustomer(options, customer, pools, recorder))
  await Promise.all(streams)
  await Promise.all(pools.map(async (pool) => await pool.close()))
  return recorder
}

async function runCustomer (options: LoadOptions, customer: CustomerLoad, pools: readonly Pool[], recorder: LoadRecorder): Promise<void> {
  const { clock, random } = options
  const end = clock.monotonicMilliseconds() + options.durationMilliseconds
  const waiting: Promise<void>[] = []
  let arrival = clock.monotonicMilliseconds()
  for (let sequence = 0; ; sequence += 1) {
    arrival += nextArrivalMilliseconds(random, customer.ratePerSecond)
    if (arrival > end) break
    const wait = arrival - clock.monotonicMilliseconds()
    if (wait > 0) await sleep(clock, wait)
    waiting.push(sendAndRecord(clock, customer, sequence, pickOne(random, pools), arrival, recorder))
  }
  await Promise.all(waiting)
}

async function sendAndRecord (
  clock: Clock,
  customer: CustomerLoad,
  sequence: number,
  dispatcher: Dispatcher,
  scheduledAt: number,
  recorder: LoadRecorder
): Promise<void> {
  const outcome = await sendRequest(customer, sequence, dispatcher)
  recorder.record({ customer: customer.name, ...outcome, milliseconds: clock.monotonicMilliseconds() - scheduledAt })
}

async function sendRequest (customer: CustomerLoad, sequence: number, dispatcher: Dispatcher): Promise<{ status: number, run: string | undefined }> {
  try {
    const answer = await dispatcher.request({
      path: customer.path,
      method: customer.method,
      headers: { ...(customer.key === '' ? {} : { authorization: `Bearer ${customer.key}` }), ...customer.headersOf?.(sequence) },
      body: customer.body
    })
    await answer.body.arrayBuffer()
    const run = answer.headers['hickoryspoke-run']
    return { status: answer.statusCode, run: typeof run === 'string' ? run : undefined }
  } catch {
    return { status: 0, run: undefined }
  }
}

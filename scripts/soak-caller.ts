/** Callers of the soak test: open-loop requests that are resent under the rules of docs/operations/requests.md. */
import { randomUUID } from 'node:crypto'
import { type RandomSource, nextArrivalMilliseconds, pickOne } from '../packages/runtime/src/random.ts'
import { customerKey } from './example-state.ts'
import { type FleetEntry, delay } from './process-fleet.ts'

const ANSWER_TIMEOUT_MILLISECONDS = 8_000
const MAX_SENDS = 6
const FIRST_RESEND_MILLISECONDS = 200
const READY_POLL_MILLISECONDS = 200
const HTTP_OK = 200

/** Operations of a caller: consult may be repeated, withdraw has an Idempotency-Key, charge is resent only if it did not run. */
export const SoakOperation = { Consult: 'consult', Withdraw: 'withdraw', Charge: 'charge' } as const
export type SoakOperation = typeof SoakOperation[keyof typeof SoakOperation]

/** One send of a request and its response. Status 0 means that no complete response arrived. */
export interface SoakSend {
  readonly status: number
  readonly code: string
  /** Value of the `Hickoryspoke-Run` header on a response that the fleet generated. */
  readonly run: string
  /** Whether the response echoed the marker of the request. */
  readonly isOwnAnswer: boolean
}

/** A request with all its sends. */
export interface SoakRequest {
  readonly customer: string
  readonly operation: SoakOperation
  readonly marker: string
  /** Event during which it was first sent. */
  readonly phase: string
  readonly sends: readonly SoakSend[]
}

/** Stands in for the load balancer of the platform: picks among the entries that report that they are ready. */
export class ReadyEntries {
  private ready: FleetEntry[] = []

  private constructor (private readonly entries: readonly FleetEntry[]) {
    this.ready = [...entries]
  }

  static create (entries: readonly FleetEntry[]): ReadyEntries {
    return new ReadyEntries(entries)
  }

  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const checks = await Promise.all(this.entries.map(async (entry) => await isReady(entry)))
      this.ready = this.entries.filter((_entry, index) => checks[index])
      await delay(READY_POLL_MILLISECONDS)
    }
  }

  pick (random: RandomSource): FleetEntry {
    return pickOne(random, this.ready.length > 0 ? this.ready : this.entries)
  }
}

/** Sends requests of one customer until the signal aborts, then waits for the pending ones. */
export async function runCaller (
  customer: string,
  ratePerSecond: number,
  balancer: ReadyEntries,
  random: RandomSource,
  signal: AbortSignal,
  phase: () => string,
  record: (request: SoakRequest) => void
): Promise<void> {
  const open: Promise<void>[] = []
  const operations = Object.values(SoakOperation)
  while (!signal.aborted) {
    await delay(nextArrivalMilliseconds(random, ratePerSecond))
    const begun = { customer, operation: pickOne(random, operations), phase: phase(), marker: randomUUID() }
    open.push(sendWithRetries(begun, balancer, random).then(record))
  }
  await Promise.all(open)
}

async function sendWithRetries (begun: Omit<SoakRequest, 'sends'>, balancer: ReadyEntries, random: RandomSource): Promise<SoakRequest> {
  const sends: SoakSend[] = []
  for (let wait = FIRST_RESEND_MILLISECONDS; sends.length < MAX_SENDS; wait *= 2) {
    const sent = await sendOnce(begun, balancer.pick(random))
    sends.push(sent)
    if (!mayResend(begun.operation, sent)) break
    await delay(wait)
  }
  return { ...begun, sends }
}

/** Rules of docs/operations/requests.md: a request that did not run may always be resent, one with an unknown outcome only if it cannot run twice. */
function mayResend (operation: SoakOperation, sent: SoakSend): boolean {
  if (sent.status === HTTP_OK || (sent.status >= 400 && sent.status < 500 && sent.status !== 409)) return false
  return sent.run === 'not-run' || operation !== SoakOperation.Charge
}

async function sendOnce ({ customer, operation, marker }: Omit<SoakRequest, 'sends'>, entry: FleetEntry): Promise<SoakSend> {
  try {
    const answer = await fetch(`${entry.publicUrl}/ledger/${operation}`, {
      method: operation === SoakOperation.Consult ? 'GET' : 'POST',
      headers: {
        authorization: `Bearer ${customerKey(customer)}`,
        'x-run-marker': marker,
        ...(operation === SoakOperation.Withdraw ? { 'idempotency-key': marker } : {})
      },
      ...(operation === SoakOperation.Consult ? {} : { body: marker }),
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS)
    })
    const text = await answer.text()
    return describeAnswer(answer, text, marker)
  } catch {
    return { status: 0, code: 'no_whole_answer', run: 'unknown', isOwnAnswer: false }
  }
}

function describeAnswer (answer: Response, text: string, marker: string): SoakSend {
  const body = JSON.parse(text) as { code?: string, headers?: Record<string, string> }
  return {
    status: answer.status,
    code: body.code ?? '',
    run: answer.headers.get('hickoryspoke-run') ?? '',
    isOwnAnswer: body.headers?.['x-run-marker'] === marker
  }
}

async function isReady (entry: FleetEntry): Promise<boolean> {
  const answer = await fetch(`${entry.innerUrl}/ready`, { signal: AbortSignal.timeout(READY_POLL_MILLISECONDS) }).catch(() => undefined)
  return answer?.status === HTTP_OK
}

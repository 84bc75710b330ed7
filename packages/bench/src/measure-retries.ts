import type { Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import type { PoolPolicySettings } from '@hickoryspoke/request/pool-policy'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { atMost, withoutTarget, type MeasureReport, type MeasureRow } from './measure-report.ts'
import { runOpenLoopLoad } from './open-loop-load.ts'
import { MinimalUpstream, BENCH_KEY, startStandaloneEntry } from './standalone-entry.ts'

const UPSTREAMS = 8
const RATE_PER_SECOND = 300
const DURATION_MILLISECONDS = 8000
const WORK_MILLISECONDS = 5
const SLOW_MILLISECONDS = 200
const MAX_AMPLIFICATION = 1.1
const HEDGING_DISABLED: Partial<PoolPolicySettings> = { hedge: { share: 0, reserve: 0 } }
const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

interface RunResult {
  readonly sent: number
  readonly received: number
  readonly milliseconds: Readonly<Record<string, number>>
}

const FAULTS = {
  'resets every request': (socket: Socket) => { socket.resetAndDestroy() },
  'answers 503 to every request': (socket: Socket) => { socket.write('HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n') },
  'refuses with not-run': (socket: Socket) => { socket.write('HTTP/1.1 503 Busy\r\nHickoryspoke-Run: not-run\r\nContent-Length: 0\r\n\r\n') }
} as const

async function runLoad (answers: readonly ((socket: Socket) => void)[], policies?: Partial<PoolPolicySettings>): Promise<RunResult> {
  const upstreams = await Promise.all(answers.map((answer) => MinimalUpstream.create(answer)))
  const entry = await startStandaloneEntry({ addresses: upstreams.map((upstream) => upstream.address), policies })
  const recorder = await runOpenLoopLoad({
    targets: [`http://127.0.0.1:${entry.port}`],
    customers: [{ name: 'c', key: BENCH_KEY, ratePerSecond: RATE_PER_SECOND, method: 'GET', path: '/records/1' }],
    durationMilliseconds: DURATION_MILLISECONDS,
    clock: SystemClock.create(),
    random: SeededRandom.create(11)
  })
  entry.close()
  for (const upstream of upstreams) upstream.close()
  const [result] = recorder.results()
  const received = upstreams.reduce((sum, upstream) => sum + upstream.requests, 0)
  return { sent: result?.requests ?? 0, received, milliseconds: result?.milliseconds ?? {} }
}

function answerAfter (milliseconds: number): (socket: Socket) => void {
  return (socket) => { delay(milliseconds).then(() => { socket.write(ANSWER) }).catch(() => {}) }
}

/** Returns the answers of eight upstreams, of which one is slow for the given share of its requests. */
function oneSlowUpstream (share: number): ((socket: Socket) => void)[] {
  const random = SeededRandom.create(5)
  const slow = (socket: Socket): void => answerAfter(random.next() < share ? SLOW_MILLISECONDS : WORK_MILLISECONDS)(socket)
  return [slow, ...Array.from({ length: UPSTREAMS - 1 }, () => answerAfter(WORK_MILLISECONDS))]
}

async function compareHedging (label: string, share: number): Promise<MeasureRow[]> {
  const without = await runLoad(oneSlowUpstream(share), HEDGING_DISABLED)
  const hedged = await runLoad(oneSlowUpstream(share))
  const rows = ['99', '99.9'].map((quantile) =>
    withoutTarget(`${label}: p${quantile} with hedging`, hedged.milliseconds[quantile] ?? 0, 'ms', `${without.milliseconds[quantile]?.toFixed(1)} ms without`))
  return [...rows, atMost(`${label}: requests at upstreams over callers' requests`, hedged.received / hedged.sent, 'times', MAX_AMPLIFICATION)]
}

/** Measures the load on upstreams while a whole pool fails, and tail latency with one slow upstream with and without hedging. */
export async function measureRetries (): Promise<MeasureReport> {
  const rows: MeasureRow[] = []
  for (const [label, fault] of Object.entries(FAULTS)) {
    const { sent, received } = await runLoad(Array.from({ length: UPSTREAMS }, () => fault))
    rows.push(atMost(`whole pool ${label}: requests at upstreams over callers' requests`, received / sent, 'times', MAX_AMPLIFICATION))
  }
  rows.push(...await compareHedging('one of 8 slow for a tenth of its requests', 0.1))
  rows.push(...await compareHedging('one of 8 slow for all of its requests', 1))
  const notes = [`${RATE_PER_SECOND} GET/s for ${DURATION_MILLISECONDS / 1000} s per run, ${UPSTREAMS} upstreams picked at random, ${WORK_MILLISECONDS} ms of work, slow ones ${SLOW_MILLISECONDS} ms; upstreams are not ejected here.`]
  return { name: 'retries', rows, notes }
}

/** Measures what callers see of a rolling restart and of a killed entry, with real processes on loopback. */
import { randomUUID } from 'node:crypto'
import { RUN_MARKER_HEADER } from '../packages/bench/src/upstream-faults.ts'
import { type MeasureReport, atLeast, atMost, withoutTarget } from '../packages/bench/src/measure-report.ts'
import { exampleState, customerKey } from './example-state.ts'
import { type FleetEntry, delay, ProcessFleet } from './process-fleet.ts'

const ENTRIES = 4
const REQUESTS_PER_SECOND = 200
const BETWEEN_RESTARTS_MILLISECONDS = 6000
const RECOVERY_MILLISECONDS = 30_000
const DOWNTIME_MILLISECONDS = 4000
const WORK_MILLISECONDS = 150
const MAXIMUM_SENDS = 40
const RESEND_DELAY_MILLISECONDS = 250

/** An operation of a caller with all its sends. */
interface Operation {
  readonly marker: string
  readonly method: 'GET' | 'POST'
  readonly sends: { status: number, code: string, run: string }[]
  isDone: boolean
}

/** Sends requests to ready entries, as a load balancer would, and resends failed ones with the same Idempotency-Key. */
class Caller {
  readonly operations: Operation[] = []
  private readonly running: Promise<void>[] = []
  readonly ready = new Set<string>()

  static create (): Caller {
    return new Caller()
  }

  async sendUntil (signal: AbortSignal): Promise<void> {
    for (let index = 0; !signal.aborted; index += 1) {
      const operation: Operation = { marker: randomUUID(), method: index % 2 === 0 ? 'POST' : 'GET', sends: [], isDone: false }
      this.operations.push(operation)
      this.running.push(this.follow(operation))
      await delay(1000 / REQUESTS_PER_SECOND)
    }
    await Promise.all(this.running)
  }

  private async follow (operation: Operation): Promise<void> {
    for (let turn = 0; turn < MAXIMUM_SENDS; turn += 1) {
      const seen = await this.sendOnce(operation)
      operation.sends.push(seen)
      operation.isDone = seen.status === 200
      if (operation.isDone || seen.status === 409) return
      await delay(RESEND_DELAY_MILLISECONDS)
    }
  }

  private async sendOnce ({ marker, method }: Operation): Promise<{ status: number, code: string, run: string }> {
    const urls = [...this.ready]
    const url = urls[Math.floor(Math.random() * urls.length)] ?? ''
    const headers = { authorization: `Bearer ${customerKey('curators')}`, 'idempotency-key': marker, [RUN_MARKER_HEADER]: marker }
    try {
      const answer = await fetch(`${url}/ledger/1`, { method, headers, body: method === 'POST' ? '{"lot":7}' : undefined })
      const text = await answer.text()
      const code = answer.status === 200 ? '' : String((JSON.parse(text) as { code?: string }).code)
      return { status: answer.status, code, run: answer.headers.get('hickoryspoke-run') ?? '' }
    } catch {
      return { status: 0, code: 'broken', run: '' }
    }
  }
}

async function pollReadiness (fleet: ProcessFleet, caller: Caller, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await Promise.all(fleet.entries.map(async (entry) => {
      const answer = await fetch(`${entry.innerUrl}/ready`).catch(() => undefined)
      if (answer?.status === 200) caller.ready.add(entry.publicUrl)
      else caller.ready.delete(entry.publicUrl)
    }))
    await delay(100)
  }
}

async function countRuns (fleet: ProcessFleet): Promise<Map<string, number>> {
  const runs = new Map<string, number>()
  for (const upstream of fleet.upstreams) {
    for (const [marker, count] of Object.entries((await fleet.counters(upstream)).runs)) runs.set(marker, (runs.get(marker) ?? 0) + count)
  }
  return runs
}

async function runUnderLoad (fleet: ProcessFleet, work: () => Promise<void>): Promise<Caller> {
  const caller = Caller.create()
  const stop = new AbortController()
  const watching = pollReadiness(fleet, caller, stop.signal)
  while (caller.ready.size < ENTRIES) await delay(50)
  const sending = new AbortController()
  const load = caller.sendUntil(sending.signal)
  await work()
  sending.abort()
  await load
  stop.abort()
  await watching
  return caller
}

function countSends (caller: Caller, wanted: (seen: Operation['sends'][number]) => boolean): number {
  return caller.operations.reduce((sum, operation) => sum + operation.sends.filter(wanted).length, 0)
}

function formatCodeCounts (caller: Caller): string {
  const counts = new Map<string, number>()
  for (const operation of caller.operations) for (const { code } of operation.sends) if (code !== '') counts.set(code, (counts.get(code) ?? 0) + 1)
  return [...counts].map(([code, count]) => `${code} ${count}`).join(', ') || 'none'
}

/** Counts POST operations that ran, that ran more than once, and that ran although every response said "not run". */
function checkPosts (caller: Caller, runs: ReadonlyMap<string, number>): { ran: number, duplicated: number, falselyNotRun: number } {
  const posts = caller.operations.filter((operation) => operation.method === 'POST')
  const duplicated = posts.filter((operation) => (runs.get(operation.marker) ?? 0) > 1).length
  const falselyNotRun = posts.filter(({ marker, sends }) => (runs.get(marker) ?? 0) > 0 && sends.every((seen) => seen.run === 'not-run')).length
  return { ran: posts.filter((operation) => (runs.get(operation.marker) ?? 0) > 0).length, duplicated, falselyNotRun }
}

/** Restarts all entries one by one, then kills one entry and starts it again, under load that resends with the same Idempotency-Key. */
export async function measureRolling (): Promise<MeasureReport> {
  const fleet = await ProcessFleet.start({
    control: 1, entries: ENTRIES, upstreams: 6, zones: 3, slots: 64, workMilliseconds: WORK_MILLISECONDS, pool: 'ledger', desiredState: exampleState({ rate: 100_000, burst: 100_000 })
  })
  try {
    await delay(RECOVERY_MILLISECONDS / 3)
    const rolling = await runUnderLoad(fleet, async () => {
      for (const entry of fleet.entries) {
        await fleet.stopGracefully(entry)
        fleet.restart(entry)
        await fleet.waitUntilReady(entry)
        await delay(BETWEEN_RESTARTS_MILLISECONDS)
      }
    })
    const afterRolling = checkPosts(rolling, await countRuns(fleet))
    await delay(RECOVERY_MILLISECONDS / 3)
    const killed = await runUnderLoad(fleet, async () => {
      const killedEntry = fleet.entries[1] as FleetEntry
      await delay(1000)
      await fleet.kill(killedEntry)
      await delay(DOWNTIME_MILLISECONDS)
      fleet.restart(killedEntry)
      await fleet.waitUntilReady(killedEntry)
    })
    const afterKill = checkPosts(killed, await countRuns(fleet))
    return {
      name: 'rolling',
      rows: [
        withoutTarget('rolling restart: operations', rolling.operations.length, ''),
        atMost('rolling restart: broken or truncated answers', countSends(rolling, (seen) => seen.status === 0), '', 0),
        withoutTarget('rolling restart: posts that the upstreams counted as run', afterRolling.ran, ''),
        atMost('rolling restart: posts that ran twice', afterRolling.duplicated, '', 0),
        atMost('rolling restart: posts that ran although every response said "not run"', afterRolling.falselyNotRun, '', 0),
        atLeast('rolling restart: operations done in the end', rolling.operations.filter((operation) => operation.isDone).length, '', rolling.operations.length),
        withoutTarget('rolling restart: refusals', countSends(rolling, (seen) => seen.code !== ''), '', formatCodeCounts(rolling)),
        withoutTarget('killed entry: operations', killed.operations.length, ''),
        withoutTarget('killed entry: broken answers', countSends(killed, (seen) => seen.status === 0), '', formatCodeCounts(killed)),
        withoutTarget('killed entry: posts that the upstreams counted as run', afterKill.ran, ''),
        atMost('killed entry: posts that ran twice', afterKill.duplicated, '', 0),
        atMost('killed entry: posts that ran although every response said "not run"', afterKill.falselyNotRun, '', 0),
        withoutTarget('killed entry: operations left with an unknown outcome', killed.operations.filter((operation) => !operation.isDone).length, '')
      ],
      notes: [`${ENTRIES} entries, one control node, 6 fake upstreams with ${WORK_MILLISECONDS} ms of work, ${REQUESTS_PER_SECOND} operations/s, half of them POST requests with an Idempotency-Key.`]
    }
  } finally {
    await fleet.stop()
  }
}

/** Runs a stop soak: callers on kept connections while the platform's programs are stopped, frozen, killed and started again. */
import { ReadyEntryList, runSoakCaller, type SoakCallerOptions } from './stop-soak-caller.ts'
import { checkStopSoak, type StopSoakFinding } from './stop-soak-checker.ts'
import { publishVersion } from './stop-soak-control-calls.ts'
import { EventRunner } from './stop-soak-events.ts'
import { SoakFleet } from './stop-soak-fleet.ts'
import { linesOfProcess, linesOfRequest, loggedRequests, type LogLine } from './stop-soak-logs.ts'
import type { CallerRecord, ProcessEvent, RunRecord, StopSoakRecords } from './stop-soak-records.ts'
import { randomFor } from './stop-soak-random.ts'
import { createSchedule } from './stop-soak-schedule.ts'
import { POOLS } from './stop-soak-settings.ts'
import { SoakUpstream } from './stop-soak-upstream.ts'

/** Size, length and seed of a soak. */
export interface StopSoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly callers: number
  /** How long after its grace a process is killed; more than 0 where a busy machine must not decide. */
  readonly allowanceMilliseconds: number
}

/** Result of a soak. */
export interface StopSoakResult {
  readonly records: StopSoakRecords
  readonly findings: readonly StopSoakFinding[]
  readonly logs: readonly LogLine[]
  /** Unix milliseconds of the start, at which the times of the records are 0. */
  readonly startedAt: number
}

interface MutableRecords extends Omit<StopSoakRecords, 'loggedRequests'> {
  readonly requests: CallerRecord[]
  readonly runs: RunRecord[]
  readonly events: ProcessEvent[]
  readonly unaskedAnswers: { at: number, entry: string }[]
}

const CONTROL = 3
const ENTRIES = 4
const UPSTREAMS = 10
const FIRST_UPSTREAM_ADDRESS = 50
const FIRST_VERSION = 7
const FIRST_PUBLISH_LIMIT_MILLISECONDS = 30_000

/** Starts a fleet, runs the schedule of the seed under load, and checks the records. */
export async function runStopSoak (options: StopSoakOptions): Promise<StopSoakResult> {
  const started = performance.now()
  const startedAt = Date.now()
  const now = (): number => performance.now() - started
  const records: MutableRecords = { requests: [], runs: [], events: [], unaskedAnswers: [] }
  const fleet = await SoakFleet.start({ control: CONTROL, entries: ENTRIES, now, record: (event) => { records.events.push(event) } })
  const upstreams: SoakUpstream[] = []
  try {
    for (let index = 0; index < UPSTREAMS; index += 1) upstreams.push(await startUpstream(fleet, index, now, records))
    const isPublished = await publishVersion(fleet.controlAddresses, FIRST_VERSION, FIRST_PUBLISH_LIMIT_MILLISECONDS)
    if (!isPublished) throw new Error('the first configuration was not accepted')
    for (const entry of fleet.entries) await fleet.waitUntilReady(entry)
    await runUnderLoad(options, fleet, now, records)
    const logs = await fleet.readLogs()
    const whole = { ...records, loggedRequests: loggedRequests(logs) }
    return { records: whole, findings: checkStopSoak(whole), logs, startedAt }
  } finally {
    for (const upstream of upstreams) upstream.stop()
    await fleet.stop()
  }
}

/** The findings, each with the seed, its time line, and the log lines of its request or process. */
export function formatFindings ({ findings, logs, startedAt }: StopSoakResult, seed: number): string[] {
  return findings.map(({ promise, subject, at, summary, timeline }) => {
    const ofRequest = linesOfRequest(logs, subject)
    const lines = ofRequest.length > 0 ? ofRequest : linesOfProcess(logs, subject, startedAt + at)
    return [`seed ${seed}: ${promise}: ${subject}`, summary, ...timeline, ...lines].join('\n  ')
  })
}

async function startUpstream (fleet: SoakFleet, index: number, now: () => number, records: MutableRecords): Promise<SoakUpstream> {
  return await SoakUpstream.start({
    name: `upstream-${index}`,
    pool: POOLS[index % POOLS.length] as string,
    ip: `${fleet.network}.${FIRST_UPSTREAM_ADDRESS + index}`,
    zone: fleet.zone(index),
    controlAddresses: fleet.controlAddresses,
    now,
    record: (run) => { records.runs.push(run) }
  })
}

async function runUnderLoad (wanted: StopSoakOptions, fleet: SoakFleet, now: () => number, records: MutableRecords): Promise<void> {
  const { seed, seconds, callers, allowanceMilliseconds } = wanted
  const begunAt = now()
  const size = { entries: ENTRIES, control: CONTROL, milliseconds: seconds * 1_000, firstVersion: FIRST_VERSION }
  const schedule = createSchedule(randomFor(seed, 'schedule'), size)
  const stopping = new AbortController()
  const entries = ReadyEntryList.create(fleet)
  const watching = entries.watch(stopping.signal)
  const options: SoakCallerOptions = {
    fleet,
    entries,
    now,
    signal: stopping.signal,
    record: (request) => { records.requests.push(request) },
    recordUnasked: (answer) => { records.unaskedAnswers.push(answer) }
  }
  const running = Array.from({ length: callers }, async (_, index) => {
    await runSoakCaller(index, seed, options)
  })
  await EventRunner.create({ fleet, allowanceMilliseconds, now: () => now() - begunAt }).run(schedule)
  stopping.abort()
  await Promise.all([...running, watching])
}

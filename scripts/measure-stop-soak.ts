/** Measures what callers lose while the platform's programs are stopped in series, with real processes on loopback. */
import { type MeasureReport, atMost, withoutTarget } from '../packages/bench/src/measure-report.ts'
import { countByPromise } from './stop-soak-checker.ts'
import { ProcessEventKind, RequestEnd, type CallerRecord, type StopSoakRecords } from './stop-soak-records.ts'
import { formatFindings, runStopSoak } from './stop-soak.ts'

const SEED = Number(process.env['HICKORYSPOKE_SEED'] ?? 1)
const SECONDS = Number(process.env['HICKORYSPOKE_SECONDS'] ?? 40)
const CALLERS = 75
const UNREAD_MILLISECONDS = 200

export async function measureStopSoak (): Promise<MeasureReport> {
  const result = await runStopSoak({ seed: SEED, seconds: SECONDS, callers: CALLERS, allowanceMilliseconds: 0 })
  const { records, findings } = result
  const closed = records.requests.filter(({ end }) => end === RequestEnd.Closed)
  const broken = [...countByPromise(findings)].map(([promise, count]) => atMost(promise, count, '', 0))
  return {
    name: 'stop-soak',
    rows: [
      withoutTarget('length of the schedule', SECONDS, 's'),
      withoutTarget('requests', records.requests.length, '', formatCounts(records.requests.map(({ answer, end }) => String(answer?.status ?? end)))),
      withoutTarget('SIGTERM signals', records.events.filter(({ kind, signal }) => kind === ProcessEventKind.Signal && signal === 'SIGTERM').length, '', formatEnds(records)),
      withoutTarget('requests on connections that ended', closed.length, ''),
      withoutTarget('first requests on them that stood unread for 200 ms, also at processes that were killed', closed.filter((request) => isLeftUnread(request, records)).length, ''),
      ...broken
    ],
    notes: [`seed ${SEED}, ${CALLERS} callers`, ...formatFindings(result, SEED)]
  }
}

/** Whether an entry that was busy closed a connection with a request on it that it had not read. */
function isLeftUnread ({ id, position, sentAt, endedAt }: CallerRecord, { loggedRequests }: StopSoakRecords): boolean {
  return position === 0 && sentAt !== undefined && endedAt - sentAt > UNREAD_MILLISECONDS && !loggedRequests.has(id)
}

function formatEnds ({ events }: StopSoakRecords): string {
  return formatCounts(events.filter(({ kind }) => kind === ProcessEventKind.Ended).map(({ code, signal }) => signal ?? `code ${code}`))
}

function formatCounts (values: readonly string[]): string {
  const counts = new Map<string, number>()
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1)
  return [...counts].map(([value, count]) => `${value}: ${count}`).join(', ')
}

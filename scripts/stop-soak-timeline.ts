/** Tells in order what happened around a finding of the stop soak. */
import type { CallerRecord, ProcessEvent, RunRecord, StopSoakRecords } from './stop-soak-records.ts'
import { CONTACT_MILLISECONDS } from './stop-soak-settings.ts'

const AFTER_MILLISECONDS = 1_000

interface Moment {
  readonly at: number
  readonly text: string
}

/** A request, the others of its connection, their runs, and what happened to any process meanwhile. */
export function requestTimeline (request: CallerRecord, records: StopSoakRecords): string[] {
  const onConnection = records.requests.filter((other) => other.connection === request.connection)
  const neighbours = onConnection.filter((other) => other.endedAt >= request.begunAt && other.begunAt <= request.endedAt)
  const ids = new Set(neighbours.map(({ id }) => id))
  const runs = records.runs.filter(({ id }) => ids.has(id))
  return formatMoments([...neighbours.flatMap(callerMoments), ...runs.flatMap(runMoments), ...eventsBetween(records.events, request.begunAt, request.endedAt)])
}

function callerMoments ({ id, entry, connection, begunAt, sentAt, endedAt, end, answer, error }: CallerRecord): Moment[] {
  return [
    { at: begunAt, text: `caller writes ${id} to ${entry} on ${connection}` },
    ...(sentAt === undefined ? [] : [{ at: sentAt, text: `caller has written the last byte of ${id}` }]),
    { at: endedAt, text: `${id} ${end} ${answer?.status ?? ''} ${error}`.trim() }
  ]
}

function runMoments ({ id, upstream, begunAt, endedAt, end }: RunRecord): Moment[] {
  return [{ at: begunAt, text: `${upstream} begins to run ${id}` }, { at: endedAt, text: `${upstream}: ${id} ${end}` }]
}

/** What happened to a process before one of its events. */
export function processTimeline (event: ProcessEvent, events: readonly ProcessEvent[]): string[] {
  return formatMoments(eventsBetween(events, event.at - 2 * CONTACT_MILLISECONDS, event.at))
}

function eventsBetween (events: readonly ProcessEvent[], from: number, to: number): Moment[] {
  const near = events.filter(({ at }) => at >= from - CONTACT_MILLISECONDS && at <= to + AFTER_MILLISECONDS)
  return near.map(({ at, process, kind, signal, code }) => ({ at, text: [process, kind, signal, code].filter((part) => part !== undefined && part !== null).join(' ') }))
}

function formatMoments (moments: readonly Moment[]): string[] {
  const ordered = [...moments].sort((left, right) => left.at - right.at)
  return ordered.map(({ at, text }) => `${Math.round(at)} ${text}`)
}

/** Checks the records of a stop soak against what the fleet promises to callers and operators. */
import { ProcessEventKind, RequestEnd, RunEnd, type CallerRecord, type ProcessEvent, type RunRecord, type StopSoakRecords } from './stop-soak-records.ts'
import { CONTACT_MILLISECONDS, GRACE_MILLISECONDS, ROUTE_TIMEOUT_MILLISECONDS } from './stop-soak-settings.ts'
import { processTimeline, requestTimeline } from './stop-soak-timeline.ts'

/** What must not happen; the text is that of the measured row. */
export const BrokenPromise = {
  LostAtStop: 'requests that ran and were not answered in full, around a stop of their entry',
  LostOtherwise: 'requests that ran and were not answered in full, at another time',
  BrokenOffLate: 'answers that were ready before the timeout and were broken off after it',
  Unanswered: 'requests that were read, not passed on and not answered',
  Silent: 'requests without an answer or an end of their connection within the caller\'s deadline',
  RanTwice: 'non-repeatable requests that ran more than once',
  RefusedButRan: 'non-repeatable requests that ran and were answered as not run',
  ForeignAnswer: 'answers that belong to another request or to none',
  ShortAnswer: 'answers that look complete and are short',
  Changed: 'requests that reached an upstream changed',
  WrongEnd: 'processes that ended by themselves or with an exit code other than 0',
  GraceOver: 'processes that had to be killed after their grace',
  NotReady: 'entries that did not become ready after a start'
} as const
export type BrokenPromise = typeof BrokenPromise[keyof typeof BrokenPromise]

/** A promise that was broken. */
export interface StopSoakFinding {
  readonly promise: BrokenPromise
  /** The request's identifier, or the name of the process. */
  readonly subject: string
  readonly at: number
  readonly summary: string
  readonly timeline: readonly string[]
}

/** A connection may end this long after the last byte of a request that was not passed on. */
const READ_MILLISECONDS = 200
/** Work that still runs in the last sixth of the grace is not promised an answer if its request was sent in the first half. */
const LAST_WORK_MILLISECONDS = GRACE_MILLISECONDS * 5 / 6
const EARLY_MILLISECONDS = GRACE_MILLISECONDS / 2
const HTTP_OK = 200
const FIRST_SERVER_ERROR = 500
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** A request with everything that the rules ask about. */
interface Case {
  readonly request: CallerRecord
  readonly runs: readonly RunRecord[]
  /** Whether the entry has read the request. */
  readonly isRead: boolean
  /** Events of the request's entry. */
  readonly entryEvents: readonly ProcessEvent[]
}

/** One rule for each promise about requests: whether a request breaks it. */
const REQUEST_RULES: readonly (readonly [BrokenPromise, (subject: Case) => boolean])[] = [
  [BrokenPromise.LostAtStop, (subject) => isLost(subject) && stopBefore(subject) !== undefined],
  [BrokenPromise.LostOtherwise, (subject) => isLost(subject) && !isReplaced(subject) && stopBefore(subject) === undefined],
  [BrokenPromise.BrokenOffLate, isBrokenOffLate],
  [BrokenPromise.Unanswered, isUnanswered],
  [BrokenPromise.Silent, (subject) => subject.request.end === RequestEnd.GaveUp && !isDisturbed(subject)],
  [BrokenPromise.RanTwice, ({ request, runs }) => !request.mayRepeat && runs.length > 1],
  [BrokenPromise.RefusedButRan, ({ request, runs }) => !request.mayRepeat && runs.length > 0 && NOT_RUN_STATUSES.has(request.answer?.status ?? 0)],
  [BrokenPromise.ForeignAnswer, hasForeignAnswer],
  [BrokenPromise.ShortAnswer, ({ request }) => request.answer?.status === HTTP_OK && request.answer.bodyBytes < request.answerBytes],
  [BrokenPromise.Changed, ({ runs }) => runs.some((run) => run.end === RunEnd.Done && !run.isUnchanged)]
]

/** Returns every broken promise. */
export function checkStopSoak (records: StopSoakRecords): StopSoakFinding[] {
  const runs = groupBy(records.runs, (run) => run.id)
  const events = groupBy(records.events, (event) => event.process)
  const requests = records.requests.flatMap((request) => {
    const ownRuns = runs.get(request.id) ?? []
    const isRead = ownRuns.length > 0 || records.loggedRequests.has(request.id)
    return checkRequest({ request, runs: ownRuns, isRead, entryEvents: events.get(request.entry) ?? [] }, records)
  })
  const processes = [...events.values()].flatMap(checkProcess)
  const unasked = records.unaskedAnswers.map(({ at, entry }) => {
    return { promise: BrokenPromise.ForeignAnswer, subject: entry, at, summary: 'answer without a request', timeline: [] }
  })
  return [...requests, ...processes, ...unasked]
}

/** Number of findings for each promise, also those that were kept. */
export function countByPromise (findings: readonly StopSoakFinding[]): Map<BrokenPromise, number> {
  return new Map(Object.values(BrokenPromise).map((promise) => [promise, findings.filter((finding) => finding.promise === promise).length]))
}

function checkRequest (subject: Case, records: StopSoakRecords): StopSoakFinding[] {
  const { request } = subject
  const broken = REQUEST_RULES.filter(([, isBroken]) => isBroken(subject))
  return broken.map(([promise]) => {
    return { promise, subject: request.id, at: request.endedAt, summary: summarize(subject), timeline: requestTimeline(request, records) }
  })
}

/** What tells the causes of a finding apart: the error, the bytes received, the state of the run and further signals. */
function summarize (subject: Case): string {
  const { request, runs, entryEvents } = subject
  const stop = stopBefore(subject)
  const signals = entryEvents.filter(({ kind, at }) => kind === ProcessEventKind.Signal && stop !== undefined && at >= stop.at && at <= request.endedAt)
  const ended = entryEvents.find(({ kind, at }) => kind === ProcessEventKind.Ended && Math.abs(at - request.endedAt) < READ_MILLISECONDS)
  return [
    `${request.mayRepeat ? 'repeatable' : 'non-repeatable'} ${request.path} at ${request.entry}, position ${request.position}`,
    `${request.end} after ${Math.round(request.endedAt - request.begunAt)} ms with ${request.answer?.status ?? 'no status'}`,
    `error ${request.error === '' ? 'none' : request.error}, ${request.partialBytes} of ${request.answerBytes} bytes`,
    `runs: ${runs.map(({ end }) => end).join(', ') || 'none'}`,
    `signals: ${signals.map(({ signal, at }) => `${signal} ${Math.round(request.endedAt - at)} ms before`).join(', ') || 'none'}`,
    `process ${ended === undefined ? 'went on' : `ended with code ${ended.code}`}`
  ].join('; ')
}

/** Whether a request ran and its caller has no whole answer, with nothing that excuses it. */
function isLost (subject: Case): boolean {
  const { request, runs } = subject
  if (runs.length === 0 || isOutOfTime(subject) || isDisturbed(subject) || isLateWork(subject)) return false
  return request.end === RequestEnd.Closed || isReplaced(subject)
}

/** Whether the fleet broke off a run and answered in its place. */
function isReplaced ({ request, runs }: Case): boolean {
  const { answer } = request
  return answer !== undefined && answer.status >= FIRST_SERVER_ERROR && !answer.isSigned && runs.at(-1)?.end === RunEnd.Dropped
}

function isBrokenOffLate (subject: Case): boolean {
  const { request, runs } = subject
  if (request.end !== RequestEnd.Closed || !isOutOfTime(subject) || isDisturbed(subject)) return false
  return runs.some((run) => run.end === RunEnd.Done && run.endedAt - request.begunAt < ROUTE_TIMEOUT_MILLISECONDS)
}

/** Whether an entry read a request, which was first on its connection, and closed the connection without any answer. */
function isUnanswered (subject: Case): boolean {
  const { request, runs, isRead } = subject
  if (request.end !== RequestEnd.Closed || runs.length > 0 || !isRead || request.position > 0 || request.sentAt === undefined) return false
  return request.endedAt - request.sentAt > READ_MILLISECONDS && !isOutOfTime(subject) && !isDisturbed(subject)
}

/** Whether the timeout of the route was reached, which is shorter than the caller's deadline. */
function isOutOfTime ({ request, runs }: Case): boolean {
  return request.endedAt - request.begunAt >= ROUTE_TIMEOUT_MILLISECONDS || runs.some((run) => run.end === RunEnd.OutOfTime)
}

/** Whether the entry was frozen or killed while the request was under way, or shortly before. */
function isDisturbed ({ request, entryEvents }: Case): boolean {
  const kinds: readonly ProcessEventKind[] = [ProcessEventKind.Frozen, ProcessEventKind.Resumed, ProcessEventKind.Killed]
  return entryEvents.some(({ at, kind }) => kinds.includes(kind) && at >= request.begunAt - CONTACT_MILLISECONDS && at <= request.endedAt)
}

function isLateWork (subject: Case): boolean {
  const stop = stopBefore(subject)
  if (stop === undefined || subject.request.begunAt > stop.at + EARLY_MILLISECONDS) return false
  return subject.runs.some((run) => run.end === RunEnd.Open || run.endedAt > stop.at + LAST_WORK_MILLISECONDS)
}

/** The signal that began the stop of the entry's process during which the request ended. */
function stopBefore ({ request, entryEvents }: Case): ProcessEvent | undefined {
  const start = entryEvents.findLastIndex(({ kind, at }) => kind === ProcessEventKind.Started && at <= request.begunAt)
  return entryEvents.slice(start + 1).find(({ kind, signal, at }) => kind === ProcessEventKind.Signal && signal === 'SIGTERM' && at <= request.endedAt)
}

function hasForeignAnswer ({ request }: Case): boolean {
  const { answer } = request
  if (answer === undefined) return false
  const isSuccess = answer.status < 300
  if (isSuccess) return !answer.isDerived || answer.requestId !== request.id || answer.bodyBytes > request.answerBytes
  return answer.requestId !== '' && answer.requestId !== request.id
}

/** Checks the ends and starts of one process. */
function checkProcess (events: readonly ProcessEvent[]): StopSoakFinding[] {
  return events.flatMap((event, index): StopSoakFinding[] => {
    const promise = promiseBrokenBy(event, events.slice(0, index))
    if (promise === undefined) return []
    const summary = `${event.kind} at ${Math.round(event.at)}, code ${event.code ?? 'none'}, signal ${event.signal ?? 'none'}`
    return [{ promise, subject: event.process, at: event.at, summary, timeline: processTimeline(event, events) }]
  })
}

function promiseBrokenBy (event: ProcessEvent, before: readonly ProcessEvent[]): BrokenPromise | undefined {
  if (event.kind === ProcessEventKind.NotReady) return BrokenPromise.NotReady
  const life = before.slice(before.findLastIndex(({ kind }) => kind === ProcessEventKind.Started))
  // A process that was frozen got its signal late, or lost time of its grace.
  const isFrozen = life.some(({ kind }) => kind === ProcessEventKind.Frozen)
  if (event.kind === ProcessEventKind.GraceOver) return isFrozen ? undefined : BrokenPromise.GraceOver
  if (event.kind !== ProcessEventKind.Ended) return undefined
  const isKilled = life.some(({ kind }) => kind === ProcessEventKind.Killed || kind === ProcessEventKind.GraceOver)
  const isStopped = life.some(({ kind, signal }) => kind === ProcessEventKind.Signal && signal === 'SIGTERM')
  return isKilled || (isStopped && event.code === 0) ? undefined : BrokenPromise.WrongEnd
}

function groupBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item))
    if (group === undefined) groups.set(keyOf(item), [item])
    else group.push(item)
  }
  return groups
}

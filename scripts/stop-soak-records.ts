/** What the callers, the upstreams and the process fleet of a stop soak write down. All times are in milliseconds since its start. */

/** A whole answer that a caller read. */
export interface ReceivedAnswer {
  readonly status: number
  /** Identifier of the request that the answer names. */
  readonly requestId: string
  readonly isSigned: boolean
  /** Whether signature and body are those that an upstream derives from the identifier. */
  readonly isDerived: boolean
  readonly bodyBytes: number
}

/** How a request ended for its caller. */
export const RequestEnd = { Open: 'open', Answered: 'answered', Closed: 'closed', GaveUp: 'gave up' } as const
export type RequestEnd = typeof RequestEnd[keyof typeof RequestEnd]

/** A request of a caller on a kept connection. */
export interface CallerRecord {
  readonly id: string
  readonly entry: string
  /** Name of the connection that it was sent on. */
  readonly connection: string
  readonly path: string
  readonly mayRepeat: boolean
  readonly answerBytes: number
  /** Number of requests that waited for their answers on the connection when this one was sent. */
  readonly position: number
  readonly begunAt: number
  /** When its last byte was written; undefined if that did not happen. */
  sentAt: number | undefined
  end: RequestEnd
  endedAt: number
  answer: ReceivedAnswer | undefined
  /** Bytes of an incomplete answer. */
  partialBytes: number
  /** Code of the error that ended the connection, `end` if Node.js reported an end, which may be a reset; empty while it was open. */
  error: string
}

/** How a run at an upstream ended. */
export const RunEnd = { Open: 'open', Done: 'done', Dropped: 'dropped', OutOfTime: 'out of time' } as const
export type RunEnd = typeof RunEnd[keyof typeof RunEnd]

/** A run of a request at an upstream. */
export interface RunRecord {
  readonly id: string
  readonly upstream: string
  readonly begunAt: number
  end: RunEnd
  endedAt: number
  /** Whether method, path and body arrived as the caller sent them. */
  isUnchanged: boolean
}

/** What happened to a process. */
export const ProcessEventKind = {
  Started: 'started', Signal: 'signal', Frozen: 'frozen', Resumed: 'resumed', Killed: 'killed', GraceOver: 'killed after its grace', NotReady: 'not ready', Ended: 'ended'
} as const
export type ProcessEventKind = typeof ProcessEventKind[keyof typeof ProcessEventKind]

/** An event of a process. */
export interface ProcessEvent {
  readonly at: number
  readonly process: string
  readonly kind: ProcessEventKind
  /** The signal that was sent, or that ended the process. */
  readonly signal?: string
  /** Exit code of a process that ended; null if a signal ended it. */
  readonly code?: number | null
}

/** Everything that was recorded. */
export interface StopSoakRecords {
  readonly requests: readonly CallerRecord[]
  readonly runs: readonly RunRecord[]
  readonly events: readonly ProcessEvent[]
  /** Answers for which no request waited on their connection. */
  readonly unaskedAnswers: readonly { readonly at: number, readonly entry: string }[]
  /** Identifiers of the requests that an entry logged, so it had read them. */
  readonly loggedRequests: ReadonlySet<string>
}

/** How an attempt at an upstream ended. */
export const AttemptKind = {
  Answered: 'answered',
  ConnectFailed: 'connect_failed',
  Reset: 'reset',
  Timeout: 'timeout',
  Truncated: 'truncated',
  RefusedNotRun: 'refused_not_run',
  Cancelled: 'cancelled',
  ServerError: 'server_error',
  /** Still unanswered after several times the mean latency; reported once, before the attempt ends. */
  Overdue: 'overdue'
} as const
export type AttemptKind = typeof AttemptKind[keyof typeof AttemptKind]

/** Outcome of one attempt. `milliseconds` runs from the pick of the upstream to the end of the response head, or to the failure. */
export interface AttemptOutcome {
  readonly kind: AttemptKind
  readonly milliseconds: number
  readonly status?: number
  /** The request is suspected of crashing upstreams, so its outcome is no evidence about the upstream. */
  readonly blamedOnRequest?: boolean
}

/** How an outcome counts as evidence about the upstream. */
export const OutcomeClass = { Good: 'good', Bad: 'bad', Neutral: 'neutral' } as const
export type OutcomeClass = typeof OutcomeClass[keyof typeof OutcomeClass]

interface KindProperties {
  readonly kind: AttemptKind
  readonly outcomeClass: OutcomeClass
  /** The cause may be the network between observer and upstream, so observers in one zone cannot tell which of the two failed. */
  readonly mayBeNetworkFault: boolean
  /** Counts only if the attempt took longer than the threshold for a slow answer. */
  readonly countsOnlyWhenSlow: boolean
}

/** Properties of each kind. The index in this list is the number sent in messages, so the order must not change. */
const KIND_PROPERTIES: readonly KindProperties[] = [
  { kind: AttemptKind.Answered, outcomeClass: OutcomeClass.Good, mayBeNetworkFault: true, countsOnlyWhenSlow: false },
  { kind: AttemptKind.ConnectFailed, outcomeClass: OutcomeClass.Bad, mayBeNetworkFault: true, countsOnlyWhenSlow: false },
  { kind: AttemptKind.Reset, outcomeClass: OutcomeClass.Bad, mayBeNetworkFault: true, countsOnlyWhenSlow: false },
  { kind: AttemptKind.Timeout, outcomeClass: OutcomeClass.Bad, mayBeNetworkFault: true, countsOnlyWhenSlow: true },
  { kind: AttemptKind.Truncated, outcomeClass: OutcomeClass.Bad, mayBeNetworkFault: true, countsOnlyWhenSlow: false },
  { kind: AttemptKind.RefusedNotRun, outcomeClass: OutcomeClass.Neutral, mayBeNetworkFault: false, countsOnlyWhenSlow: false },
  { kind: AttemptKind.Cancelled, outcomeClass: OutcomeClass.Neutral, mayBeNetworkFault: false, countsOnlyWhenSlow: false },
  { kind: AttemptKind.ServerError, outcomeClass: OutcomeClass.Bad, mayBeNetworkFault: false, countsOnlyWhenSlow: false },
  { kind: AttemptKind.Overdue, outcomeClass: OutcomeClass.Bad, mayBeNetworkFault: true, countsOnlyWhenSlow: false }
]

/** The number that stands for a kind in messages. */
export function kindNumber (kind: AttemptKind): number {
  return KIND_PROPERTIES.findIndex((facts) => facts.kind === kind)
}

/** Properties for a kind number from a message; an unknown number is treated as neutral. */
export function kindProperties (number: number): KindProperties {
  return KIND_PROPERTIES[number] ?? { kind: AttemptKind.Cancelled, outcomeClass: OutcomeClass.Neutral, mayBeNetworkFault: false, countsOnlyWhenSlow: false }
}

const BUCKETS_PER_OCTAVE = 2
const BUCKET_OFFSET = 8
/** Number of latency buckets; the last has no upper bound. */
export const LATENCY_BUCKET_COUNT = 48

/** The half-octave bucket of a latency; the first bucket is a sixteenth of a millisecond. */
export function latencyBucket (milliseconds: number): number {
  const bucket = Math.round(Math.log2(Math.max(milliseconds, 0.001)) * BUCKETS_PER_OCTAVE) + BUCKET_OFFSET
  return Math.min(LATENCY_BUCKET_COUNT - 1, Math.max(0, bucket))
}

/** The latency at the centre of a bucket. */
export function bucketMilliseconds (bucket: number): number {
  return 2 ** ((bucket - BUCKET_OFFSET) / BUCKETS_PER_OCTAVE)
}

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
  /** Still unanswered after much longer than usual; noted once, before the attempt ends. */
  Overdue: 'overdue'
} as const
export type AttemptKind = typeof AttemptKind[keyof typeof AttemptKind]

/** The end of one attempt; milliseconds run from the pick to the end of the head, or to the failure. */
export interface AttemptOutcome {
  readonly kind: AttemptKind
  readonly milliseconds: number
  readonly status?: number
  /** The request is under suspicion of crashing upstreams, so its end says nothing of the upstream. */
  readonly blamedOnRequest?: boolean
}

/** What an outcome says about the upstream. */
export const Meaning = { Good: 'good', Bad: 'bad', Nothing: 'nothing' } as const
export type Meaning = typeof Meaning[keyof typeof Meaning]

interface KindFacts {
  readonly kind: AttemptKind
  readonly meaning: Meaning
  /** The fault may lie between observer and upstream, so one side alone cannot tell. */
  readonly mayBePath: boolean
  /** Says nothing when it came sooner than a slow answer would. */
  readonly onlyWhenSlow: boolean
}

/** Facts by kind; the place in the list is the number that travels. */
const KIND_FACTS: readonly KindFacts[] = [
  { kind: AttemptKind.Answered, meaning: Meaning.Good, mayBePath: true, onlyWhenSlow: false },
  { kind: AttemptKind.ConnectFailed, meaning: Meaning.Bad, mayBePath: true, onlyWhenSlow: false },
  { kind: AttemptKind.Reset, meaning: Meaning.Bad, mayBePath: true, onlyWhenSlow: false },
  { kind: AttemptKind.Timeout, meaning: Meaning.Bad, mayBePath: true, onlyWhenSlow: true },
  { kind: AttemptKind.Truncated, meaning: Meaning.Bad, mayBePath: true, onlyWhenSlow: false },
  { kind: AttemptKind.RefusedNotRun, meaning: Meaning.Nothing, mayBePath: false, onlyWhenSlow: false },
  { kind: AttemptKind.Cancelled, meaning: Meaning.Nothing, mayBePath: false, onlyWhenSlow: false },
  { kind: AttemptKind.ServerError, meaning: Meaning.Bad, mayBePath: false, onlyWhenSlow: false },
  { kind: AttemptKind.Overdue, meaning: Meaning.Bad, mayBePath: true, onlyWhenSlow: false }
]

/** The number of a kind in messages. */
export function kindNumber (kind: AttemptKind): number {
  return KIND_FACTS.findIndex((facts) => facts.kind === kind)
}

/** Facts for the number of a kind in a message; unknown numbers say nothing. */
export function kindFacts (number: number): KindFacts {
  return KIND_FACTS[number] ?? { kind: AttemptKind.Cancelled, meaning: Meaning.Nothing, mayBePath: false, onlyWhenSlow: false }
}

const BUCKETS_PER_OCTAVE = 2
const BUCKET_OFFSET = 8
/** Number of latency buckets; the last is open. */
export const LATENCY_BUCKETS = 48

/** The half-octave bucket of a latency, from a sixteenth of a millisecond up. */
export function latencyBucket (milliseconds: number): number {
  const bucket = Math.round(Math.log2(Math.max(milliseconds, 0.001)) * BUCKETS_PER_OCTAVE) + BUCKET_OFFSET
  return Math.min(LATENCY_BUCKETS - 1, Math.max(0, bucket))
}

/** The latency in the middle of a bucket. */
export function bucketMilliseconds (bucket: number): number {
  return 2 ** ((bucket - BUCKET_OFFSET) / BUCKETS_PER_OCTAVE)
}

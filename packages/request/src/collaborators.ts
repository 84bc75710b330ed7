import type { Failure } from '@hickoryspoke/runtime/failure'
import type { Result } from 'ts-results-es'
import type { KeyTable } from './key-table.ts'
import type { Refusal } from './refusal.ts'
import type { RouteTable } from './route-table.ts'

/** Answer to one request for admission within a customer's rate. */
export type AdmissionDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly retryAfterMilliseconds: number, readonly reason: string }

/** The reason that stands for "over its rate"; any other says that the rate could not be counted now. */
export const REASON_LIMITED = 'limited'

/** Counts a customer's requests against its rate and burst over the whole fleet. */
export interface Admission {
  admit (customer: string): Promise<AdmissionDecision>
}

/** How an attempt at an upstream ended, as seen by the health of upstreams. */
export const ATTEMPT_KINDS = {
  answered: 'answered',
  connectFailed: 'connect_failed',
  reset: 'reset',
  timeout: 'timeout',
  truncated: 'truncated',
  refusedNotRun: 'refused_not_run',
  cancelled: 'cancelled',
  serverError: 'server_error'
} as const

export type AttemptKind = typeof ATTEMPT_KINDS[keyof typeof ATTEMPT_KINDS]

/** The end of one attempt. `milliseconds` runs from the pick to the end of the head, or to the failure. */
export interface AttemptOutcome {
  readonly kind: AttemptKind
  readonly milliseconds: number
  readonly status?: number
  /** The request itself is under suspicion of crashing upstreams, so this end says nothing about the upstream. */
  readonly blamedOnRequest?: boolean
}

/** An upstream that was picked for one attempt; `finish` must be called once. */
export interface UpstreamLease {
  /** `IP:PORT`. */
  readonly address: string
  finish (outcome: AttemptOutcome): void
}

/** What the balancer needs to pick an upstream. `exclude` lists addresses already tried, to be avoided where another is there. */
export interface PickQuestion {
  readonly pool: string
  readonly idempotent: boolean
  readonly exclude: readonly string[]
  readonly customer: string
  /** Path of the route, so that failures of one route need not be held against upstreams. */
  readonly route: string
}

/** Picks upstreams by health, load and zone. */
export interface Balancer {
  pick (question: PickQuestion): Result<UpstreamLease, Failure>
}

/** Permission to use the upstreams of a pool; `release` must be called once, with the milliseconds that the upstream took. */
export interface QueuePass {
  release (serviceMilliseconds: number): void
}

/** What a request brings to the queue. `deadlineMilliseconds` is on the monotonic clock. */
export interface QueueQuestion {
  readonly customer: string
  readonly pool: string
  readonly deadlineMilliseconds: number
  readonly signal: AbortSignal
}

/** The fair queue before a pool; a refusal means that the request was not run. */
export interface RequestQueue {
  enter (question: QueueQuestion): Promise<Result<QueuePass, Failure>>
}

/** Whether this entry has lately confirmed that its configuration is current. */
export interface FreshnessGate {
  isFresh (): boolean
}

/** The routing and key tables of the accepted configuration, replaced as a whole. */
export interface RequestTables {
  readonly routes: RouteTable
  readonly keys: KeyTable
}

/** Gives the tables of the configuration in force now. */
export interface TableSource {
  current (): RequestTables
}

/** One finished request, for logs and metrics. Never holds a key. */
export interface RequestRecord {
  readonly requestId: string
  readonly customer: string
  readonly pool: string
  readonly method: string
  readonly status: number
  /** Code of the refusal, or `answered`. */
  readonly code: string
  readonly attempts: number
  readonly milliseconds: number
}

/** Receives each finished request. */
export interface RequestObserver {
  finished (record: RequestRecord): void
}

/** A small whole answer that can be given again. Headers are a flat list of names and values. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: Buffer
}

/** How the request that holds a claim ended. */
export type ClaimEnd =
  | { readonly kind: 'answered', readonly answer: StoredAnswer | undefined }
  | { readonly kind: 'not_run' }
  | { readonly kind: 'unknown' }

/** The right to run a request once; `finish` must be called once. */
export interface ClaimTicket {
  finish (end: ClaimEnd): void
}

/** A claim on one Idempotency-Key of one customer, bound to the content by `fingerprint`. */
export interface ClaimQuestion {
  readonly customer: string
  readonly idempotencyKey: string
  readonly fingerprint: string
  readonly signal: AbortSignal
}

/** What the holders of claims decided. Only `granted` lets the request run. */
export type ClaimDecision =
  | { readonly kind: 'granted', readonly ticket: ClaimTicket }
  | { readonly kind: 'stored', readonly answer: StoredAnswer }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'content_differs' }
  | { readonly kind: 'unavailable' }

/** Records claims fleet-wide, so that one Idempotency-Key runs at most once. */
export interface ClaimStore {
  claim (question: ClaimQuestion): Promise<ClaimDecision>
}

/** Counts fleet-wide which requests bring upstreams down. */
export interface CrashWatch {
  /** Takes the right to run; the refusal says that requests of this fingerprint are held back, or cannot be checked now. */
  begin (fingerprint: string): Promise<Result<CrashTrial, Refusal>>
}

/** The runs of one request; `end` must be called once, after its last attempt. */
export interface CrashTrial {
  /** Asked before a further attempt. */
  again (): Promise<Refusal | undefined>
  /** Says how an attempt ended; true when its end may be the fault of the request rather than of the upstream. */
  finish (address: string, kind: AttemptKind): boolean
  end (): void
}

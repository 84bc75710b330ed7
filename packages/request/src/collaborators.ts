import type { Failure } from '@hickoryspoke/runtime/failure'
import type { Result } from 'ts-results-es'
import type { KeyTable } from './key-table.ts'
import type { Refusal } from './refusal.ts'
import type { RouteTable } from './route-table.ts'

/** Result of checking one request against the rate limit of its customer. */
export type AdmissionDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly retryAfterMilliseconds: number, readonly reason: string }

/** Refusal reason for a customer over its rate. Any other reason means that the rate could not be checked. */
export const REASON_LIMITED = 'limited'

/** Enforces each customer's rate and burst across the fleet. */
export interface Admission {
  admit (customer: string): Promise<AdmissionDecision>
}

/** How an attempt ended, as input to upstream health checking. */
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

/** Outcome of one attempt. `milliseconds` is the time from the choice of the upstream to the response head or the failure. */
export interface AttemptOutcome {
  readonly kind: AttemptKind
  readonly milliseconds: number
  readonly status?: number
  /** The request is suspected of crashing upstreams, so the outcome must not count against the upstream. */
  readonly blamedOnRequest?: boolean
}

/** An upstream chosen for one attempt. `finish` must be called exactly once. */
export interface UpstreamLease {
  /** `IP:PORT`. */
  readonly address: string
  finish (outcome: AttemptOutcome): void
}

/** Input of the load balancer. `exclude` lists addresses already tried, to be used again only if there is no other. */
export interface PickRequest {
  readonly pool: string
  readonly idempotent: boolean
  readonly exclude: readonly string[]
  readonly customer: string
  /** Path of the route, so that failures confined to one route need not count against upstreams. */
  readonly route: string
}

/** Chooses upstreams by health, load and availability zone. */
export interface Balancer {
  pick (question: PickRequest): Result<UpstreamLease, Failure>
}

/** Permission to use a pool. `release` must be called exactly once, with the time spent on the upstream. */
export interface QueuePermit {
  release (serviceMilliseconds: number): void
}

/** A request to be queued. `deadlineMilliseconds` is on the monotonic clock. */
export interface QueueRequest {
  readonly customer: string
  readonly pool: string
  readonly deadlineMilliseconds: number
  readonly signal: AbortSignal
}

/** Fair queue in front of a pool. An error means that the request did not run. */
export interface RequestQueue {
  enter (question: QueueRequest): Promise<Result<QueuePermit, Failure>>
}

/** Tells whether this entry has recently confirmed that its configuration is current. */
export interface FreshnessGate {
  isFresh (): boolean
}

/** Routing and key tables of one configuration. A new configuration replaces both at once. */
export interface RequestTables {
  readonly routes: RouteTable
  readonly keys: KeyTable
}

/** Provides the tables of the active configuration. */
export interface TableSource {
  current (): RequestTables
}

/** Summary of a finished request for logs and metrics. Never contains a key. */
export interface RequestRecord {
  readonly requestId: string
  readonly customer: string
  readonly pool: string
  readonly method: string
  readonly status: number
  /** Code of the refusal, or how the response ended: `answered`, `stored_answer` or `broken_off`. */
  readonly code: string
  readonly attempts: number
  readonly milliseconds: number
}

/** Notified of each finished request. */
export interface RequestObserver {
  finished (record: RequestRecord): void
}

/** A small complete response that can be replayed. Headers are a flat list of names and values. */
export interface StoredResponse {
  readonly status: number
  readonly headers: readonly string[]
  readonly body: Buffer
}

/** Final state of the request that holds a claim. */
export type ClaimEnd =
  | { readonly kind: 'answered', readonly answer: StoredResponse | undefined }
  | { readonly kind: 'not_run' }
  | { readonly kind: 'unknown' }

/** Permission to run a request once. `finish` must be called exactly once. */
export interface ClaimTicket {
  finish (end: ClaimEnd): void
}

/** Request for the claim on a customer's Idempotency-Key. `fingerprint` binds the key to the request content. */
export interface ClaimRequest {
  readonly customer: string
  readonly idempotencyKey: string
  readonly fingerprint: string
  readonly signal: AbortSignal
}

/** Decision of the claim holders. Only `granted` allows the request to run. */
export type ClaimDecision =
  | { readonly kind: 'granted', readonly ticket: ClaimTicket }
  | { readonly kind: 'stored', readonly answer: StoredResponse }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'content_differs' }
  | { readonly kind: 'unavailable' }

/** Records claims across the fleet, so that requests with the same Idempotency-Key run at most once. */
export interface ClaimStore {
  claim (question: ClaimRequest): Promise<ClaimDecision>
}

/** Detects across the fleet which requests crash upstreams, and blocks them. */
export interface CrashDetector {
  /** Asks for permission to run. Refuses if requests of this fingerprint are blocked, or cannot be checked now. */
  begin (fingerprint: string): Promise<Result<CrashTrial, Refusal>>
}

/** Monitors the attempts of one request. `end` must be called exactly once, after the last attempt. */
export interface CrashTrial {
  /** Asks for permission to make an attempt; `CrashDetector.begin` does so for the first one. Returns a refusal if it is not given. */
  beforeAttempt (): Promise<Refusal | undefined>
  /** Reports how an attempt ended. Returns true if the request rather than the upstream may be at fault. */
  finish (address: string, kind: AttemptKind): boolean
  end (): void
}

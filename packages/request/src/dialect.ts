/** What a deployment's headers say, apart from their names and formats. */
import type { UpstreamLoad } from '@hickoryspoke/protocol/generated/dispatch'
import type { RawHeaders } from './header-filter.ts'

/** What a caller says with its request. */
export interface CallerFacts {
  /** Names this request; empty when the caller gave no name. */
  readonly requestId: string
  readonly key: string | undefined
  /** How long the caller waits; undefined when it does not say. */
  readonly patienceMilliseconds: number | undefined
}

/** What goes to an upstream beside the caller's own headers. */
export interface UpstreamFacts {
  readonly instance: string
  /** Empty on open routes. */
  readonly customer: string
  readonly remainingMilliseconds: number
}

/** What the head of an upstream's answer says. */
export interface AnswerFacts {
  /** The upstream did not run the request. */
  readonly notRun: boolean
  /** Another instance has this address now. */
  readonly misdirected: boolean
  /** The answer was made by the upstream for this very request. */
  readonly genuine: boolean
  readonly load: UpstreamLoad | undefined
}

/** Headers of callers and upstreams, in a deployment's own names. */
export interface Dialect {
  readCaller (headers: RawHeaders): CallerFacts
  /** Headers for the upstream: the caller's without credentials and hop-by-hop ones, and the facts. */
  upstreamHeaders (headers: RawHeaders, facts: UpstreamFacts): string[]
  readAnswer (status: number, headers: RawHeaders, caller: CallerFacts): AnswerFacts
  /** Headers of an upstream's answer for the caller. */
  answerHeaders (headers: RawHeaders): string[]
}

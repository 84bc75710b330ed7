/** Abstraction over the headers of a deployment, whose names and formats vary. */
import type { StatedLimit, UpstreamLoad, UpstreamNotice } from '@hickoryspoke/protocol/generated/dispatch'
import type { RawHeaders } from './header-filter.ts'

/** Metadata in the headers of a caller's request. */
export interface CallerMetadata {
  /** Identifier of the request; empty if the caller sent none. */
  readonly requestId: string
  readonly key: string | undefined
  /** Time for which the caller waits for the response; undefined if it sent none. */
  readonly patienceMilliseconds: number | undefined
}

/** Metadata sent to an upstream in addition to the caller's headers. */
export interface UpstreamMetadata {
  readonly instance: string
  /** Empty on routes that need no key. */
  readonly customer: string
  readonly remainingMilliseconds: number
}

/** Metadata in the head of an upstream's response. */
export interface ResponseMetadata {
  /** The upstream declares that it did not run the request. */
  readonly notRun: boolean
  /** The request reached another instance than the one it was meant for. */
  readonly misdirected: boolean
  /** The response belongs to this request and can be trusted to come from the upstream. */
  readonly genuine: boolean
  readonly load: UpstreamLoad | undefined
  /** Whether the upstream limits the requests that it accepts; undefined if the response does not tell. */
  readonly statedLimit: StatedLimit | undefined
  /** Whether the upstream wants no further requests, from all entries or from this one; undefined if it accepts them. */
  readonly notice: UpstreamNotice | undefined
}

/** Reads and writes the headers that a deployment uses towards callers and upstreams. */
export interface Dialect {
  readCaller (headers: RawHeaders): CallerMetadata
  /** Returns the headers for the upstream: the caller's without credentials and hop-by-hop headers, plus the metadata. */
  upstreamHeaders (headers: RawHeaders, facts: UpstreamMetadata): string[]
  /**
   * Reads a response to the request of `caller`. `isKept` tells whether its connection carried earlier requests, of one of which it may be
   * a second copy.
   */
  readAnswer (status: number, headers: RawHeaders, caller: CallerMetadata, isKept: boolean): ResponseMetadata
  /** Returns the headers of an upstream's response that are passed on to the caller. */
  responseHeaders (headers: RawHeaders): string[]
}

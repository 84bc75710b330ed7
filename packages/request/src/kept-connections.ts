/** Which connections to upstreams are kept and used again, where a deployment asks for that. */
import { headerValue, type RawHeaders } from './header-filter.ts'

/** A connection is used for this much less than the upstream keeps it, as request and response take time to arrive and this process may be busy. */
const MARGIN_MILLISECONDS = 1_000
/** No connection is kept longer, as upstreams that are used so seldom gain little from it. */
const MAXIMUM_KEPT_MILLISECONDS = 30_000
/**
 * A kept connection that ends within this time after the request was sent, without a byte of a response, had been dropped by
 * its upstream before. A later end says something about the upstream.
 */
export const DROPPED_WITHIN_MILLISECONDS = 100
/** Idle connections to one upstream. Its connections are limited over all entries together, and a second one would be used rarely. */
const MAXIMUM_IDLE_PER_UPSTREAM = 1

/** How connections are kept for requests that come later. */
export interface KeepingSettings {
  readonly marginMilliseconds: number
  readonly maximumIdlePerUpstream: number
}

/** Settings of `UpstreamConnections` that keep a connection only for as long as its upstream states. */
export const KEPT_CONNECTION_SETTINGS = {
  idleMilliseconds: MAXIMUM_KEPT_MILLISECONDS,
  keeping: { marginMilliseconds: MARGIN_MILLISECONDS, maximumIdlePerUpstream: MAXIMUM_IDLE_PER_UPSTREAM } satisfies KeepingSettings
} as const

/** How long an upstream keeps the connection of a response, in milliseconds; 0 if it does not say. */
export function statedKeepAliveMilliseconds (headers: RawHeaders): number {
  const seconds = /(?:^|[,;\s])timeout\s*=\s*(\d{1,9}(?:\.\d+)?)(?=$|[,;\s])/i.exec(headerValue(headers, 'keep-alive') ?? '')?.[1]
  return seconds === undefined ? 0 : Number(seconds) * 1_000
}

/** What decides whether a request may use a kept connection. */
export interface ReuseQuestion {
  /** Whether the request may run again, its body can be sent again, and another attempt is permitted after this one. */
  readonly mayRetry: boolean
  /** Attempts that were begun before this one. */
  readonly attemptsBegun: number
  /** Whether the entry chose the upstream. Without a dispatcher nothing is sent a second time. */
  readonly isPlacedLocally: boolean
}

/**
 * Longest time for which a connection may have been idle. An upstream may drop an idle connection without notice, and then the request
 * must be sent again; so only a first attempt that may be followed by another uses one.
 */
export function maximumIdleOf ({ mayRetry, attemptsBegun, isPlacedLocally }: ReuseQuestion): number {
  return mayRetry && attemptsBegun === 0 && !isPlacedLocally ? MAXIMUM_KEPT_MILLISECONDS : 0
}

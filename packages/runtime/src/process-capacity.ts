/** How much of a process's descriptors and memory its clients may use. */

/** What a process may use, as its settings state it. */
export interface ProcessLimits {
  readonly descriptors: number
  readonly megabytes: number
}

/** The smallest machines of the deployments, for settings that state no limits. */
export const DEFAULT_PROCESS_LIMITS: ProcessLimits = { descriptors: 4_096, megabytes: 250 }

/** Descriptors of callers' connections, of requests in work, and of connections to upstreams. The rest is for the control VMs, relays, logs and files. */
const CALLER_SHARE = 0.25
const REQUEST_SHARE = 0.3
const UPSTREAM_SHARE = 0.375
/** A relayed connection takes two. */
const RELAYED_SHARE = 0.1
/** A control process connects to few others, and hundreds of upstreams announce themselves to it. */
const CONTROL_CALLER_SHARE = 0.5
/** Resident memory of a program without clients: 75 MB at rest, 112 MB for a moment when the first request compiles the HTTP client. */
const PROGRAM_MEGABYTES = 110
/** Share of the rest for what is counted. The counts are estimates, and garbage takes memory until it is collected. */
const COUNTED_SHARE = 0.5
/**
 * What a request may take whose large response is not read: 64 kB each in the connection to the upstream, in the response until
 * it is passed on, and in the connection to the caller.
 */
const UNREAD_REQUEST_BYTES = 196_608
const MINIMUM_REQUESTS = 32
/** A document is copied, decoded and kept beside the one in force while it is handled, so less is left for those that arrive. */
const CONTROL_COUNTED_SHARE = 0.35
const MINIMUM_COUNTED_BYTES = 8_388_608
const MEGABYTE = 1_048_576

/** Limits that follow from the descriptors and memory of an entry. */
export interface EntryCapacity {
  readonly callerConnections: number
  /** Requests in work, each of which may hold a connection to an upstream. */
  readonly requests: number
  readonly upstreamConnections: number
  readonly relayedConnections: number
  readonly heldBytes: number
}

/** Limits of an entry. */
export function entryCapacity ({ descriptors, megabytes }: ProcessLimits): EntryCapacity {
  return {
    callerConnections: Math.floor(descriptors * CALLER_SHARE),
    requests: Math.max(MINIMUM_REQUESTS, Math.floor(Math.min(descriptors * REQUEST_SHARE, (megabytes - PROGRAM_MEGABYTES) * MEGABYTE / UNREAD_REQUEST_BYTES))),
    upstreamConnections: Math.floor(descriptors * UPSTREAM_SHARE),
    relayedConnections: Math.floor(descriptors * RELAYED_SHARE),
    heldBytes: countedBytes(megabytes, COUNTED_SHARE)
  }
}

/** Limits of a control process: connections of callers, and bytes that are held for them. */
export function controlCapacity ({ descriptors, megabytes }: ProcessLimits): Pick<EntryCapacity, 'callerConnections' | 'heldBytes'> {
  return { callerConnections: Math.floor(descriptors * CONTROL_CALLER_SHARE), heldBytes: countedBytes(megabytes, CONTROL_COUNTED_SHARE) }
}

function countedBytes (megabytes: number, share: number): number {
  return Math.max(MINIMUM_COUNTED_BYTES, (megabytes - PROGRAM_MEGABYTES) * MEGABYTE * share)
}

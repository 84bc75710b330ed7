/** Faults of a fake upstream. Each of them can be changed while the upstream runs. */
export interface UpstreamFaults {
  /** Delay added to each response. */
  slowMilliseconds: number
  /** Share of requests answered with status 500, from 0 to 1. */
  errorShare: number
  /** Closes the connection after half of the body. */
  truncate: boolean
  /** Accepts requests and never answers. */
  hang: boolean
  /** Resets the connection instead of answering. */
  reset: boolean
  /** Crashes the process on a request with the crash header. */
  crashOnMarkedRequest: boolean
  /** Health endpoint: `true` reports the actual state, the other values report a fixed state. */
  healthAnswer: 'true' | 'always_well' | 'always_sick'
  /** Fixed load to report, from 0 to 1; undefined reports the actual load. */
  loadReport: number | undefined
  /** Delay added to the first responses after the start, as with a cold cache. */
  coldMilliseconds: number
  /** Number of responses that get the cold cache delay. */
  coldRequests: number
}

/** Request header that crashes a fake upstream with `crashOnMarkedRequest` set. */
export const CRASH_HEADER = 'x-crash'

/** Request header whose value is counted on each run, to detect requests that ran more than once. */
export const RUN_MARKER_HEADER = 'x-run-marker'

export function noFaults (): UpstreamFaults {
  return {
    slowMilliseconds: 0,
    errorShare: 0,
    truncate: false,
    hang: false,
    reset: false,
    crashOnMarkedRequest: false,
    healthAnswer: 'true',
    loadReport: undefined,
    coldMilliseconds: 0,
    coldRequests: 0
  }
}

/** Faults of a stand-in upstream; each can be switched while it runs. */
export interface UpstreamFaults {
  /** Added to each answer, in milliseconds. */
  slowMilliseconds: number
  /** Share of requests answered 500, from 0 to 1. */
  errorShare: number
  /** Breaks the connection off after half of the body. */
  truncate: boolean
  /** Accepts requests and never answers. */
  hang: boolean
  /** Resets the connection instead of answering. */
  reset: boolean
  /** The process dies on a request that carries the crash header. */
  crashOnMarkedRequest: boolean
  /** What the health endpoint says whatever the truth. */
  healthAnswer: 'true' | 'always_well' | 'always_sick'
  /** Fixed load report from 0 to 1; undefined reports the truth. */
  loadReport: number | undefined
  /** Extra milliseconds on the first answers after the start, for a cold cache. */
  coldMilliseconds: number
  /** Number of answers that are still cold. */
  coldRequests: number
}

/** Request header that makes a stand-in with `crashOnMarkedRequest` die. */
export const CRASH_HEADER = 'x-crash'

/** Request header whose value is counted for each run, to show doubled runs. */
export const RUN_MARKER_HEADER = 'x-run-marker'

/** No fault at all. */
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

import type { ProbeResult } from '@hickoryspoke/health/upstream-health'
import { request } from 'undici'

const PROBE_TIMEOUT_MILLISECONDS = 1_000

/** Requests the health endpoint of an upstream at IP:PORT. A status of 200 counts as healthy. */
export async function probeUpstream (address: string): Promise<ProbeResult> {
  try {
    const answer = await request(`http://${address}/health`, {
      headersTimeout: PROBE_TIMEOUT_MILLISECONDS,
      bodyTimeout: PROBE_TIMEOUT_MILLISECONDS,
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MILLISECONDS),
      reset: true
    })
    await answer.body.dump()
    return { reachable: true, healthy: answer.statusCode === 200 }
  } catch {
    return { reachable: false, healthy: false }
  }
}

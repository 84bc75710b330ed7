import { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { LeaderConnection } from '../leader-connection.ts'
import type { LeaderConnectionListener, LeaderConnectionOptions } from '../leader-connection-options.ts'

/** Credentials of all processes of a test. */
export const CREDENTIALS = InnerCredentials.create({ kind: 'plain_text' })

/** Does nothing, in place of a callback that does not matter. */
export const ignore = (): void => {}
const LISTENER: LeaderConnectionListener = {
  placed: ignore,
  denied: ignore,
  overdue: ignore,
  configured: ignore,
  upstreamsChanged: ignore,
  limited: ignore,
  suspected: ignore,
  zonesChanged: ignore,
  connected: ignore,
  lost: ignore,
  questionSent: ignore,
  confirmed: ignore
}

/** Starts a connection to the control VMs at the given addresses. */
export function connectTo (clock: Clock, seeds: readonly string[], options: Partial<Pick<LeaderConnectionOptions, 'openStream' | 'isWaiting'>> = {}) {
  const stopping = new AbortController()
  const connection = LeaderConnection.create({
    name: 'entry',
    zone: 'zone-a',
    mirror: false,
    relay: '',
    isRelaying: () => false,
    seeds: () => seeds,
    credentials: CREDENTIALS,
    clock,
    random: SeededRandom.create(1),
    logger: silentLogger(),
    listener: LISTENER,
    held: () => undefined,
    running: () => [],
    knownUpstreams: () => [],
    upstreamDigest: () => '',
    knownLimits: () => [],
    admissionReport: () => ({ admitted: [], fleetShare: 0 }),
    isWaiting: () => false,
    wanted: () => true,
    ...options
  })
  const running = connection.run(stopping.signal)
  return { connection, running, stop: () => stopping.abort() }
}

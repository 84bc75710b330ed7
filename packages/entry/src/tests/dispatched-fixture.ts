/** An entry on loopback whose dispatcher is played by the test. */
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { ActiveConfiguration } from '@hickoryspoke/dispatch/active-configuration'
import { LocalPlacer } from '@hickoryspoke/dispatch/local-placer'
import { PlacementClient } from '@hickoryspoke/dispatch/placement-client'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import type { PlacementEnd, PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { DispatchedOutcome } from '@hickoryspoke/request/attempt-history'
import type { Dialect } from '@hickoryspoke/request/dialect'
import { DispatchedRunner } from '@hickoryspoke/request/dispatched-runner'
import { callerResponseHeaders } from '@hickoryspoke/request/header-filter'
import { KEPT_CONNECTION_SETTINGS } from '@hickoryspoke/request/kept-connections'
import { ServingTable } from '@hickoryspoke/request/serving-table'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { Logger, LogLevel } from '@hickoryspoke/telemetry/logger'
import { CallerServer } from '../caller-server.ts'

/** Callers give each request the identifier that `identify` returns for its number. */
const createDialect = (identify: (number: number) => string): Dialect => ({
  readCaller: () => ({ requestId: identify(nextNumber++), key: undefined, patienceMilliseconds: undefined }),
  upstreamHeaders: () => [],
  readAnswer: () => ({ notRun: false, misdirected: false, genuine: true, load: undefined, statedLimit: undefined, notice: undefined }),
  responseHeaders: callerResponseHeaders
})
let nextNumber = 0
const ROUTE = {
  name: 'all',
  host: '127.0.0.1',
  prefix: '/',
  mayRepeat: false,
  timeoutMilliseconds: 9_000,
  targetMilliseconds: 5_000,
  priority: 1,
  maximumAttempts: 2,
  open: true,
  shares: [{ pool: 'ledger', weight: 1 }]
}
const CONFIGURATION: ServingConfiguration = {
  number: 0,
  keyed: false,
  bounds: { maximumHeaderBytes: 16_384, maximumBodyBytes: 1_000, headerTimeoutMilliseconds: 3_000, idleTimeoutMilliseconds: 15_000 },
  pools: [],
  customers: [],
  routes: []
}

/** A second route, whose requests may take long in any case. */
const SLOW_ROUTE = { ...ROUTE, name: 'slow', prefix: '/slow/' }

/** Options of an entry, with those of its first route. */
export interface DispatchedFixtureOptions {
  readonly mayRepeat?: boolean
  readonly timeoutMilliseconds?: number
  readonly maximumAttempts?: number
  /** Whether connections are kept for as long as upstreams state. */
  readonly keepsConnections?: boolean
  /** Identifier of each request, which has a number of its own; by default each has another one. */
  readonly identify?: (number: number) => string
}

/** Options of the runner of an entry. */
export interface RunFixtureOptions {
  readonly spreadsReturns?: boolean
}

/** Starts an entry whose dispatcher receives questions. `answer` gets the client and each question. */
export async function startDispatched (
  answer: (client: PlacementClient, question: PlacementQuestion) => void, options: DispatchedFixtureOptions = {}, run: RunFixtureOptions = {}
) {
  const clock = SystemClock.create()
  const random = SeededRandom.create(1)
  const placer = LocalPlacer.create({ clock, random, registry: UpstreamRegistry.create(clock), entry: 'one', zone: 'zone-a', windowMilliseconds: 5_000 })
  const ends: PlacementEnd[] = []
  const ask = (question: PlacementQuestion): boolean => {
    queueMicrotask(() => answer(placementClient, question))
    return true
  }
  const placementClient = PlacementClient.create({ clock, placer, isLeaving: () => false, ask, sendEnd: (end) => ends.push(end) > 0 })
  placementClient.connected()
  const inForce = ActiveConfiguration.create(clock, 60_000)
  inForce.recordQuestion(1)
  inForce.confirm(1, undefined)
  const table = ServingTable.create({ ...CONFIGURATION, routes: [{ ...ROUTE, ...options }, SLOW_ROUTE] })
  const connections = UpstreamConnections.create(clock, options.keepsConnections === true ? KEPT_CONNECTION_SETTINGS : {})
  const dialect = createDialect(options.identify ?? String)
  const runOptions = { clock, random, dialect, connections, placementClient, inForce, table: () => table, mayRelayThrough: () => true, ...run }
  const outcomes: DispatchedOutcome[] = []
  const lines: string[] = []
  const logger = Logger.create('entry', LogLevel.Info, (line) => lines.push(line))
  const runner = DispatchedRunner.create(runOptions, logger, { finished: (end) => outcomes.push(end) })
  const server = CallerServer.create({ clock, runner, host: '127.0.0.1', port: 0 })
  const port = (await server.listen()).unwrap()
  const url = `http://127.0.0.1:${port}/`
  const untilRunning = async (requests: number): Promise<void> => {
    while (runner.inFlight < requests) await new Promise((resolve) => setImmediate(resolve))
  }
  return { server, port, ends, outcomes, lines, untilRunning, send: async () => await fetch(url).then(({ status }) => status, () => 0) }
}

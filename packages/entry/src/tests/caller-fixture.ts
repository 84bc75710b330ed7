import { createConnection } from 'node:net'
import type { Route } from '@hickoryspoke/configuration/desired-state'
import type { AttemptOutcome, Balancer, ClaimStore, CrashDetector, RequestQueue, RequestRecord } from '@hickoryspoke/request/collaborators'
import { KeyTable, keyDigest } from '@hickoryspoke/request/key-table'
import { PoolPolicies, type PoolPolicySettings } from '@hickoryspoke/request/pool-policy'
import { Refusal } from '@hickoryspoke/request/refusal'
import { RequestRunner } from '@hickoryspoke/request/request-runner'
import { RouteTable } from '@hickoryspoke/request/route-table'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import type { ClientLimiter } from '@hickoryspoke/runtime/client-limiter'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { Err, Ok } from 'ts-results-es'
import { CallerServer } from '../caller-server.ts'
import type { CallerLimits, CallerTls } from '../caller-settings.ts'

export const TEST_KEY = 'hs-test-key-0123456789'
export const AUTHORIZED = `Authorization: Bearer ${TEST_KEY}\r\n`

export interface FixtureOptions {
  readonly addresses: readonly string[]
  readonly routes?: readonly Partial<Route>[]
  readonly limits?: Partial<CallerLimits>
  readonly policies?: Partial<PoolPolicySettings>
  readonly claims?: ClaimStore
  readonly crashes?: CrashDetector
  readonly queue?: RequestQueue
  readonly isFresh?: () => boolean
  readonly tls?: CallerTls
  readonly limiter?: ClientLimiter
}

export const FIXTURE_ROUTES: readonly Partial<Route>[] = [
  { path: '/ledger', timeout_milliseconds: 400 },
  { path: '/public', open: true },
  { path: '/marked', idempotent: true, timeout_milliseconds: 400 }
]

/** Caller server and request runner of an entry. The upstreams are given by the test and picked in turn. */
export class CallerFixture {
  readonly outcomes: (AttemptOutcome & { address: string })[] = []
  readonly records: RequestRecord[] = []
  keys = KeyTable.create([{ customer: 'curators', digest: keyDigest(TEST_KEY) }])
  port = 0

  private constructor (readonly runner: RequestRunner, readonly server: CallerServer, readonly connections: UpstreamConnections) {}

  static async create (options: FixtureOptions): Promise<CallerFixture> {
    const clock = SystemClock.create()
    const connections = UpstreamConnections.create(clock, { connectTimeoutMilliseconds: 200 })
    const routes = RouteTable.create((options.routes ?? FIXTURE_ROUTES).map(completeRoute))
    const holder: { fixture?: CallerFixture } = {}
    const runner = RequestRunner.create({
      clock,
      random: SeededRandom.create(7),
      connections,
      tables: { current: () => ({ routes, keys: holder.fixture?.keys ?? KeyTable.create([]) }) },
      freshness: { isFresh: options.isFresh ?? (() => true) },
      admission: { admit: async () => ({ admitted: true }) },
      balancer: createRoundRobinBalancer(options.addresses, (address, outcome) => holder.fixture?.outcomes.push({ ...outcome, address })),
      policies: PoolPolicies.create(options.policies ?? {}),
      claims: options.claims,
      crashes: options.crashes,
      queue: options.queue,
      observer: { finished: (record) => holder.fixture?.records.push(record) }
    })
    const server = CallerServer.create({ clock, runner, host: '127.0.0.1', port: 0, limits: { timeoutCheckMilliseconds: 50, ...options.limits }, tls: options.tls, limiter: options.limiter })
    const fixture = new CallerFixture(runner, server, connections)
    holder.fixture = fixture
    fixture.port = (await server.listen()).unwrap()
    return fixture
  }

  /** Sends raw text on a new connection. Returns everything received until the connection closes or the time is up. */
  raw (text: string, waitMilliseconds = 1500): Promise<string> {
    return new Promise((resolve) => {
      const socket = createConnection(this.port, '127.0.0.1')
      let received = ''
      const timer = setTimeout(() => socket.destroy(), waitMilliseconds)
      socket.on('data', (chunk) => { received += chunk.toString('latin1') })
      socket.on('error', () => {})
      socket.on('close', () => {
        clearTimeout(timer)
        resolve(received)
      })
      socket.write(Buffer.from(text, 'latin1'))
    })
  }

  /** Sends one request with the key of the fixture on a connection of its own. */
  async ask (method: string, path: string, headers = '', body = ''): Promise<string> {
    const length = body === '' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`
    return await this.raw(`${method} ${path} HTTP/1.1\r\nHost: entry\r\n${AUTHORIZED}${headers}${length}Connection: close\r\n\r\n${body}`)
  }

  async close (): Promise<void> {
    this.server.close()
    this.connections.close()
  }
}

/** Waits until a condition holds. Throws after the limit. */
export async function until (isDone: () => boolean, limitMilliseconds = 5_000): Promise<void> {
  const end = performance.now() + limitMilliseconds
  while (!isDone()) {
    if (performance.now() > end) throw new Error(`condition not met: ${isDone}`)
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}

/** Status of a response given as text, or 0 if there is none. */
export function statusOf (answer: string): number {
  return Number(/^HTTP\/1\.1 (\d{3})/.exec(answer)?.[1] ?? 0)
}

/** Value of a header of a response given as text. */
export function headerOf (answer: string, name: string): string | undefined {
  return new RegExp(`\\r\\n${name}: ([^\\r]*)\\r\\n`, 'i').exec(answer)?.[1]
}

/** Code of a problem+json response given as text. */
export function codeOf (answer: string): string | undefined {
  return /"code":"([a-z_]+)"/.exec(answer)?.[1]
}

function completeRoute (route: Partial<Route>): Route {
  return { path: '/', pool: 'ledger', open: false, timeout_milliseconds: 1000, ...route }
}

function createRoundRobinBalancer (addresses: readonly string[], report: (address: string, outcome: AttemptOutcome) => void): Balancer {
  let turn = 0
  return {
    pick: ({ exclude }) => {
      const others = addresses.filter((address) => !exclude.includes(address))
      const choice = others.length > 0 ? others : addresses
      const address = choice[turn % choice.length]
      if (others.length === addresses.length) turn += 1
      if (address === undefined) return Err(Refusal.create('no_healthy_upstream'))
      return Ok({ address, finish: (outcome) => report(address, outcome) })
    }
  }
}

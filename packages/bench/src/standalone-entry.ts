import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Route } from '@hickoryspoke/configuration/desired-state'
import { CallerServer } from '@hickoryspoke/entry/caller-server'
import type { Balancer, ClaimStore, UpstreamLease } from '@hickoryspoke/request/collaborators'
import { KeyTable, keyDigest } from '@hickoryspoke/request/key-table'
import { PoolPolicies, type PoolPolicySettings } from '@hickoryspoke/request/pool-policy'
import { Refusal } from '@hickoryspoke/request/refusal'
import { RequestRunner } from '@hickoryspoke/request/request-runner'
import { RouteTable } from '@hickoryspoke/request/route-table'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { randomBelow, SystemRandom } from '@hickoryspoke/runtime/random'
import { Err, Ok } from 'ts-results-es'

export const BENCH_KEY = 'bench-key-0123456789'
const IDLE_MILLISECONDS = 60_000

/** Options of an entry that runs without a fleet: every request is admitted and upstreams are picked at random. */
export interface StandaloneEntryOptions {
  readonly addresses: readonly string[]
  readonly policies?: Partial<PoolPolicySettings>
  readonly claims?: ClaimStore
  readonly timeoutMilliseconds?: number
}

export interface StandaloneEntry {
  readonly port: number
  readonly connections: UpstreamConnections
  close (): void
}

/** Starts the HTTP server and the request runner of an entry on loopback. */
export async function startStandaloneEntry (options: StandaloneEntryOptions): Promise<StandaloneEntry> {
  const clock = SystemClock.create()
  const route: Route = { path: '/', pool: 'p', open: false, timeout_milliseconds: options.timeoutMilliseconds ?? 10_000 }
  const tables = { routes: RouteTable.create([route]), keys: KeyTable.create([{ customer: 'c', digest: keyDigest(BENCH_KEY) }]) }
  const connections = UpstreamConnections.create(clock, { maximumPerUpstream: 2000 })
  const runner = RequestRunner.create({
    clock,
    random: SystemRandom.create(),
    connections,
    tables: { current: () => tables },
    freshness: { isFresh: () => true },
    admission: { admit: async () => ({ admitted: true }) },
    balancer: createRandomBalancer(options.addresses),
    policies: PoolPolicies.create(options.policies ?? {}),
    claims: options.claims
  })
  const limits = { idleTimeoutMilliseconds: IDLE_MILLISECONDS }
  const server = CallerServer.create({ clock, runner, host: '127.0.0.1', port: 0, limits })
  const port = (await server.listen()).unwrap()
  const close = (): void => {
    server.close()
    connections.close()
  }
  return { port, connections, close }
}

function createRandomBalancer (addresses: readonly string[]): Balancer {
  const random = SystemRandom.create()
  return {
    pick: ({ exclude }) => {
      const others = exclude.length === 0 ? addresses : addresses.filter((address) => !exclude.includes(address))
      const choice = others.length > 0 ? others : addresses
      const address = choice[randomBelow(random, choice.length)]
      if (address === undefined) return Err(Refusal.create('no_healthy_upstream'))
      const lease: UpstreamLease = { address, finish: () => {} }
      return Ok(lease)
    }
  }
}

/** A TCP upstream with little overhead: it calls `answer` for each request head and ignores request bodies. */
export class MinimalUpstream {
  requests = 0

  private constructor (private readonly server: Server) {}

  static async create (answer: (socket: Socket) => void): Promise<MinimalUpstream> {
    const server = createServer({ noDelay: true })
    const upstream = new MinimalUpstream(server)
    server.on('connection', (socket) => {
      socket.on('error', () => {})
      socket.on('data', (chunk) => {
        const text = chunk.toString('latin1')
        if (!/^[A-Z]+ \//.test(text)) return
        upstream.requests += 1
        answer(socket)
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return upstream
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  close (): void {
    this.server.close()
  }
}

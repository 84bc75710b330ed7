/** An entry process whose upstreams are chosen by the fleet's dispatcher. */
import { createServer, type Server } from 'node:http'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import { ConfigurationInForce } from '@hickoryspoke/dispatch/configuration-in-force'
import { DispatchLink } from '@hickoryspoke/dispatch/dispatch-link'
import { LocalPlacer } from '@hickoryspoke/dispatch/local-placer'
import { PlacementDesk } from '@hickoryspoke/dispatch/placement-desk'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import type { ServingUpdate } from '@hickoryspoke/protocol/generated/dispatch'
import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import type { Dialect } from '@hickoryspoke/request/dialect'
import { DispatchedRunner } from '@hickoryspoke/request/dispatched-runner'
import { ServingTable } from '@hickoryspoke/request/serving-table'
import { UpstreamConnections } from '@hickoryspoke/request/upstream-connections'
import { splitAddress } from '@hickoryspoke/runtime/address'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Failure } from '@hickoryspoke/runtime/failure'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Metrics } from '@hickoryspoke/telemetry/metrics'
import { Ok, type Result } from 'ts-results-es'
import { CallerServer } from './caller-server.ts'
import { DispatchedEntryMetrics } from './dispatched-entry-metrics.ts'
import { EntryLifecycle, EntryPhase } from './entry-lifecycle.ts'

/** What the entry takes from its settings. Addresses are IP:PORT; times in milliseconds. */
export interface DispatchedEntrySettings {
  readonly name: string
  readonly zone: string
  readonly callers: string
  readonly readiness: string
  readonly readinessPath: string
  /** How long a confirmation that the configuration is in force counts. */
  readonly freshMilliseconds: number
  /** Window in which a customer's rate is judged. */
  readonly rateWindowMilliseconds: number
  /** From the order to stop until the process must be gone. */
  readonly stopMilliseconds: number
  /** Inner addresses of control VMs, asked anew for each connection. */
  readonly seeds: () => readonly string[]
}

/** What the entry takes from its surroundings. */
export interface DispatchedEntryParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly credentials: InnerCredentials
  readonly dialect: Dialect
}

/** An entry without a dispatcher for this long is not ready, so that callers are sent to others. */
const UNATTENDED_READY_MILLISECONDS = 2_000
/** Longest that callers are still served after the order to stop, so that the balancer can notice. */
const ANNOUNCE_MILLISECONDS = 2_600
/** Kept back at the end of a stop for closing connections. */
const RESERVE_MILLISECONDS = 500
const CONNECT_TIMEOUT_MILLISECONDS = 400

/** One entry process, from start to graceful stop. */
export class DispatchedEntry {
  private readonly stopping = new AbortController()
  private readonly lifecycle: EntryLifecycle
  private readonly observed = DispatchedEntryMetrics.create()
  private readonly registry: UpstreamRegistry
  private readonly inForce: ConfigurationInForce
  private readonly placer: LocalPlacer
  private readonly desk: PlacementDesk
  private readonly link: DispatchLink
  private readonly connections: UpstreamConnections
  private readonly runner: DispatchedRunner
  private readonly callers: CallerServer
  private readonly readiness: Server
  private table: ServingTable | undefined
  /** Entries of the fleet as the leader told last; 0 while unknown. */
  private entries = 0

  private constructor (private readonly settings: DispatchedEntrySettings, private readonly parts: DispatchedEntryParts) {
    const { clock, random, logger, credentials, dialect } = parts
    const { name, zone } = settings
    this.lifecycle = EntryLifecycle.create((phase) => logger.info('phase changed', { phase }))
    this.registry = UpstreamRegistry.create(clock)
    this.inForce = ConfigurationInForce.create(clock, settings.freshMilliseconds)
    this.inForce.onChange((configuration) => this.configure(configuration))
    this.placer = LocalPlacer.create({ clock, random, registry: this.registry, entry: name, zone, windowMilliseconds: settings.rateWindowMilliseconds })
    this.desk = PlacementDesk.create({
      clock,
      placer: this.placer,
      ask: (value) => this.link.send({ body: { $case: 'question', value } }),
      tellEnd: (value) => this.link.send({ body: { $case: 'end', value } })
    })
    this.link = DispatchLink.create({
      name,
      zone,
      mirror: false,
      seeds: settings.seeds,
      credentials,
      clock,
      random,
      logger,
      held: () => this.inForce.number,
      running: () => this.desk.running(),
      known: () => this.registry.announcements(),
      admissions: () => this.placer.report(this.entries),
      wanted: () => true,
      listener: {
        placed: (placement) => this.desk.takePlacement(placement),
        denied: (denial) => this.desk.takeDenial(denial),
        configured: (update) => this.takeConfiguration(update),
        upstreamsChanged: (update) => this.registry.merge(update.upstreams),
        suspected: (suspicions) => this.placer.takeSuspicions(suspicions),
        attended: () => this.desk.attended(),
        lost: () => this.lost(),
        asked: (question) => this.inForce.noteQuestion(question),
        confirmed: ({ question, number, entries }) => {
          this.entries = entries
          this.inForce.confirm(question, number)
        }
      }
    })
    this.connections = UpstreamConnections.create(clock, { connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS })
    this.runner = DispatchedRunner.create({
      clock, random, dialect, connections: this.connections, desk: this.desk, inForce: this.inForce, table: () => this.table
    }, logger, this.observed)
    this.observed.follow({ inForce: this.inForce, desk: this.desk, inFlight: () => this.runner.inFlight, isReady: () => this.isReady })
    const { host, port } = splitAddress(settings.callers)
    this.callers = CallerServer.create({ clock, runner: this.runner, host, port })
    this.readiness = createServer((request, response) => {
      const ready = request.url === settings.readinessPath && this.isReady
      response.writeHead(ready ? 200 : 503).end()
    })
  }

  static async start (settings: DispatchedEntrySettings, parts: DispatchedEntryParts): Promise<Result<DispatchedEntry, Failure>> {
    const entry = new DispatchedEntry(settings, parts)
    const listening = await entry.callers.listen()
    if (listening.isErr()) return listening
    const { host, port } = splitAddress(settings.readiness)
    entry.readiness.listen(port, host)
    void entry.link.run(entry.stopping.signal)
    entry.lifecycle.send('ready')
    parts.logger.info('entry is listening', { callers: settings.callers, zone: settings.zone })
    return Ok(entry)
  }

  /** Counters and latencies of this entry. */
  get metrics (): Metrics {
    return this.observed.metrics
  }

  /** Whether callers should be sent here. */
  get isReady (): boolean {
    if (this.lifecycle.phase !== EntryPhase.Serving || this.table === undefined) return false
    return this.inForce.isFresh() && this.desk.unattendedMilliseconds < UNATTENDED_READY_MILLISECONDS
  }

  /** Tells the balancer, serves what still comes, and ends when the last answer is given. */
  async stop (): Promise<void> {
    const { clock, logger } = this.parts
    const startedAt = clock.monotonicMilliseconds()
    this.lifecycle.send('drain')
    const finishMilliseconds = this.settings.stopMilliseconds - ANNOUNCE_MILLISECONDS - RESERVE_MILLISECONDS
    const report = await this.callers.drain({ announceMilliseconds: ANNOUNCE_MILLISECONDS, finishMilliseconds })
    this.stopping.abort()
    logger.info('entry stopped', {
      milliseconds: Math.round(clock.monotonicMilliseconds() - startedAt), finished: report.finished, lost: report.lost.length
    })
    this.lifecycle.send('stop')
    this.connections.close()
    this.readiness.closeAllConnections()
    this.readiness.close()
  }

  /** Requests that would be lost if the process ended now. */
  unfinished (): string {
    return `${this.runner.inFlight} requests in flight`
  }

  private configure (configuration: ServingConfiguration): void {
    this.table = ServingTable.create(configuration)
    const { bounds } = configuration
    this.callers.setLimits({
      maximumHeaderBytes: bounds.maximumHeaderBytes,
      headersTimeoutMilliseconds: bounds.headerTimeoutMilliseconds,
      idleTimeoutMilliseconds: bounds.idleTimeoutMilliseconds
    })
    this.parts.logger.info('configuration in force', { number: configuration.number, routes: configuration.routes.length })
  }

  private takeConfiguration (update: ServingUpdate): void {
    const taken = this.inForce.take(update)
    if (taken.isOk()) return
    this.parts.logger.error('configuration could not be read', { number: update.number, reason: taken.error.message })
    this.link.restart()
  }

  private lost (): void {
    this.placer.begin(this.entries, (customer) => this.table?.rateTermsOf(customer))
    this.desk.lost()
  }
}

import { setMaxListeners } from 'node:events'
import { Server } from '@grpc/grpc-js'
import { checkAnnouncementToken, parseAnnouncement, parseWithdrawal, type AnnouncementRefused } from '@hickoryspoke/membership/announcement'
import { InnerCredentials, toInnerSecurity } from '@hickoryspoke/protocol/inner-credentials'
import type { Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'
import { type CallerCertificateFiles, readCallerTls, watchCallerTls } from './caller-certificates.ts'
import { CallerServer } from './caller-server.ts'
import type { CallerTls } from './caller-settings.ts'
import { EntryLifecycle, EntryPhase } from './entry-lifecycle.ts'
import { EntryServices, type EntryEnvironment } from './entry-services.ts'
import type { EntrySettings } from './entry-settings.ts'
import { InnerServer, type Readiness } from './inner-server.ts'

const READINESS_POLL_INTERVAL_MILLISECONDS = 50
const MAXIMUM_PEER_MESSAGE_BYTES = 8_388_608

/** One entry process: its servers and services, from start to graceful stop. */
export class EntryNode {
  private readonly stopping = new AbortController()
  private readonly lifecycle: EntryLifecycle
  private backgroundTasks: Promise<void> = Promise.resolve()
  private inner: InnerServer | undefined
  private wasMembershipApplied = false
  /** IP:PORT of the public port. */
  publicAddress = ''

  private constructor (
    private readonly settings: EntrySettings,
    private readonly environment: EntryEnvironment,
    private readonly services: EntryServices,
    private readonly peerServer: Server,
    private readonly callers: CallerServer
  ) {
    setMaxListeners(0, this.stopping.signal)
    this.lifecycle = EntryLifecycle.create((phase) => environment.logger.info('phase changed', { phase }))
  }

  static async start (settings: EntrySettings, environment: EntryEnvironment): Promise<Result<EntryNode, Failure>> {
    const files = certificateFiles(settings)
    const read = files === undefined ? Ok(undefined) : await readCallerTls(files)
    if (read.isErr()) return read
    const tls = read.value
    const credentials = InnerCredentials.create(toInnerSecurity(settings.security))
    const peerServer = new Server({ 'grpc.max_receive_message_length': MAXIMUM_PEER_MESSAGE_BYTES })
    const peerPort = await credentials.bind(peerServer, settings.listen.peer)
    if (peerPort.isErr()) return peerPort
    const peerAddress = settings.advertise_peer ?? withPort(settings.listen.peer, peerPort.value)
    const services = EntryServices.create(settings, environment, credentials, peerAddress)
    services.network.addTo(peerServer)
    const node = new EntryNode(settings, environment, services, peerServer, createCallerServer(settings, environment, services, tls))
    const listening = await node.listen()
    if (listening.isErr()) return listening
    if (files !== undefined && tls !== undefined) {
      void watchCallerTls(files, tls, node.callers, { ...environment, signal: node.stopping.signal })
    }
    return Ok(node)
  }

  /** IP:PORT of the inner port. */
  get innerAddress (): string {
    return this.inner?.address ?? ''
  }

  /** Whether the load balancer should send callers to this entry, and if not, why. */
  readiness (): Readiness {
    const { follower } = this.services
    // Only the first epoch is waited for, because with later epochs shares and claims are handed over.
    this.wasMembershipApplied ||= this.isMembershipApplied()
    const reasons = [
      ...(this.lifecycle.phase === EntryPhase.Draining || this.lifecycle.phase === EntryPhase.Stopped ? ['draining'] : []),
      ...(follower.current() === undefined ? ['no configuration yet'] : []),
      ...(follower.guard.isFresh() ? [] : ['not fresh: no quorum of witnesses and no control confirmed the versions lately']),
      ...(this.wasMembershipApplied ? [] : ['shares and claims of customers are not in force here yet'])
    ]
    return { ready: reasons.length === 0, reasons }
  }

  /** Whether shares and claims have applied the membership of the current epoch. */
  isMembershipApplied (): boolean {
    return this.services.limiter.ready() && this.services.claims.isReady()
  }

  /** Number of entries in the membership held by this entry. */
  enrolledEntries (): number {
    return this.services.follower.current()?.membership.entries.length ?? 0
  }

  /**
   * Stops gracefully: reports not ready, finishes the requests in flight within the grace time, hands shares over, and
   * tells peers and control that this entry leaves.
   */
  async stop (): Promise<void> {
    const { clock } = this.environment
    this.lifecycle.send('drain')
    const graceMilliseconds = this.settings.shutdown.grace_seconds * 1000
    const announceMilliseconds = this.settings.shutdown.announce_seconds * 1000
    const report = await this.callers.drain({ announceMilliseconds, finishMilliseconds: graceMilliseconds })
    this.environment.logger.info('drained', { report: JSON.stringify(report) })
    await this.services.limiter.close()
    this.services.registry.close()
    this.services.registry.liveness.leave()
    this.services.follower.leave()
    await new Promise<void>((resolve) => clock.schedule(READINESS_POLL_INTERVAL_MILLISECONDS, resolve))
    this.stopping.abort()
    await this.backgroundTasks
    this.services.connections.close()
    this.services.network.close()
    this.peerServer.forceShutdown()
    await this.inner?.stop()
    this.lifecycle.send('stop')
  }

  /** Describes the requests that would be lost if the process ended now. */
  unfinished (): string {
    return `requests in flight: ${this.services.runner.running.join(', ') || 'none'}`
  }

  /** Resolves when the entry is ready or is being stopped. */
  async waitUntilReady (): Promise<void> {
    while (!this.readiness().ready && !this.stopping.signal.aborted) {
      await new Promise<void>((resolve) => this.environment.clock.schedule(READINESS_POLL_INTERVAL_MILLISECONDS, resolve))
    }
  }

  private async listen (): Promise<Result<void, Failure>> {
    const { listen } = this.settings
    this.inner = await InnerServer.start(listen.inner, {
      readiness: () => this.readiness(),
      metrics: async () => await this.services.metrics.expose(),
      announce: (announcement, token) => this.announce(announcement, token),
      withdraw: (announcement, token) => this.withdraw(announcement, token)
    }, this.environment.clock)
    const port = await this.callers.listen()
    if (port.isErr()) return Err(port.error)
    this.publicAddress = withPort(listen.public, port.value)
    this.backgroundTasks = this.services.run(this.stopping.signal)
    void this.waitUntilReady().then(() => this.lifecycle.send('ready'))
    this.environment.logger.info('entry is listening', { public: this.publicAddress, inner: this.innerAddress })
    return Ok.EMPTY
  }

  private announce (announcement: unknown, token: string): Result<void, AnnouncementRefused> {
    return this.authorize(parseAnnouncement(announcement), token).andThen(() => this.services.registry.announce(announcement))
  }

  private withdraw (withdrawal: unknown, token: string): Result<void, AnnouncementRefused> {
    const authorized = this.authorize(parseWithdrawal(withdrawal), token)
    return authorized.andThen(({ pool, address, incarnation }) => this.services.registry.withdraw(pool, address, incarnation))
  }

  private authorize<Parsed extends { readonly pool: string }> (shape: Result<Parsed, AnnouncementRefused>, token: string): Result<Parsed, AnnouncementRefused> {
    return shape.andThen((parsed) => {
      const pool = this.services.follower.current()?.state.pools.find((candidate) => candidate.name === parsed.pool)
      return checkAnnouncementToken(token, pool?.announce_digest).map(() => parsed)
    })
  }
}

function createCallerServer (settings: EntrySettings, { clock }: EntryEnvironment, services: EntryServices, tls: CallerTls | undefined): CallerServer {
  const separator = settings.listen.public.lastIndexOf(':')
  return CallerServer.create({
    clock,
    runner: services.runner,
    host: settings.listen.public.slice(0, separator),
    port: Number(settings.listen.public.slice(separator + 1)),
    limits: { maximumHeaderBytes: settings.callers.header_bytes },
    ...(tls === undefined ? {} : { tls })
  })
}

function certificateFiles ({ callers }: EntrySettings): CallerCertificateFiles | undefined {
  if (callers.certificate_file === undefined || callers.key_file === undefined) return undefined
  return { certificateFile: callers.certificate_file, keyFile: callers.key_file }
}

function withPort (address: string, port: number): string {
  return `${address.slice(0, address.lastIndexOf(':'))}:${port}`
}

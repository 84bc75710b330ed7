import type { ServerDuplexStream } from '@grpc/grpc-js'
import { RecentStates } from '@hickoryspoke/configuration/recent-states'
import type { ControlUpdate, DistributionServer, EntryReport } from '@hickoryspoke/protocol/generated/distribution'
import { mayActAs } from '@hickoryspoke/protocol/peer-identity'
import type { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import type { ReplicatedLog } from '@hickoryspoke/replication/replicated-log'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { EntryRegistry } from './entry-registry.ts'
import { EntryStream } from './entry-stream.ts'
import { VersionQueries } from './version-queries.ts'
import { PushLimiter } from './push-limiter.ts'

/** Interval of probes to witnesses, in milliseconds. */
export const PROBE_INTERVAL_MILLISECONDS = 1_000

/** Enrolled entries that are not witnesses are probed once in this many intervals. */
const INTERVALS_PER_NON_WITNESS_PROBE = 5

/** A stream is ended after this time without a report, in milliseconds. */
const SILENCE_TIMEOUT_MILLISECONDS = 15_000

type Call = ServerDuplexStream<EntryReport, ControlUpdate>

/** Dependencies of a `DistributionService`. `leaderAddress` returns the HOST:PORT of the leader, empty when unknown. */
export interface DistributionServiceOptions {
  readonly log: ReplicatedLog
  readonly state: AcceptedState
  readonly clock: Clock
  readonly logger: Logger
  readonly leaderAddress: () => string
}

/** Serves `Distribution.Follow` on the leader, with one stream for each entry VM; other replicas redirect to the leader. */
export class DistributionService {
  readonly registry: EntryRegistry
  private readonly recent = RecentStates.create()
  private readonly pushLimiter = PushLimiter.create()
  private readonly questions: VersionQueries
  private readonly streams = new Map<Call, { readonly stream: EntryStream, name: string }>()

  private constructor (private readonly options: DistributionServiceOptions) {
    this.registry = EntryRegistry.create(options.clock)
    this.questions = VersionQueries.create(options.log, options.state)
  }

  static create (options: DistributionServiceOptions): DistributionService {
    return new DistributionService(options)
  }

  /** Handlers for the gRPC service. */
  handlers (): DistributionServer {
    return { follow: (call) => { void this.serve(call) } }
  }

  /** Pushes changes and probes entries until the signal aborts, then ends all streams. */
  async run (signal: AbortSignal): Promise<void> {
    const unsubscribe = [this.options.state.onChange(() => this.pushAll()), this.options.log.onRoleChange(() => this.onRoleChange())]
    this.pushAll()
    let interval = 0
    await repeatEvery(this.options.clock, PROBE_INTERVAL_MILLISECONDS, signal, () => {
      interval += 1
      this.probeEntries(interval % INTERVALS_PER_NON_WITNESS_PROBE === 0)
    })
    for (const stop of unsubscribe) stop()
    for (const call of [...this.streams.keys()]) call.end()
  }

  private async serve (call: Call): Promise<void> {
    call.on('error', () => call.end())
    if (this.options.log.role() !== 'leader') return this.redirect(call)
    const stream = this.createStream(call)
    this.streams.set(call, { stream, name: '' })
    try {
      for await (const report of call) if (!this.handleReport(call, stream, report as EntryReport)) break
    } catch (thrown) {
      this.options.logger.debug('entry stream failed', { reason: describeError(thrown) })
    }
    this.removeStream(call)
    call.end()
  }

  private createStream (call: Call): EntryStream {
    return EntryStream.create({
      clock: this.options.clock,
      recent: this.recent,
      pushLimiter: this.pushLimiter,
      membership: () => this.options.state.entries.membership(),
      write: (update) => writeUpdate(call, update)
    })
  }

  /** Handles a report; false when the stream must end, because its sender may not act as that entry. */
  private handleReport (call: Call, stream: EntryStream, report: EntryReport): boolean {
    const client = this.streams.get(call)
    if (client === undefined || !mayActAs(call, report.name)) return false
    if (client.name === '') {
      client.name = report.name
      stream.resume(report.held)
    }
    if (client.name !== report.name) return false
    this.registry.update({ report, heldAsOf: stream.probeTime(report), send: (update) => stream.send(update) })
    if (report.question > 0) this.questions.ask(report.question, (update) => stream.send(update))
    void stream.push()
    return true
  }

  private redirect (call: Call): void {
    call.write({ body: { $case: 'leader', value: this.options.leaderAddress() } })
    call.end()
  }

  private removeStream (call: Call): void {
    const client = this.streams.get(call)
    this.streams.delete(call)
    const isReplaced = [...this.streams.values()].some((other) => other.name === client?.name)
    if (client !== undefined && !isReplaced) this.registry.remove(client.name)
  }

  private onRoleChange (): void {
    if (this.options.log.role() === 'leader') return
    for (const call of [...this.streams.keys()]) this.redirect(call)
    this.registry.clear()
  }

  private pushAll (): void {
    const { accepted } = this.options.state
    if (accepted !== undefined) this.recent.add(accepted)
    for (const { stream } of this.streams.values()) void stream.push()
  }

  private probeEntries (includeOthers: boolean): void {
    const witnesses = new Set(this.options.state.entries.membership().entries.filter((entry) => entry.witness).map((entry) => entry.name))
    for (const entry of this.options.state.entries.previousWitnesses) witnesses.add(entry.name)
    for (const [call, { stream, name }] of this.streams) {
      if (this.isSilent(name)) call.end()
      else if (includeOthers || witnesses.has(name) || !this.isEnrolled(name)) stream.probe()
    }
  }

  private isEnrolled (name: string): boolean {
    return this.options.state.entries.has(name)
  }

  private isSilent (name: string): boolean {
    const heardAt = this.registry.heardAt(name)
    return heardAt !== undefined && this.options.clock.monotonicMilliseconds() - heardAt > SILENCE_TIMEOUT_MILLISECONDS
  }
}

function writeUpdate (call: Call, update: ControlUpdate): Promise<void> {
  return new Promise((resolve) => {
    if (call.writableEnded || call.destroyed) resolve()
    else call.write(update, () => resolve())
  })
}

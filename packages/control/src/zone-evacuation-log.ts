/** Keeps the decisions on evacuated zones in the replicated log, and the zones of this process in step with it. */
import type { ZoneEvacuations } from '@hickoryspoke/dispatch/zone-evacuations'
import { encodeZoneCommand } from '@hickoryspoke/replication/control-state'
import type { ReplicatedLog } from '@hickoryspoke/replication/replicated-log'
import type { ReplicationFailure } from '@hickoryspoke/replication/replication-failure'
import type { ZoneDecision, ZoneRegister } from '@hickoryspoke/replication/zone-register'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import type { Result } from 'ts-results-es'

/** Dependencies of a `ZoneEvacuationLog`. */
export interface ZoneEvacuationLogOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly zones: ZoneEvacuations
  /** The decisions that were committed. */
  readonly committed: ZoneRegister
  readonly log: Pick<ReplicatedLog, 'propose' | 'readBarrier'>
}

/** Evacuations that outlive a change of leader and a restart of all processes. */
export class ZoneEvacuationLog {
  /** Highest revision proposed here by zone, where it is not known whether the proposal takes effect. */
  private readonly unconfirmed = new Map<string, number>()
  /** Resolves when the last of the calls so far has ended. */
  private last: Promise<unknown> = Promise.resolve()

  private constructor (private readonly options: ZoneEvacuationLogOptions) {
    const { committed } = options
    for (const decision of committed.all()) this.apply(decision)
    committed.onAdd((decision) => this.apply(decision))
  }

  /** Applies the decisions that are known already, and later ones as they are committed. */
  static create (options: ZoneEvacuationLogOptions): ZoneEvacuationLog {
    return new ZoneEvacuationLog(options)
  }

  /**
   * Evacuates a zone or takes it back. Resolves once that is committed; where it already is, once leadership was confirmed and
   * without a new command. Calls are handled one after another, so that their revisions differ.
   */
  async set (zone: string, isEvacuated: boolean): Promise<Result<void, ReplicationFailure>> {
    const earlier = this.last
    const setting = earlier.then(async () => await this.setNext(zone, isEvacuated))
    this.last = setting.catch(() => {})
    return await setting
  }

  private async setNext (zone: string, isEvacuated: boolean): Promise<Result<void, ReplicationFailure>> {
    if (this.isInForce(zone, isEvacuated)) {
      const barrier = await this.options.log.readBarrier()
      if (barrier.isErr() || this.isInForce(zone, isEvacuated)) return barrier
    }
    return await this.propose(zone, isEvacuated)
  }

  /** Whether a decision is in force and no proposal of this process can still change it. */
  private isInForce (zone: string, isEvacuated: boolean): boolean {
    const held = this.options.committed.find(zone)
    return (held?.isEvacuated ?? false) === isEvacuated && (this.unconfirmed.get(zone) ?? 0) <= (held?.revision ?? 0)
  }

  private async propose (zone: string, isEvacuated: boolean): Promise<Result<void, ReplicationFailure>> {
    const { clock, committed, log } = this.options
    const revision = Math.max(committed.find(zone)?.revision ?? 0, this.unconfirmed.get(zone) ?? 0) + 1
    this.unconfirmed.set(zone, revision)
    const decision = { zone, isEvacuated, revision, decidedAt: Math.max(0, Math.floor(clock.wallMilliseconds())) }
    const proposed = await log.propose(encodeZoneCommand(decision))
    if (proposed.isOk()) this.unconfirmed.delete(zone)
    return proposed.map(() => undefined)
  }

  private apply (decision: ZoneDecision): void {
    if (!this.options.zones.apply(decision)) return
    const { zone, isEvacuated, revision } = decision
    this.options.logger.info(isEvacuated ? 'zone evacuation started' : 'zone evacuation ended', { zone, revision })
  }
}

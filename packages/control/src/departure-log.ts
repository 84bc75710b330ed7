/** Keeps the departures of upstreams in the replicated log, and the registry of this process in step with it. */
import { isLeaving } from '@hickoryspoke/dispatch/announcement-order'
import type { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import { encodeDepartureCommand } from '@hickoryspoke/replication/control-state'
import type { DepartureRegister } from '@hickoryspoke/replication/departure-register'
import type { ReplicatedLog } from '@hickoryspoke/replication/replicated-log'

/** Dependencies of a `DepartureLog`. */
export interface DepartureLogOptions {
  readonly registry: UpstreamRegistry
  /** The departures that were committed. */
  readonly committed: DepartureRegister
  readonly log: Pick<ReplicatedLog, 'propose'>
}

/** Departures that outlive a change of leader and a restart of all processes. */
export class DepartureLog {
  private constructor (private readonly options: DepartureLogOptions) {
    const { registry, committed } = options
    for (const departure of committed.all()) registry.recordDeparture(departure)
    committed.onAdd((departure) => registry.recordDeparture(departure))
  }

  /** Applies the departures that are known already, and later ones as they are committed. */
  static create (options: DepartureLogOptions): DepartureLog {
    return new DepartureLog(options)
  }

  /** Resolves with true once the departure of an upstream is committed, or if it does not leave; with false if that could not be confirmed. */
  async record (instance: string): Promise<boolean> {
    const { registry, committed, log } = this.options
    const announced = registry.find(instance)?.announced
    if (announced === undefined || !isLeaving(announced) || committed.covers(announced)) return true
    const { born, sequence, gone } = announced
    const proposed = await log.propose(encodeDepartureCommand({ instance, born, sequence, gone }))
    return proposed.isOk()
  }
}

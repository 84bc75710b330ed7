/** The committed decisions on the evacuation of availability zones. They are part of the replicated state, as the departures of upstreams are. */
import type { Departure } from '@hickoryspoke/protocol/generated/dispatch'

/** The last decision on one zone. */
export interface ZoneDecision {
  readonly zone: string
  readonly isEvacuated: boolean
  /** Orders the decisions on one zone; the highest counts. */
  readonly revision: number
  /** When it was proposed, in Unix milliseconds. */
  readonly decidedAt: number
}

/**
 * Decisions are written as departures of an upstream with this prefix. Earlier versions, which run beside this one during an
 * upgrade, keep departures in their logs and snapshots, but would lose a new kind of command. Names of upstreams have no slash.
 */
const RECORD_PREFIX = '/zone/'

/** The newest decision on each zone on which there was any. */
export class ZoneRegister {
  private readonly byZone = new Map<string, ZoneDecision>()
  private readonly listeners = new Set<(decision: ZoneDecision) => void>()

  private constructor () {}

  static create (): ZoneRegister {
    return new ZoneRegister()
  }

  /** All decisions that are held. */
  all (): ZoneDecision[] {
    return [...this.byZone.values()]
  }

  /** The decision on a zone; undefined if there was none. */
  find (zone: string): ZoneDecision | undefined {
    return this.byZone.get(zone)
  }

  /** Calls `listener` with the decision in force after each one that was added. */
  onAdd (listener: (decision: ZoneDecision) => void): void {
    this.listeners.add(listener)
  }

  /** Adds a decision unless a later one is held. Of two with the same revision an evacuation wins, as in versions that keep them as departures. */
  add (decision: ZoneDecision): void {
    const held = this.byZone.get(decision.zone)
    if (held !== undefined && held.revision > decision.revision) return
    const added = held?.revision === decision.revision ? merge(held, decision) : decision
    this.byZone.set(decision.zone, added)
    for (const listener of this.listeners) listener(added)
  }

  /** Replaces all decisions. */
  restore (decisions: readonly ZoneDecision[]): void {
    this.byZone.clear()
    for (const decision of decisions) this.add(decision)
  }
}

/** Writes a decision as a departure: `born` holds the revision, `sequence` the time of the decision. */
export function toRecord ({ zone, isEvacuated, revision, decidedAt }: ZoneDecision): Departure {
  return { instance: `${RECORD_PREFIX}${zone}`, born: revision, sequence: decidedAt, gone: isEvacuated }
}

/** Reads the decision that a departure stands for; undefined for the departure of an upstream. */
export function readRecord ({ instance, born, sequence, gone }: Departure): ZoneDecision | undefined {
  if (!instance.startsWith(RECORD_PREFIX)) return undefined
  return { zone: instance.slice(RECORD_PREFIX.length), isEvacuated: gone, revision: born, decidedAt: sequence }
}

function merge (held: ZoneDecision, added: ZoneDecision): ZoneDecision {
  return { ...added, decidedAt: Math.max(held.decidedAt, added.decidedAt), isEvacuated: held.isEvacuated || added.isEvacuated }
}

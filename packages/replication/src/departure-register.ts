/** The departures of upstreams that were acknowledged. They are part of the replicated state, so that no restart and no change of leader forgets one. */
import type { Departure } from '@hickoryspoke/protocol/generated/dispatch'

/** Departures beyond this number are forgotten, oldest first; announcements that old no longer arrive. */
const MAXIMUM_DEPARTURES = 1_000

/** The newest departure of each upstream, in the order in which they were added. */
export class DepartureRegister {
  private readonly byInstance = new Map<string, Departure>()
  private readonly listeners = new Set<(departure: Departure) => void>()

  private constructor () {}

  static create (): DepartureRegister {
    return new DepartureRegister()
  }

  /** All departures that are held. */
  all (): Departure[] {
    return [...this.byInstance.values()]
  }

  /** Calls `listener` after each departure that was added. */
  onAdd (listener: (departure: Departure) => void): void {
    this.listeners.add(listener)
  }

  /** Whether nothing would change if the departure was added. */
  covers ({ instance, born, gone }: Departure): boolean {
    const held = this.byInstance.get(instance)
    if (held === undefined || held.born < born) return false
    return held.born > born || held.gone || !gone
  }

  /** Adds a departure, unless a later start of the upstream has departed. */
  add (departure: Departure): void {
    const { instance, born } = departure
    const held = this.byInstance.get(instance)
    if (held !== undefined && held.born > born) return
    const added = held?.born === born ? merge(held, departure) : departure
    this.byInstance.delete(instance)
    this.byInstance.set(instance, added)
    if (this.byInstance.size > MAXIMUM_DEPARTURES) this.byInstance.delete(this.byInstance.keys().next().value as string)
    for (const listener of this.listeners) listener(added)
  }

  /** Replaces all departures. */
  restore (departures: readonly Departure[]): void {
    this.byInstance.clear()
    for (const departure of departures) this.add(departure)
  }
}

function merge (held: Departure, added: Departure): Departure {
  return { ...added, sequence: Math.max(held.sequence, added.sequence), gone: held.gone || added.gone }
}

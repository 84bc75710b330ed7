/** The configurations published last, so that entries get differences where they are smaller. */
import { encodeServingDifference, encodeServingConfiguration } from '@hickoryspoke/configuration/serving-codec'
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'
import type { ServingUpdate } from '@hickoryspoke/protocol/generated/dispatch'

const KEPT_CONFIGURATIONS = 8

/** Recent configurations, and the bytes that lead to the newest. */
export class ServingHistory {
  private readonly recent: ServingConfiguration[] = []
  private readonly updates = new Map<number, ServingUpdate>()

  static create (): ServingHistory {
    return new ServingHistory()
  }

  get newest (): ServingConfiguration | undefined {
    return this.recent.at(-1)
  }

  /** Adds a configuration; one that is not newer changes nothing. */
  add (configuration: ServingConfiguration): void {
    if (configuration.number <= (this.newest?.number ?? 0)) return
    this.recent.push(configuration)
    if (this.recent.length > KEPT_CONFIGURATIONS) this.recent.shift()
    this.updates.clear()
  }

  /** What leads from a held number to the newest configuration; undefined when nothing is missing. */
  updateFrom (heldNumber: number): ServingUpdate | undefined {
    const newest = this.newest
    if (newest === undefined || heldNumber >= newest.number) return undefined
    const base = this.recent.find((configuration) => configuration.number === heldNumber)
    const baseNumber = base?.number ?? 0
    const known = this.updates.get(baseNumber)
    if (known !== undefined) return known
    const content = base === undefined ? encodeServingConfiguration(newest) : encodeServingDifference(base, newest)
    const update = { number: newest.number, baseNumber, content }
    this.updates.set(baseNumber, update)
    return update
  }
}

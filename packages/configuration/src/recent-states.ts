import { differenceBetween } from './difference.ts'
import { sameIdentity, type FileIdentity, type IdentifiedState } from './identified-state.ts'
import { encodeDifference, encodeState } from './state-codec.ts'

/** Number of past states kept as bases for differences. States share unchanged sections, so they cost little memory. */
export const MAXIMUM_RECENT_STATES = 64

/** Differences up to this size in bytes are sent without encoding the full state to compare the sizes. */
const SMALL_DIFFERENCE_BYTES = 65_536

/** An update to the latest state, as JSON: either a difference or the full state. */
export interface EncodedUpdate {
  readonly identity: FileIdentity
  /** Base of the difference; undefined when `content` is a full state. */
  readonly differenceFrom: FileIdentity | undefined
  readonly content: Buffer
}

/** The most recent states of a replica or entry, and a cache of encoded updates to the latest one. */
export class RecentStates {
  private states: IdentifiedState[] = []
  private readonly updates = new Map<string, EncodedUpdate>()

  static create (): RecentStates {
    return new RecentStates()
  }

  get latest (): IdentifiedState | undefined {
    return this.states.at(-1)
  }

  /** Adds the state that came into force. Adding the latest state again has no effect. */
  add (state: IdentifiedState): void {
    if (sameIdentity(this.latest?.identity, state.identity)) return
    this.states.push(state)
    if (this.states.length > MAXIMUM_RECENT_STATES) this.states.shift()
    this.updates.clear()
  }

  /**
   * Returns the update from `held` to the latest state; undefined before the first state.
   * It is a difference if `held` is still kept and the difference is small or shorter than the full state.
   */
  updateFrom (held: FileIdentity | undefined): EncodedUpdate | undefined {
    const { latest } = this
    if (latest === undefined) return undefined
    const name = held === undefined ? '' : held.digest
    const cached = this.updates.get(name)
    if (cached !== undefined) return cached
    const update = this.createUpdate(latest, held)
    this.updates.set(update.differenceFrom === undefined ? '' : name, update)
    return update
  }

  private createUpdate (latest: IdentifiedState, held: FileIdentity | undefined): EncodedUpdate {
    const before = this.states.find((state) => sameIdentity(state.identity, held))
    if (before === undefined) return this.fullUpdate(latest)
    const content = encodeDifference(differenceBetween(before, latest))
    const difference = { identity: latest.identity, differenceFrom: before.identity, content }
    if (content.length <= SMALL_DIFFERENCE_BYTES) return difference
    const whole = this.fullUpdate(latest)
    return whole.content.length <= content.length ? whole : difference
  }

  private fullUpdate (latest: IdentifiedState): EncodedUpdate {
    const whole = this.updates.get('') ?? { identity: latest.identity, differenceFrom: undefined, content: encodeState(latest) }
    this.updates.set('', whole)
    return whole
  }
}

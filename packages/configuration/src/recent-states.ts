import { differenceBetween } from './difference.ts'
import { sameIdentity, type FileIdentity, type IdentifiedState } from './identified-state.ts'
import { encodeDifference, encodeState } from './state-codec.ts'

/** States that are kept to make differences from; they share what did not change. */
export const RECENT_STATES_KEPT = 64

/** Longest difference that is sent without comparing it with the whole state, in bytes. */
const SMALL_DIFFERENCE_BYTES = 65_536

/** What leads a holder of one state to the latest: JSON of a difference, or of the whole state. */
export interface EncodedUpdate {
  readonly identity: FileIdentity
  /** The state that the difference was made from; undefined when the content is whole. */
  readonly differenceFrom: FileIdentity | undefined
  readonly content: Buffer
}

/** The latest states of a replica or entry, and the updates that lead to the last one. */
export class RecentStates {
  private states: IdentifiedState[] = []
  private readonly updates = new Map<string, EncodedUpdate>()

  static create (): RecentStates {
    return new RecentStates()
  }

  get latest (): IdentifiedState | undefined {
    return this.states.at(-1)
  }

  /** Adds the state in force; one that is the latest already changes nothing. */
  add (state: IdentifiedState): void {
    if (sameIdentity(this.latest?.identity, state.identity)) return
    this.states.push(state)
    if (this.states.length > RECENT_STATES_KEPT) this.states.shift()
    this.updates.clear()
  }

  /** The update for a holder of `held`: a difference where its base is known and it is smaller than the whole. */
  updateFrom (held: FileIdentity | undefined): EncodedUpdate | undefined {
    const { latest } = this
    if (latest === undefined) return undefined
    const name = held === undefined ? '' : held.digest
    const known = this.updates.get(name)
    if (known !== undefined) return known
    const update = this.makeUpdate(latest, held)
    this.updates.set(update.differenceFrom === undefined ? '' : name, update)
    return update
  }

  private makeUpdate (latest: IdentifiedState, held: FileIdentity | undefined): EncodedUpdate {
    const before = this.states.find((state) => sameIdentity(state.identity, held))
    if (before === undefined) return this.wholeUpdate(latest)
    const content = encodeDifference(differenceBetween(before, latest))
    const difference = { identity: latest.identity, differenceFrom: before.identity, content }
    if (content.length <= SMALL_DIFFERENCE_BYTES) return difference
    const whole = this.wholeUpdate(latest)
    return whole.content.length <= content.length ? whole : difference
  }

  private wholeUpdate (latest: IdentifiedState): EncodedUpdate {
    const whole = this.updates.get('') ?? { identity: latest.identity, differenceFrom: undefined, content: encodeState(latest) }
    this.updates.set('', whole)
    return whole
  }
}

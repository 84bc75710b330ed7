import type { DesiredState } from './desired-state.ts'
import { IdentifiedState } from './identified-state.ts'

export { canonicalJson } from './canonical-json.ts'
export type { FileIdentity } from './identified-state.ts'

/** Computes the identity of a desired state. `based_on` is a precondition of the change and not part of the content. */
export function identityOf (state: DesiredState): IdentifiedState['identity'] {
  return IdentifiedState.create(state).identity
}

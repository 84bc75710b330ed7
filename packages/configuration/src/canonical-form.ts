import type { DesiredState } from './desired-state.ts'
import { IdentifiedState } from './identified-state.ts'

export { canonicalJson } from './canonical-json.ts'
export type { FileIdentity } from './identified-state.ts'

/** Identity of a desired state. `based_on` is a condition on the change and no part of the content. */
export function identityOf (state: DesiredState): IdentifiedState['identity'] {
  return IdentifiedState.create(state).identity
}

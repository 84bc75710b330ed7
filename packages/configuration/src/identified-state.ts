import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { canonicalJson } from './canonical-json.ts'
import type { Customer, CustomerKey, DesiredState, Pool, Route } from './desired-state.ts'
import type { StateDifference } from './difference.ts'
import { SectionIndex } from './section-index.ts'
import { itemName, SECTION_NAMES } from './sections.ts'

/** Number and digest: what tells one desired-state file from another. */
export interface FileIdentity {
  readonly number: number
  readonly digest: string
}

/** The indexes of all sections. */
export interface SectionIndexes {
  readonly customers: SectionIndex<Customer>
  readonly keys: SectionIndex<CustomerKey>
  readonly pools: SectionIndex<Pool>
  readonly routes: SectionIndex<Route>
}

/**
 * A desired state with its identity. The digest is one over the digests of the sections, so that a
 * difference is applied and verified at a cost that follows the difference, not the file.
 */
export class IdentifiedState {
  readonly identity: FileIdentity

  private constructor (number: number, readonly sections: SectionIndexes) {
    const digests = SECTION_NAMES.map((section) => sections[section].digest)
    this.identity = { number, digest: sha256Digest(canonicalJson([number, ...digests])) }
  }

  static create (state: DesiredState): IdentifiedState {
    return new IdentifiedState(state.number, {
      customers: SectionIndex.create((customer) => itemName('customers', customer), state.customers),
      keys: SectionIndex.create((key) => itemName('keys', key), state.keys),
      pools: SectionIndex.create((pool) => itemName('pools', pool), state.pools),
      routes: SectionIndex.create((route) => itemName('routes', route), state.routes)
    })
  }

  /** As `create`, but lets other work run in between; for large states in a process that must answer others. */
  static async createInSteps (state: DesiredState): Promise<IdentifiedState> {
    return new IdentifiedState(state.number, {
      customers: await SectionIndex.createInSteps((customer) => itemName('customers', customer), state.customers),
      keys: await SectionIndex.createInSteps((key) => itemName('keys', key), state.keys),
      pools: await SectionIndex.createInSteps((pool) => itemName('pools', pool), state.pools),
      routes: await SectionIndex.createInSteps((route) => itemName('routes', route), state.routes)
    })
  }

  /** The state before the first file. */
  static empty (): IdentifiedState {
    return IdentifiedState.create({ number: 0, customers: [], keys: [], pools: [], routes: [] })
  }

  /** The desired state as plain lists, shared by states with the same content and not to be changed; `based_on` is not kept. */
  toDesiredState (): DesiredState {
    const { customers, keys, pools, routes } = this.sections
    const lists = { customers: customers.items(), keys: keys.items(), pools: pools.items(), routes: routes.items() }
    return { number: this.identity.number, ...lists } as DesiredState
  }

  /** The same content under another number. */
  renumber (number: number): IdentifiedState {
    return new IdentifiedState(number, this.sections)
  }

  /** The state that a difference leads to; undefined when it was not made for this content. */
  change (difference: StateDifference): IdentifiedState | undefined {
    const customers = this.sections.customers.change(difference.customers)
    const keys = this.sections.keys.change(difference.keys)
    const pools = this.sections.pools.change(difference.pools)
    const routes = this.sections.routes.change(difference.routes)
    if (customers === undefined || keys === undefined || pools === undefined || routes === undefined) return undefined
    return new IdentifiedState(difference.number, { customers, keys, pools, routes })
  }
}

/** Whether two identities are of the same file. */
export function sameIdentity (left: FileIdentity | undefined, right: FileIdentity | undefined): boolean {
  return left?.number === right?.number && left?.digest === right?.digest
}

import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { canonicalJson } from './canonical-json.ts'
import type { Customer, CustomerKey, DesiredState, Pool, Route } from './desired-state.ts'
import type { StateDifference } from './difference.ts'
import { SectionIndex } from './section-index.ts'
import { itemName, SECTION_NAMES } from './sections.ts'

/** Number and content digest, which together identify a desired-state file. */
export interface FileIdentity {
  readonly number: number
  readonly digest: string
}

/** One index per section of a desired state. */
export interface SectionIndexes {
  readonly customers: SectionIndex<Customer>
  readonly keys: SectionIndex<CustomerKey>
  readonly pools: SectionIndex<Pool>
  readonly routes: SectionIndex<Route>
}

/**
 * An immutable desired state with its identity. The digest is computed over the digests of the sections,
 * so the cost of applying and verifying a difference depends on the size of the difference, not of the file.
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

  /** Like `create`, but yields to the event loop between batches, so that a large state does not block other requests. */
  static async createInBatches (state: DesiredState): Promise<IdentifiedState> {
    return new IdentifiedState(state.number, {
      customers: await SectionIndex.createInBatches((customer) => itemName('customers', customer), state.customers),
      keys: await SectionIndex.createInBatches((key) => itemName('keys', key), state.keys),
      pools: await SectionIndex.createInBatches((pool) => itemName('pools', pool), state.pools),
      routes: await SectionIndex.createInBatches((route) => itemName('routes', route), state.routes)
    })
  }

  /** The state before the first file is accepted. */
  static empty (): IdentifiedState {
    return IdentifiedState.create({ number: 0, customers: [], keys: [], pools: [], routes: [] })
  }

  /** The desired state as plain lists. States with the same content share the lists, so callers must not modify them. `based_on` is not kept. */
  toDesiredState (): DesiredState {
    const { customers, keys, pools, routes } = this.sections
    const lists = { customers: customers.items(), keys: keys.items(), pools: pools.items(), routes: routes.items() }
    return { number: this.identity.number, ...lists } as DesiredState
  }

  /** Returns the same content under another number. */
  renumber (number: number): IdentifiedState {
    return new IdentifiedState(number, this.sections)
  }

  /** Returns the state after a difference; undefined when the difference removes an item that does not exist here. */
  applyDifference (difference: StateDifference): IdentifiedState | undefined {
    const customers = this.sections.customers.applyDifference(difference.customers)
    const keys = this.sections.keys.applyDifference(difference.keys)
    const pools = this.sections.pools.applyDifference(difference.pools)
    const routes = this.sections.routes.applyDifference(difference.routes)
    if (customers === undefined || keys === undefined || pools === undefined || routes === undefined) return undefined
    return new IdentifiedState(difference.number, { customers, keys, pools, routes })
  }
}

/** Whether two identities denote the same file; two undefined identities are equal. */
export function sameIdentity (left: FileIdentity | undefined, right: FileIdentity | undefined): boolean {
  return left?.number === right?.number && left?.digest === right?.digest
}

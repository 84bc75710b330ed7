import type { Customer, CustomerKey, DesiredState, Pool, Route } from './desired-state.ts'

/** The lists of a desired state whose items are known by name. */
export interface SectionItems {
  readonly customers: Customer
  readonly keys: CustomerKey
  readonly pools: Pool
  readonly routes: Route
}

export type SectionName = keyof SectionItems

/** Names of the sections, in the order in which they are digested. */
export const SECTION_NAMES = ['customers', 'keys', 'pools', 'routes'] as const satisfies readonly SectionName[]

const ITEM_NAMES: { readonly [Section in SectionName]: (item: SectionItems[Section]) => string } = {
  customers: (customer) => customer.name,
  keys: (key) => key.digest,
  pools: (pool) => pool.name,
  routes: (route) => `${[...route.methods ?? ['*']].sort().join(',')} ${route.host ?? ''}${route.path}`
}

/** The name that tells an item from the others of its section. */
export function itemName<Section extends SectionName> (section: Section, item: SectionItems[Section]): string {
  return ITEM_NAMES[section](item)
}

/** The items of one section of a desired state. */
export function itemsOf<Section extends SectionName> (state: DesiredState, section: Section): readonly SectionItems[Section][] {
  return state[section] as unknown as readonly SectionItems[Section][]
}

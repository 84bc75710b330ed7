import type { Customer, CustomerKey, DesiredState, Pool, Route } from './desired-state.ts'

/** Item type of each section, that is, of each list of a desired state. */
export interface SectionItems {
  readonly customers: Customer
  readonly keys: CustomerKey
  readonly pools: Pool
  readonly routes: Route
}

export type SectionName = keyof SectionItems

/** Section names, in the order in which their digests are combined. */
export const SECTION_NAMES = ['customers', 'keys', 'pools', 'routes'] as const satisfies readonly SectionName[]

const ITEM_NAMES: { readonly [Section in SectionName]: (item: SectionItems[Section]) => string } = {
  customers: (customer) => customer.name,
  keys: (key) => key.digest,
  pools: (pool) => pool.name,
  routes: (route) => `${[...route.methods ?? ['*']].sort().join(',')} ${route.host ?? ''}${route.path}`
}

/** Returns the name that identifies an item within its section. */
export function itemName<Section extends SectionName> (section: Section, item: SectionItems[Section]): string {
  return ITEM_NAMES[section](item)
}

/** Returns the items of one section of a desired state. */
export function itemsOf<Section extends SectionName> (state: DesiredState, section: Section): readonly SectionItems[Section][] {
  return state[section] as unknown as readonly SectionItems[Section][]
}

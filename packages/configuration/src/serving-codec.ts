/** Encodes serving configurations as deflated JSON, either in full or as the difference from an earlier one. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { describeError, Failure } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CallerBounds, ServingConfiguration, ServingCustomer, ServingPool, ServingRoute } from './serving-configuration.ts'

/** Items added or changed (`set`), and the identities of items removed. */
interface ItemChanges<Item> {
  readonly set: readonly Item[]
  readonly removed: readonly string[]
}

interface ServingDifference {
  readonly number: number
  readonly keyed: boolean
  readonly bounds: CallerBounds
  readonly pools: ItemChanges<ServingPool>
  readonly customers: ItemChanges<ServingCustomer>
  readonly routes: ItemChanges<ServingRoute>
}

/** An update cannot be decoded, or does not apply to the configuration held. */
export class UpdateUnusable extends Failure {
  readonly code = 'update_unusable'

  static create (reason: string): UpdateUnusable {
    return new UpdateUnusable(reason)
  }
}

const poolIdentity = (pool: ServingPool): string => pool.name
const customerIdentity = (customer: ServingCustomer): string => customer.name
const routeIdentity = (route: ServingRoute): string => `${route.host}\n${route.prefix}`

/** Encodes a full configuration. */
export function encodeServingConfiguration (configuration: ServingConfiguration): Buffer {
  return deflateRawSync(JSON.stringify(configuration))
}

/** Encodes the difference from one configuration to another. */
export function encodeServingDifference (from: ServingConfiguration, to: ServingConfiguration): Buffer {
  const difference: ServingDifference = {
    number: to.number,
    keyed: to.keyed,
    bounds: to.bounds,
    pools: changesOf(from.pools, to.pools, poolIdentity),
    customers: changesOf(from.customers, to.customers, customerIdentity),
    routes: changesOf(from.routes, to.routes, routeIdentity)
  }
  return deflateRawSync(JSON.stringify(difference))
}

/** Decodes the output of `encodeServingConfiguration`. */
export function decodeServingConfiguration (content: Uint8Array): Result<ServingConfiguration, UpdateUnusable> {
  return readJson<ServingConfiguration>(content)
}

/** Applies the output of `encodeServingDifference` to the configuration that it was computed from. */
export function applyServingDifference (from: ServingConfiguration, content: Uint8Array): Result<ServingConfiguration, UpdateUnusable> {
  return readJson<ServingDifference>(content).map((difference) => ({
    number: difference.number,
    keyed: difference.keyed,
    bounds: difference.bounds,
    pools: applyChanges(from.pools, difference.pools, poolIdentity),
    customers: applyChanges(from.customers, difference.customers, customerIdentity),
    routes: applyChanges(from.routes, difference.routes, routeIdentity)
  }))
}

function changesOf<Item> (from: readonly Item[], to: readonly Item[], identityOf: (item: Item) => string): ItemChanges<Item> {
  const held = new Map(from.map((item) => [identityOf(item), JSON.stringify(item)]))
  const kept = new Set(to.map(identityOf))
  return {
    set: to.filter((item) => held.get(identityOf(item)) !== JSON.stringify(item)),
    removed: [...held.keys()].filter((identity) => !kept.has(identity))
  }
}

function applyChanges<Item> (from: readonly Item[], changes: ItemChanges<Item>, identityOf: (item: Item) => string): Item[] {
  const items = new Map(from.map((item) => [identityOf(item), item]))
  for (const identity of changes.removed) items.delete(identity)
  for (const item of changes.set) items.set(identityOf(item), item)
  return [...items.values()]
}

function readJson<Value> (content: Uint8Array): Result<Value, UpdateUnusable> {
  try {
    return Ok(JSON.parse(inflateRawSync(content).toString('utf8')) as Value)
  } catch (thrown) {
    return Err(UpdateUnusable.create(describeError(thrown)))
  }
}

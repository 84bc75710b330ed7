/** Desired state for the process fleet. */
import { sha256Digest } from '../packages/runtime/src/hashing.ts'
import { ANNOUNCE_TOKEN } from './process-fleet.ts'

const CUSTOMERS = ['curators', 'agronomists', 'cooperatives', 'inspectors', 'stations', 'packers', 'franchisees', 'head-office'] as const

/** Returns the API key of a customer. */
export function customerKey (customer: string): string {
  return `key-of-${customer}-for-measurements`
}

/** Creates a state with eight customers of equal rate, one pool, a route with a key and an open route. */
export function exampleState ({ rate, burst }: { readonly rate: number, readonly burst: number }): Record<string, unknown> & { number: number } {
  return {
    number: 1,
    customers: CUSTOMERS.map((name) => ({ name, rate, burst })),
    keys: CUSTOMERS.map((customer) => ({ customer, digest: sha256Digest(customerKey(customer)) })),
    pools: [{ name: 'ledger', healthy_floor: 0.5, announce_digest: sha256Digest(ANNOUNCE_TOKEN) }],
    routes: [{ path: '/ledger', pool: 'ledger', timeout_milliseconds: 5_000 }, { path: '/public', pool: 'ledger', open: true }]
  }
}

/** Desired state of the process fleet. */
import { sha256Digest } from '../packages/runtime/src/hashing.ts'
import { ANNOUNCE_TOKEN } from './process-fleet.ts'

const CUSTOMERS = ['curators', 'agronomists', 'cooperatives', 'inspectors', 'stations', 'packers', 'franchisees', 'head-office'] as const

/** The key of a customer in measurements. */
export function customerKey (customer: string): string {
  return `key-of-${customer}-for-measurements`
}

/** A file with eight customers of equal rate, one pool and an idempotent-by-method route. */
export function exampleState ({ rate, burst }: { readonly rate: number, readonly burst: number }): Record<string, unknown> & { number: number } {
  return {
    number: 1,
    customers: CUSTOMERS.map((name) => ({ name, rate, burst })),
    keys: CUSTOMERS.map((customer) => ({ customer, digest: sha256Digest(customerKey(customer)) })),
    pools: [{ name: 'ledger', healthy_floor: 0.5, announce_digest: sha256Digest(ANNOUNCE_TOKEN) }],
    routes: [{ path: '/ledger', pool: 'ledger', timeout_milliseconds: 5_000 }, { path: '/public', pool: 'ledger', open: true }]
  }
}

import type { Route } from '@hickoryspoke/configuration/desired-state'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CallerExchange } from './caller-exchange.ts'
import type { FreshnessGate, RequestTables, TableSource } from './collaborators.ts'
import { headerCount, headerValue, holdsKey, queryHoldsKey, upstreamRequestHeaders } from './header-filter.ts'
import { bearerKey, keyDigest } from './key-table.ts'
import { normaliseTarget } from './path-normalisation.ts'
import { Refusal } from './refusal.ts'
import { isIdempotent } from './route-table.ts'

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/

/** A request that has a route and, unless the route is open, a customer. */
export interface GatedRequest {
  readonly route: Route
  readonly path: string
  /** Path and query as they go to the upstream. */
  readonly upstreamPath: string
  /** Empty on an open route. */
  readonly customer: string
  readonly keyDigest: string
  readonly headers: string[]
  readonly idempotent: boolean
  readonly idempotencyKey: string | undefined
}

/** Decides from the head of a request alone whether it may go on. */
export class RequestGate {
  private constructor (private readonly tables: TableSource, private readonly freshness: FreshnessGate) {}

  static create (tables: TableSource, freshness: FreshnessGate): RequestGate {
    return new RequestGate(tables, freshness)
  }

  /** Route, customer and headers of a request, or the refusal that it gets. */
  examine (exchange: CallerExchange): Result<GatedRequest, Refusal> {
    const target = normaliseTarget(exchange.target)
    if (target.isErr()) return Err(Refusal.create('bad_target', target.error.message))
    const tables = this.tables.current()
    const route = tables.routes.find({ path: target.value.path, method: exchange.method, host: exchange.host })
    if (route === undefined) return Err(Refusal.create('no_route'))
    const key = bearerKey(headerValue(exchange.headers, 'authorization'))
    const owner = this.ownerOf(route, key, tables, headerCount(exchange.headers, 'authorization'))
    if (owner.isErr()) return owner
    const isKey = (text: string): boolean => tables.keys.isKey(text)
    const { path, query } = target.value
    if (holdsKey(path + query, key) || queryHoldsKey(query, isKey)) return Err(Refusal.create('key_in_request'))
    const headers = upstreamRequestHeaders(exchange.headers, key, isKey)
    if (headers.isErr()) return headers
    const idempotent = isIdempotent(route, exchange.method)
    const claim = claimedKey(exchange, idempotent, route.open)
    if (claim.isErr()) return claim
    return Ok({
      route,
      path,
      upstreamPath: path + query,
      customer: owner.value.customer,
      keyDigest: owner.value.digest,
      headers: headers.value,
      idempotent,
      idempotencyKey: claim.value
    })
  }

  /** Asked just before sending: a key withdrawn meanwhile, or a lost freshness, still stops the request. */
  recheck (request: GatedRequest): Refusal | undefined {
    if (request.route.open) return undefined
    if (this.tables.current().keys.customerOf(request.keyDigest) !== request.customer) return Refusal.create('unauthorized')
    return this.freshness.isFresh() ? undefined : Refusal.create('not_fresh')
  }

  private ownerOf (route: Route, key: string | undefined, tables: RequestTables, headers: number): Result<{ customer: string, digest: string }, Refusal> {
    if (route.open) return Ok({ customer: '', digest: '' })
    if (key === undefined || headers !== 1) return Err(Refusal.create('unauthorized'))
    const digest = keyDigest(key)
    const customer = tables.keys.customerOf(digest)
    if (customer === undefined) return Err(Refusal.create('unauthorized'))
    return this.freshness.isFresh() ? Ok({ customer, digest }) : Err(Refusal.create('not_fresh'))
  }
}

/** The Idempotency-Key where it counts: on requests that may not be repeated by themselves. */
function claimedKey (exchange: CallerExchange, idempotent: boolean, open: boolean): Result<string | undefined, Refusal> {
  const value = headerValue(exchange.headers, 'idempotency-key')
  if (value === undefined || idempotent) return Ok(undefined)
  if (open) return Err(Refusal.create('bad_idempotency_key', 'an Idempotency-Key needs a customer, and this route is open to all'))
  if (headerCount(exchange.headers, 'idempotency-key') !== 1 || !IDEMPOTENCY_KEY.test(value)) return Err(Refusal.create('bad_idempotency_key'))
  return Ok(value)
}

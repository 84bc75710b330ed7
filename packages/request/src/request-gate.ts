import type { Route } from '@hickoryspoke/configuration/desired-state'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CallerExchange } from './caller-exchange.ts'
import type { FreshnessGate, RequestTables, TableSource } from './collaborators.ts'
import { headerCount, headerValue, containsKey, queryContainsKey, upstreamRequestHeaders } from './header-filter.ts'
import { bearerKey, keyDigest } from './key-table.ts'
import { normaliseTarget } from './path-normalisation.ts'
import { Refusal } from './refusal.ts'
import { isIdempotent } from './route-table.ts'

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/

/** A request with its route and, unless the route is open, its authenticated customer. */
export interface GatedRequest {
  readonly route: Route
  readonly path: string
  /** Normalised path and query to send to the upstream. */
  readonly upstreamPath: string
  /** Empty on an open route. */
  readonly customer: string
  readonly keyDigest: string
  readonly headers: string[]
  readonly idempotent: boolean
  readonly idempotencyKey: string | undefined
}

/** Routes, authenticates and validates requests based on their heads. */
export class RequestGate {
  private constructor (private readonly tables: TableSource, private readonly freshness: FreshnessGate) {}

  static create (tables: TableSource, freshness: FreshnessGate): RequestGate {
    return new RequestGate(tables, freshness)
  }

  /** Returns the route, customer and upstream headers of a request, or a refusal. */
  examine (exchange: CallerExchange): Result<GatedRequest, Refusal> {
    const target = normaliseTarget(exchange.target)
    if (target.isErr()) return Err(Refusal.create('bad_target', target.error.message))
    const tables = this.tables.current()
    const route = tables.routes.find({ path: target.value.path, method: exchange.method, host: exchange.host })
    if (route === undefined) return Err(Refusal.create('no_route'))
    const key = bearerKey(headerValue(exchange.headers, 'authorization'))
    const authenticated = this.authenticate(route, key, tables, headerCount(exchange.headers, 'authorization'))
    if (authenticated.isErr()) return authenticated
    const isKey = (text: string): boolean => tables.keys.isKey(text)
    const { path, query } = target.value
    if (containsKey(path + query, key) || queryContainsKey(query, isKey)) return Err(Refusal.create('key_in_request'))
    const headers = upstreamRequestHeaders(exchange.headers, key, isKey)
    if (headers.isErr()) return headers
    const idempotent = isIdempotent(route, exchange.method)
    const claim = applicableIdempotencyKey(exchange, idempotent, route.open)
    if (claim.isErr()) return claim
    return Ok({
      route,
      path,
      upstreamPath: path + query,
      customer: authenticated.value.customer,
      keyDigest: authenticated.value.digest,
      headers: headers.value,
      idempotent,
      idempotencyKey: claim.value
    })
  }

  /** Called before each attempt. Refuses if the key has been revoked meanwhile or the configuration is no longer fresh. */
  recheck (request: GatedRequest): Refusal | undefined {
    if (request.route.open) return undefined
    if (this.tables.current().keys.customerOf(request.keyDigest) !== request.customer) return Refusal.create('unauthorized')
    return this.freshness.isFresh() ? undefined : Refusal.create('not_fresh')
  }

  private authenticate (route: Route, key: string | undefined, tables: RequestTables, headers: number): Result<{ customer: string, digest: string }, Refusal> {
    if (route.open) return Ok({ customer: '', digest: '' })
    if (key === undefined || headers !== 1) return Err(Refusal.create('unauthorized'))
    const digest = keyDigest(key)
    const customer = tables.keys.customerOf(digest)
    if (customer === undefined) return Err(Refusal.create('unauthorized'))
    return this.freshness.isFresh() ? Ok({ customer, digest }) : Err(Refusal.create('not_fresh'))
  }
}

/** Returns the Idempotency-Key if it applies. It is ignored on idempotent requests, which are safe to repeat anyway. */
function applicableIdempotencyKey (exchange: CallerExchange, idempotent: boolean, open: boolean): Result<string | undefined, Refusal> {
  const value = headerValue(exchange.headers, 'idempotency-key')
  if (value === undefined || idempotent) return Ok(undefined)
  if (open) return Err(Refusal.create('bad_idempotency_key', 'an Idempotency-Key needs a customer, and this route is open to all'))
  if (headerCount(exchange.headers, 'idempotency-key') !== 1 || !IDEMPOTENCY_KEY.test(value)) return Err(Refusal.create('bad_idempotency_key'))
  return Ok(value)
}

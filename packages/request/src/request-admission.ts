/** Decides whether a request may be sent: the configuration must be fresh, and route, key and body acceptable. */
import type { ServingCustomer, ServingRoute } from '@hickoryspoke/configuration/serving-configuration'
import type { ActiveConfiguration } from '@hickoryspoke/dispatch/active-configuration'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { Err, Ok, type Result } from 'ts-results-es'
import { allowedRegionsOf } from './allowed-regions.ts'
import type { CallerExchange } from './caller-exchange.ts'
import type { CallerMetadata } from './dialect.ts'
import { retryableRefusal } from './dispatched-refusal.ts'
import { waitUntilFresh } from './freshness-wait.ts'
import { Refusal } from './refusal.ts'
import { RequestBody } from './request-body.ts'
import { drawPool, type ServingTable } from './serving-table.ts'
import type { StopDeadline } from './stop-deadline.ts'

/** A request that may be sent. */
export interface AdmittedRequest {
  readonly route: ServingRoute
  /** Undefined on open routes, and where the configuration has no customers. */
  readonly customer: ServingCustomer | undefined
  readonly pool: string
  readonly body: RequestBody
}

/** What an admission depends on. */
export interface RequestAdmissionOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly inForce: ActiveConfiguration
  /** Tables of the current configuration; undefined before the first. */
  readonly table: () => ServingTable | undefined
}

/** Bodies up to this size are buffered, so that they can be sent again. */
const REPLAY_BYTES = 65_536

/** The admission of one request. */
export class RequestAdmission {
  /** The route that was found last. */
  route: ServingRoute | undefined
  /** Name of the customer that was found last; empty if there is none. */
  customer = ''
  /** Regions to which the request may be sent by the configuration that was looked at last; empty for all. */
  allowedRegions: readonly string[] = []

  private constructor (
    private readonly options: RequestAdmissionOptions,
    private readonly exchange: CallerExchange,
    private readonly caller: CallerMetadata,
    private readonly stop: StopDeadline,
    private readonly startedAt: number
  ) {}

  /** `startedAt` is when the request arrived, in monotonic milliseconds. */
  static create (options: RequestAdmissionOptions, exchange: CallerExchange, caller: CallerMetadata, stop: StopDeadline, startedAt: number): RequestAdmission {
    return new RequestAdmission(options, exchange, caller, stop, startedAt)
  }

  /** Admits the request once its body is read, or returns why it is refused. */
  async admit (): Promise<Result<AdmittedRequest, Refusal>> {
    if (!await this.waitUntilFresh()) return Err(retryableRefusal('not_fresh'))
    const authorized = this.authorize()
    if (authorized.isErr()) return authorized
    const limits = { maximumBytes: this.options.inForce.configuration?.bounds.maximumBodyBytes ?? 0, replayBytes: REPLAY_BYTES }
    const body = await RequestBody.read(this.exchange, limits, REPLAY_BYTES)
    if (body.isErr()) return body
    const { route, customer } = authorized.value
    const pool = drawPool(route, this.options.random)
    if (pool === undefined) return Err(Refusal.create('no_healthy_upstream'))
    return Ok({ route, customer, pool, body: body.value })
  }

  /** Repeats the checks, since route, key or pool may have been removed while the request waited, or the entry stops. */
  recheck ({ pool }: AdmittedRequest): Refusal | undefined {
    if (this.stop.isTooLateToSend) return Refusal.create('draining')
    if (!this.options.inForce.isFresh()) return retryableRefusal('not_fresh')
    const authorized = this.authorize()
    if (authorized.isErr()) return authorized.error
    const isPoolOnRoute = authorized.value.route.shares.some((share) => share.pool === pool && share.weight > 0)
    return isPoolOnRoute ? undefined : retryableRefusal('no_healthy_upstream')
  }

  /** Digest of the start of a body, equal for equal bodies. */
  bodyDigest ({ body }: AdmittedRequest): string {
    return body.headDigest(REPLAY_BYTES)
  }

  /** Finds the route and authenticates the customer, using the current configuration. */
  private authorize (): Result<Pick<AdmittedRequest, 'route' | 'customer'>, Refusal> {
    const table = this.options.table()
    if (table === undefined) return Err(retryableRefusal('not_fresh', 'no configuration is known yet'))
    const route = table.findRoute(this.exchange.host, this.exchange.target)
    if (route === undefined) return Err(Refusal.create('no_route'))
    this.route = route
    if (route.open || !table.configuration.keyed) return this.restrict(route, undefined)
    const customer = this.caller.key === undefined ? undefined : table.customerOfKey(this.caller.key)
    this.customer = customer?.name ?? ''
    return customer === undefined ? Err(Refusal.create('unauthorized')) : this.restrict(route, customer)
  }

  /** Refuses a request that may be sent to no region. */
  private restrict (route: ServingRoute, customer: ServingCustomer | undefined): Result<Pick<AdmittedRequest, 'route' | 'customer'>, Refusal> {
    const regions = allowedRegionsOf(route, customer)
    if (regions?.length === 0) return Err(Refusal.create('no_healthy_upstream', 'the route and the customer have no region in common'))
    this.allowedRegions = regions ?? []
    return Ok({ route, customer })
  }

  private async waitUntilFresh (): Promise<boolean> {
    const { clock, inForce } = this.options
    const isOver = (): boolean => this.stop.isTooLateToSend || this.exchange.signal.aborted
    return await waitUntilFresh({ clock, inForce, startedAt: this.startedAt, patienceMilliseconds: this.caller.patienceMilliseconds, isOver })
  }
}

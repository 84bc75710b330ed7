/** Times at which refused callers were told to return, and for which room is reserved. */
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Deadlines } from './deadlines.ts'

/** A refused caller for which a time is wanted. Times are monotonic milliseconds. */
export interface ReturnRequest {
  readonly customer: string
  /** Equal for the refused request and its repetition. */
  readonly fingerprint: number
  /** From when on there is room. */
  readonly earliest: number
  /** A later time is of no use to the caller. */
  readonly latest: number
  /** Interval between the returning callers of this customer, in milliseconds. */
  readonly customerInterval: number
  /** Interval between the returning callers of all customers, in milliseconds; 0 for no limit on them. */
  readonly overallInterval: number
}

interface Reservation {
  readonly customer: string
  readonly fingerprint: number
  readonly at: number
  isDue: boolean
}

/** The reservations of one customer, by time. */
interface CustomerReturns {
  readonly held: Set<Reservation>
  readonly byFingerprint: Map<number, Reservation[]>
  lastAt: number
  due: number
}

/** A caller that comes earlier than this before its time does not keep to it. */
const EARLY_MILLISECONDS = 30
/** For this time, room is kept for the very request that was refused; then any request of the customer may use it. */
const EXACT_MILLISECONDS = 150
/** A reservation that is not used for this time expires. Covers a new connection and a handshake on a slow link. */
const EXPIRY_MILLISECONDS = 400

/** Reservations of returning callers by customer. They live in memory only. */
export class ReturnSchedule {
  private readonly customers = new Map<string, CustomerReturns>()
  private readonly expiries: Deadlines<Reservation>
  private count = 0

  private constructor (clock: Clock) {
    this.expiries = Deadlines.create(clock, (reservation) => this.remove(reservation))
  }

  static create (clock: Clock): ReturnSchedule {
    return new ReturnSchedule(clock)
  }

  /** Number of callers that are expected to return. */
  get length (): number {
    return this.count
  }

  /** The same for one customer. */
  lengthOf (customer: string): number {
    return this.customers.get(customer)?.held.size ?? 0
  }

  /** Reserves room, behind the reservations that the customer has; undefined when it is too late for the caller. */
  reserve (request: ReturnRequest, now: number): number | undefined {
    const { customer, earliest, latest, customerInterval, overallInterval } = request
    const returns = this.customers.get(customer)
    const lastAt = returns === undefined || returns.held.size === 0 ? -Infinity : returns.lastAt
    const at = Math.max(earliest, lastAt + customerInterval, now + (this.count + 1) * overallInterval)
    if (at > latest) return undefined
    this.add(customer, request.fingerprint, at)
    return at
  }

  /** Reserves room at a time that was decided elsewhere. */
  add (customer: string, fingerprint: number, at: number): void {
    const returns = this.returnsOf(customer)
    const reservation: Reservation = { customer, fingerprint, at, isDue: false }
    returns.held.add(reservation)
    const sameFingerprint = returns.byFingerprint.get(fingerprint)
    if (sameFingerprint === undefined) returns.byFingerprint.set(fingerprint, [reservation])
    else sameFingerprint.push(reservation)
    returns.lastAt = Math.max(returns.lastAt, at)
    this.count += 1
    this.expiries.set(reservation, at + EXPIRY_MILLISECONDS)
  }

  /** Uses the reservation of a request that returns, or one that its customer has left unused; false when there is none. */
  take (customer: string, fingerprint: number, now: number): boolean {
    const returns = this.customers.get(customer)
    if (returns === undefined) return false
    const reservation = this.exact(returns, fingerprint, now) ?? firstUnused(returns, now)
    if (reservation === undefined) return false
    this.expiries.cancel(reservation)
    this.remove(reservation)
    return true
  }

  /** Number of the customer's reservations that begin within `leadMilliseconds` or have begun. */
  due (customer: string, now: number, leadMilliseconds: number): number {
    const returns = this.customers.get(customer)
    if (returns === undefined) return 0
    for (const reservation of returns.held) {
      if (reservation.isDue) continue
      if (reservation.at > now + leadMilliseconds) break
      reservation.isDue = true
      returns.due += 1
    }
    return returns.due
  }

  private exact (returns: CustomerReturns, fingerprint: number, now: number): Reservation | undefined {
    const first = returns.byFingerprint.get(fingerprint)?.[0]
    return first !== undefined && now >= first.at - EARLY_MILLISECONDS ? first : undefined
  }

  private remove (reservation: Reservation): void {
    const { customer, fingerprint } = reservation
    const returns = this.customers.get(customer)
    if (returns === undefined || !returns.held.delete(reservation)) return
    this.count -= 1
    if (reservation.isDue) returns.due -= 1
    const same = returns.byFingerprint.get(fingerprint) ?? []
    same.splice(same.indexOf(reservation), 1)
    if (same.length === 0) returns.byFingerprint.delete(fingerprint)
    if (returns.held.size === 0) this.customers.delete(customer)
  }

  private returnsOf (customer: string): CustomerReturns {
    const known = this.customers.get(customer)
    if (known !== undefined) return known
    const created: CustomerReturns = { held: new Set(), byFingerprint: new Map(), lastAt: -Infinity, due: 0 }
    this.customers.set(customer, created)
    return created
  }
}

function firstUnused ({ held }: CustomerReturns, now: number): Reservation | undefined {
  const [first] = held
  return first !== undefined && now >= first.at + EXACT_MILLISECONDS ? first : undefined
}

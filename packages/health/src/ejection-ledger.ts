import { EjectionPhase, type Ejection } from '@hickoryspoke/protocol/generated/evidence'
import { EjectionLifecycle, EjectionState } from './ejection-lifecycle.ts'

/** For how long an entry may apply an ejection, counted from its own question. */
export const EJECTION_LEASE_MILLISECONDS = 10_000
const LEASE_MARGIN_MILLISECONDS = 500
const SLOT_TOLERANCE = 1e-9

/** Capacity that an upstream announced. */
export interface AnnouncedCapacity {
  readonly address: string
  readonly incarnation: number
  readonly slots: number
}

/** A request to take an upstream out of service. */
export interface EjectionProposal extends AnnouncedCapacity {
  readonly reason: string
  readonly observers: readonly string[]
}

interface Grant extends EjectionProposal {
  readonly sequence: number
  readonly sinceMilliseconds: number
  readonly lifecycle: EjectionLifecycle
  /** Monotonic time until which some entry may still apply it. */
  outstandingUntilMilliseconds: number
}

/** The permits of one pool: the only place where capacity is taken out of service. */
export class EjectionLedger {
  private readonly grants = new Map<string, Grant>()
  private released: Grant[] = []
  private nextSequence = 1

  static create (): EjectionLedger {
    return new EjectionLedger()
  }

  /** Grants an ejection when the healthy capacity stays at the floor with it; false when the floor forbids it. */
  propose (proposal: EjectionProposal, announced: readonly AnnouncedCapacity[], floor: number, now: number): boolean {
    this.settle(announced, floor, now)
    if (this.grants.has(proposal.address)) return true
    const total = sumSlots(announced)
    const outstanding = this.outstandingSlots(announced)
    const counted = this.released.some((grant) => grant.address === proposal.address) ? 0 : proposal.slots
    if (outstanding + counted > total * (1 - floor) + SLOT_TOLERANCE) return false
    const lifecycle = EjectionLifecycle.create()
    lifecycle.send('eject')
    this.grants.set(proposal.address, { ...proposal, sequence: this.nextSequence++, sinceMilliseconds: now, lifecycle, outstandingUntilMilliseconds: now })
    return true
  }

  /** Ends grants that are void or no longer fit, the latest first, and forgets those that no entry can apply any more. */
  settle (announced: readonly AnnouncedCapacity[], floor: number, now: number): string[] {
    const byAddress = new Map(announced.map((capacity) => [capacity.address, capacity]))
    const ended = [...this.grants.values()].filter((grant) => byAddress.get(grant.address)?.incarnation !== grant.incarnation).map((grant) => grant.address)
    for (const address of ended) this.release(address, 'release')
    const allowed = sumSlots(announced) * (1 - floor) + SLOT_TOLERANCE
    const latestFirst = [...this.grants.values()].sort((left, right) => right.sequence - left.sequence)
    for (const grant of latestFirst) {
      if (this.grantedSlots(byAddress) <= allowed) break
      this.release(grant.address, 'release')
      ended.push(grant.address)
    }
    this.released = this.released.filter((grant) => grant.outstandingUntilMilliseconds > now)
    return ended
  }

  stateOf (address: string): EjectionState {
    return this.grants.get(address)?.lifecycle.state() ?? EjectionState.InService
  }

  /** Lets a trickle of requests try an ejected upstream. */
  beginTrial (address: string): void {
    this.grants.get(address)?.lifecycle.send('try')
  }

  relapse (address: string): void {
    this.grants.get(address)?.lifecycle.send('relapse')
  }

  /** Puts an upstream back; its capacity counts as ejected until no entry can still apply the grant. */
  release (address: string, event: 'recover' | 'release'): void {
    const grant = this.grants.get(address)
    if (grant === undefined) return
    grant.lifecycle.send(event)
    this.grants.delete(address)
    this.released.push(grant)
  }

  addresses (): string[] {
    return [...this.grants.keys()]
  }

  isEmpty (): boolean {
    return this.grants.size === 0 && this.released.length === 0
  }

  /** The grants for an answer to an entry; from now on they count as outstanding for a lease. */
  lend (now: number): Ejection[] {
    const active = [...this.grants.values()]
    for (const grant of active) grant.outstandingUntilMilliseconds = now + EJECTION_LEASE_MILLISECONDS + LEASE_MARGIN_MILLISECONDS
    const listed = [...active, ...this.released.filter((grant) => grant.outstandingUntilMilliseconds > now)]
    return listed.sort((left, right) => left.sequence - right.sequence).map((grant) => describe(grant, now, active.includes(grant)))
  }

  /** Slots that some entry may hold out of service. */
  outstandingSlots (announced: readonly AnnouncedCapacity[]): number {
    const held = new Set([...this.grants.keys(), ...this.released.map((grant) => grant.address)])
    return sumSlots(announced.filter((capacity) => held.has(capacity.address)))
  }

  private grantedSlots (byAddress: ReadonlyMap<string, AnnouncedCapacity>): number {
    return sumSlots([...this.grants.keys()].map((address) => byAddress.get(address)).filter((capacity) => capacity !== undefined))
  }
}

const PHASES: Record<EjectionState, EjectionPhase> = {
  [EjectionState.InService]: EjectionPhase.EJECTION_PHASE_RELEASED,
  [EjectionState.Ejected]: EjectionPhase.EJECTION_PHASE_EJECTED,
  [EjectionState.Trial]: EjectionPhase.EJECTION_PHASE_TRIAL
}

function describe (grant: Grant, now: number, active: boolean): Ejection {
  const phase = active ? PHASES[grant.lifecycle.state()] : EjectionPhase.EJECTION_PHASE_RELEASED
  const ageMilliseconds = Math.round(now - grant.sinceMilliseconds)
  const { address, incarnation, sequence, reason } = grant
  return { address, incarnation, sequence, phase, ageMilliseconds, reason, observers: [...grant.observers] }
}

/** Slots of several upstreams together. */
export function sumSlots (capacities: readonly { readonly slots: number }[]): number {
  return capacities.reduce((sum, capacity) => sum + capacity.slots, 0)
}

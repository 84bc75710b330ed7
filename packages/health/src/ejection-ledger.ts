import { EjectionPhase, type Ejection } from '@hickoryspoke/protocol/generated/evidence'
import { EjectionLifecycle, EjectionState } from './ejection-lifecycle.ts'

/** How long an entry may apply an ejection, counted from when it sent its request. */
export const EJECTION_LEASE_MILLISECONDS = 10_000
const LEASE_MARGIN_MILLISECONDS = 500
const SLOT_TOLERANCE = 1e-9

/** Capacity announced by an upstream. */
export interface AnnouncedCapacity {
  readonly address: string
  readonly incarnation: number
  readonly slots: number
}

/** A proposal to take an upstream out of service. */
export interface EjectionProposal extends AnnouncedCapacity {
  readonly reason: string
  readonly observers: readonly string[]
}

interface EjectionGrant extends EjectionProposal {
  readonly sequence: number
  readonly grantedAtMilliseconds: number
  readonly lifecycle: EjectionLifecycle
  /** Monotonic time until which some entry may still apply the ejection. */
  outstandingUntilMilliseconds: number
}

/** The ejections granted in one pool. No capacity is taken out of service except through a grant recorded here. */
export class EjectionLedger {
  private readonly grants = new Map<string, EjectionGrant>()
  private released: EjectionGrant[] = []
  private nextSequence = 1

  static create (): EjectionLedger {
    return new EjectionLedger()
  }

  /** Grants an ejection if the remaining capacity stays at or above the floor; returns false otherwise. */
  propose (proposal: EjectionProposal, announced: readonly AnnouncedCapacity[], floor: number, now: number): boolean {
    this.reconcile(announced, floor, now)
    if (this.grants.has(proposal.address)) return true
    const total = sumSlots(announced)
    const outstanding = this.outstandingSlots(announced)
    const counted = this.released.some((grant) => grant.address === proposal.address) ? 0 : proposal.slots
    if (outstanding + counted > total * (1 - floor) + SLOT_TOLERANCE) return false
    const lifecycle = EjectionLifecycle.create()
    lifecycle.send('eject')
    this.grants.set(proposal.address, { ...proposal, sequence: this.nextSequence++, grantedAtMilliseconds: now, lifecycle, outstandingUntilMilliseconds: now })
    return true
  }

  /**
   * Releases grants for upstreams that are gone or have restarted, then the latest grants until the floor holds again.
   * Forgets released grants that no entry can apply any more. Returns the addresses released.
   */
  reconcile (announced: readonly AnnouncedCapacity[], floor: number, now: number): string[] {
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

  /** Lets a small share of requests try an ejected upstream. */
  beginTrial (address: string): void {
    this.grants.get(address)?.lifecycle.send('try')
  }

  relapse (address: string): void {
    this.grants.get(address)?.lifecycle.send('relapse')
  }

  /** Returns an upstream to service. Its capacity counts as ejected until no entry can apply the grant any more. */
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

  /** Lists the ejections for an answer to an entry and counts each granted one as outstanding for the duration of a lease. */
  issueLeases (now: number): Ejection[] {
    const active = [...this.grants.values()]
    for (const grant of active) grant.outstandingUntilMilliseconds = now + EJECTION_LEASE_MILLISECONDS + LEASE_MARGIN_MILLISECONDS
    const listed = [...active, ...this.released.filter((grant) => grant.outstandingUntilMilliseconds > now)]
    return listed.sort((left, right) => left.sequence - right.sequence).map((grant) => toEjection(grant, now, active.includes(grant)))
  }

  /** Slots that some entry may keep out of service. */
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

function toEjection (grant: EjectionGrant, now: number, active: boolean): Ejection {
  const phase = active ? PHASES[grant.lifecycle.state()] : EjectionPhase.EJECTION_PHASE_RELEASED
  const ageMilliseconds = Math.round(now - grant.grantedAtMilliseconds)
  const { address, incarnation, sequence, reason } = grant
  return { address, incarnation, sequence, phase, ageMilliseconds, reason, observers: [...grant.observers] }
}

/** Total slots of several upstreams. */
export function sumSlots (capacities: readonly { readonly slots: number }[]): number {
  return capacities.reduce((sum, capacity) => sum + capacity.slots, 0)
}

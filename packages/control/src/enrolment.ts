import type { MembershipCommand } from '@hickoryspoke/protocol/generated/command'
import type { EnrolledEntry } from '@hickoryspoke/protocol/generated/distribution'
import type { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import { applyMembershipChange } from '@hickoryspoke/replication/enrolled-entries'
import type { ReplicatedLog } from '@hickoryspoke/replication/replicated-log'
import { repeatEvery, type Clock } from '@hickoryspoke/runtime/clock'
import type { ControlProposer } from './control-proposer.ts'
import { toEnrolled, type EntryRegistry } from './entry-registry.ts'
import { regionsWithoutQuorum } from './witness-quorum.ts'

/** Interval at which entries that joined or left are combined into one new epoch, in milliseconds. */
export const ENROLMENT_INTERVAL_MILLISECONDS = 1_000

/** An entry is removed from the membership after this time without a report, in milliseconds. */
export const REMOVAL_SILENCE_MILLISECONDS = 60_000

/** Dependencies of an `Enrolment`. */
export interface EnrolmentOptions {
  readonly log: ReplicatedLog
  readonly state: AcceptedState
  readonly registry: EntryRegistry
  readonly proposer: ControlProposer
  readonly clock: Clock
}

/**
 * Advances the membership of entries by one epoch at a time, on the leader. A step requires that a quorum of the old
 * witnesses and a quorum of the new ones hold the accepted file, and that the previous step is established. This keeps
 * control from removing entries that it cannot reach but that still serve callers.
 */
export class Enrolment {
  private leadingSince: number | undefined

  private constructor (private readonly options: EnrolmentOptions) {}

  static create (options: EnrolmentOptions): Enrolment {
    return new Enrolment(options)
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.options.clock, ENROLMENT_INTERVAL_MILLISECONDS, signal, () => this.step())
  }

  /** Performs the next step, if one is due. */
  async step (): Promise<void> {
    if (this.options.log.role() !== 'leader') {
      this.leadingSince = undefined
      return
    }
    this.leadingSince ??= this.options.clock.monotonicMilliseconds()
    const { entries } = this.options.state
    if (entries.epoch !== entries.establishedEpoch) return await this.establish()
    const change = this.findChange()
    if (change !== undefined) await this.options.proposer.changeMembership(change)
  }

  /** Whether an entry has been silent long enough to be removed. The time counts from the start of this leadership at the earliest. */
  isSilent (name: string): boolean {
    const since = Math.max(this.options.registry.heardAt(name) ?? -Infinity, this.leadingSince ?? Infinity)
    return this.options.clock.monotonicMilliseconds() - since > REMOVAL_SILENCE_MILLISECONDS
  }

  /** Establishes the current epoch once a quorum of the previous witnesses holds it. */
  private async establish (): Promise<void> {
    const { entries } = this.options.state
    const { epoch } = entries
    const missing = regionsWithoutQuorum(entries.previousWitnesses, (name) => this.options.registry.holds(name, 0, epoch))
    if (missing.length === 0) await this.options.proposer.establish(epoch)
  }

  private findChange (): MembershipCommand | undefined {
    const { state } = this.options
    const { epoch, entries } = state.entries.membership()
    const put = this.findArrivals()
    const remove = entries.map((entry) => entry.name).filter((name) => this.isGone(name))
    if (put.length + remove.length === 0 || !this.isHeldByQuorums(entries, put, remove, epoch)) return undefined
    return { expectedEpoch: epoch, expectedConfiguration: state.accepted?.identity, put, remove, forced: false }
  }

  /** Whether quorums of the old and of the new witnesses hold the accepted file, and those of the old ones the current epoch. */
  private isHeldByQuorums (entries: readonly EnrolledEntry[], put: readonly EnrolledEntry[], remove: readonly string[], epoch: number): boolean {
    const { registry, state } = this.options
    const number = state.accepted?.identity.number ?? 0
    const after = [...applyMembershipChange(new Map(entries.map((entry) => [entry.name, entry])), put, remove).values()]
    const missingBefore = regionsWithoutQuorum(entries, (name) => registry.holds(name, number, epoch))
    const missingAfter = regionsWithoutQuorum(after, (name) => registry.holds(name, number, 0))
    return missingBefore.length + missingAfter.length === 0
  }

  private findArrivals (): EnrolledEntry[] {
    const { registry, state } = this.options
    const number = state.accepted?.identity.number ?? 0
    return registry.entries()
      .map(({ report }) => report)
      .filter((report) => !report.leaving && registry.holds(report.name, number, 0))
      .map(toEnrolled)
      .filter((entry) => state.entries.hasEffect([entry], []))
  }

  private isGone (name: string): boolean {
    return this.options.registry.get(name)?.report.leaving === true || this.isSilent(name)
  }
}

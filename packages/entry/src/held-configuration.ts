import type { DesiredState } from '@hickoryspoke/configuration/desired-state'
import type { StateDifference } from '@hickoryspoke/configuration/difference'
import type { IdentifiedState, FileIdentity } from '@hickoryspoke/configuration/identified-state'
import { RecentStates, type EncodedUpdate } from '@hickoryspoke/configuration/recent-states'
import { applyDifference, CorruptState, decodeDifference, decodeState } from '@hickoryspoke/configuration/state-codec'
import type { VersionSource } from '@hickoryspoke/membership/freshness-guard'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { Err, Ok, type Result } from 'ts-results-es'

/** The accepted file and the enrolled entries as this entry holds them. */
export interface CurrentConfiguration {
  readonly state: DesiredState
  /** The same state with an index by name for each section. */
  readonly identified: IdentifiedState
  readonly identity: FileIdentity
  readonly membership: EntryMembership
}

/** What a change brought; `difference` is undefined when the whole file came or only the membership changed. */
export interface ConfigurationChange {
  readonly difference: StateDifference | undefined
}

/** Told of each change, in order. */
export type ConfigurationHandler = (current: CurrentConfiguration, change: ConfigurationChange) => void

const NO_MEMBERSHIP: EntryMembership = { epoch: 0, entries: [], establishedEpoch: 0 }

/** What this entry holds; numbers and epochs only grow, from wherever an update comes. */
export class HeldConfiguration implements VersionSource {
  readonly recent = RecentStates.create()
  private held: EntryMembership = NO_MEMBERSHIP
  private snapshot: CurrentConfiguration | undefined
  private readonly handlers = new Set<ConfigurationHandler>()

  private constructor (private readonly region: string) {}

  static create (region: string): HeldConfiguration {
    return new HeldConfiguration(region)
  }

  /** Undefined until a first file is held. */
  current (): CurrentConfiguration | undefined {
    return this.snapshot
  }

  get membership (): EntryMembership {
    return this.held
  }

  get identity (): FileIdentity | undefined {
    return this.recent.latest?.identity
  }

  /** Calls back after each change; returns how to unsubscribe. */
  onChange (handler: ConfigurationHandler): () => void {
    this.handlers.add(handler)
    return () => this.handlers.delete(handler)
  }

  versions (): { readonly number: number, readonly epoch: number, readonly establishedEpoch: number } {
    return { number: this.identity?.number ?? 0, epoch: this.held.epoch, establishedEpoch: this.held.establishedEpoch }
  }

  witnesses (): readonly string[] {
    return this.held.entries.filter((entry) => entry.witness && entry.region === this.region).map((entry) => entry.name)
  }

  /** Takes an update if it is newer; the digest of what it leads to is verified. */
  takeUpdate (update: EncodedUpdate): Result<'taken' | 'known', CorruptState> {
    if (update.identity.number <= this.versions().number) return Ok('known')
    if (update.differenceFrom === undefined) return decodeState(update.content, update.identity).map((state) => this.take(state, undefined))
    const before = this.recent.latest
    if (before === undefined || before.identity.digest !== update.differenceFrom.digest) {
      return Err(CorruptState.create('the difference was made for another state'))
    }
    return decodeDifference(update.content).andThen((difference) => {
      return applyDifference(before, difference, update.identity).map((state) => this.take(state, difference))
    })
  }

  /** Takes a membership if it is newer, or tells that the same epoch is established. */
  takeMembership (membership: EntryMembership): void {
    const isNewer = membership.epoch > this.held.epoch
    const isEstablished = membership.epoch === this.held.epoch && membership.establishedEpoch > this.held.establishedEpoch
    if (!isNewer && !isEstablished) return
    this.held = membership
    this.notify(undefined)
  }

  private take (state: IdentifiedState, difference: StateDifference | undefined): 'taken' {
    this.recent.add(state)
    this.notify(difference)
    return 'taken'
  }

  private notify (difference: StateDifference | undefined): void {
    const identified = this.recent.latest
    if (identified === undefined) return
    const state = this.snapshot?.identified === identified ? this.snapshot.state : identified.toDesiredState()
    const current = { state, identified, identity: identified.identity, membership: this.held }
    this.snapshot = current
    for (const handler of [...this.handlers]) handler(current, { difference })
  }
}

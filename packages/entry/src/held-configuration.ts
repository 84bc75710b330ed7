import type { DesiredState } from '@hickoryspoke/configuration/desired-state'
import type { StateDifference } from '@hickoryspoke/configuration/difference'
import type { IdentifiedState, FileIdentity } from '@hickoryspoke/configuration/identified-state'
import { RecentStates, type EncodedUpdate } from '@hickoryspoke/configuration/recent-states'
import { applyDifference, CorruptState, decodeDifference, decodeState } from '@hickoryspoke/configuration/state-codec'
import type { VersionSource } from '@hickoryspoke/membership/freshness-guard'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { Err, Ok, type Result } from 'ts-results-es'

/** The accepted file and the enrolled entries, as currently held by this entry. */
export interface CurrentConfiguration {
  readonly state: DesiredState
  /** The same state, with each section indexed by name. */
  readonly identified: IdentifiedState
  readonly identity: FileIdentity
  readonly membership: EntryMembership
}

/** Describes a change. `difference` is undefined if a whole file was received or only the membership changed. */
export interface ConfigurationChange {
  readonly difference: StateDifference | undefined
}

/** Called after each change, in order. */
export type ConfigurationHandler = (current: CurrentConfiguration, change: ConfigurationChange) => void

const NO_MEMBERSHIP: EntryMembership = { epoch: 0, entries: [], establishedEpoch: 0 }

/** Configuration and membership held by this entry. Numbers and epochs never decrease, whatever the source of an update. */
export class HeldConfiguration implements VersionSource {
  readonly recent = RecentStates.create()
  private held: EntryMembership = NO_MEMBERSHIP
  private snapshot: CurrentConfiguration | undefined
  private readonly handlers = new Set<ConfigurationHandler>()

  private constructor (private readonly region: string) {}

  static create (region: string): HeldConfiguration {
    return new HeldConfiguration(region)
  }

  /** Current configuration; undefined before the first file. */
  current (): CurrentConfiguration | undefined {
    return this.snapshot
  }

  get membership (): EntryMembership {
    return this.held
  }

  get identity (): FileIdentity | undefined {
    return this.recent.latest?.identity
  }

  /** Calls back after each change. Returns a function that unsubscribes. */
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

  /** Applies an update if it is newer. The digest of the resulting state is verified. */
  applyUpdate (update: EncodedUpdate): Result<'applied' | 'known', CorruptState> {
    if (update.identity.number <= this.versions().number) return Ok('known')
    if (update.differenceFrom === undefined) return decodeState(update.content, update.identity).map((state) => this.store(state, undefined))
    const before = this.recent.latest
    if (before === undefined || before.identity.digest !== update.differenceFrom.digest) {
      return Err(CorruptState.create('the difference is based on another state'))
    }
    return decodeDifference(update.content).andThen((difference) => {
      return applyDifference(before, difference, update.identity).map((state) => this.store(state, difference))
    })
  }

  /** Applies a membership if its epoch is newer, or if the epoch is the same and its established epoch is newer. */
  applyMembership (membership: EntryMembership): void {
    const isNewer = membership.epoch > this.held.epoch
    const isEstablished = membership.epoch === this.held.epoch && membership.establishedEpoch > this.held.establishedEpoch
    if (!isNewer && !isEstablished) return
    this.held = membership
    this.notify(undefined)
  }

  private store (state: IdentifiedState, difference: StateDifference | undefined): 'applied' {
    this.recent.add(state)
    this.notify(difference)
    return 'applied'
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

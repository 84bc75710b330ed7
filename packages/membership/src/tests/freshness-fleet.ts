import type { FreshnessMessage } from '@hickoryspoke/protocol/generated/freshness'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { quorumSize } from '@hickoryspoke/runtime/quorum'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { FakeNetwork } from '@hickoryspoke/testing/fake-network'
import { FreshnessGuard } from '../freshness-guard.ts'
import type { Versions } from '../freshness-round.ts'

const REPORT_VALIDITY_MILLISECONDS = 2_000
const REPORT_INTERVAL_MILLISECONDS = 500
const FETCH_MILLISECONDS = 5

/** One entry of the fleet: its guard and the versions that it holds. */
export interface FleetEntry {
  readonly name: string
  guard: FreshnessGuard
  held: Versions
  stop: AbortController
}

/** One membership epoch: its number and its witnesses. */
export interface FleetEpoch {
  readonly epoch: number
  readonly witnesses: readonly string[]
}

/** Entries on a fake network, and a simulated control with individual faults towards each entry. */
export class FreshnessFleet {
  readonly clock = FakeClock.create()
  readonly random: SeededRandom
  readonly network: FakeNetwork<FreshnessMessage>
  readonly entries = new Map<string, FleetEntry>()
  readonly epochs: FleetEpoch[] = []
  /** Entries that control cannot push to. */
  readonly unreachable = new Set<string>()
  /** Entries whose reports do not reach control. */
  readonly unreported = new Set<string>()
  /** Entries whose questions control answers even though it cannot push to them. */
  readonly answered = new Set<string>()
  isControlDown = false
  committed: Versions = { number: 1, epoch: 1 }
  private readonly reports = new Map<string, { at: number, held: Versions }>()

  private constructor (seed: number) {
    this.random = SeededRandom.create(seed)
    this.network = FakeNetwork.create<FreshnessMessage>(this.clock, this.random)
  }

  static create (names: readonly string[], witnesses: readonly string[], seed = 1): FreshnessFleet {
    const fleet = new FreshnessFleet(seed)
    fleet.epochs.push({ epoch: 1, witnesses })
    for (const name of names) fleet.start(name, { number: 1, epoch: 1 })
    fleet.scheduleReports()
    return fleet
  }

  /** Starts an entry, or restarts it with no state except `held`. */
  start (name: string, held: Versions): void {
    const entry: FleetEntry = { name, held, stop: new AbortController(), guard: undefined as unknown as FreshnessGuard }
    this.entries.set(name, entry)
    const network = this.network.join(name, (from, message) => {
      if (message.body?.$case === 'ask' || message.body?.$case === 'answer') entry.guard.handle(from, message.body)
    })
    entry.guard = FreshnessGuard.create({
      clock: this.clock,
      random: this.random,
      network,
      source: { versions: () => ({ ...entry.held, establishedEpoch: entry.held.epoch }), witnesses: () => this.witnessesOf(entry.held.epoch) },
      control: { ask: () => Promise.resolve(this.canControlAnswer(name) ? { ...this.committed } : undefined) },
      onNewerPeer: (peer) => this.fetch(entry, peer)
    })
    void entry.guard.run(entry.stop.signal)
  }

  crash (name: string): void {
    this.network.leave(name)
    this.entry(name).stop.abort()
    this.entries.delete(name)
    this.reports.delete(name)
  }

  entry (name: string): FleetEntry {
    return this.entries.get(name) as FleetEntry
  }

  /** Cuts an entry off from all others, in one direction or both. */
  isolate (name: string, direction: 'both' | 'incoming' | 'outgoing' = 'both'): void {
    for (const other of this.entries.keys()) {
      if (direction !== 'outgoing') this.network.cut(other, name)
      if (direction !== 'incoming') this.network.cut(name, other)
    }
  }

  /** Whether control has recent reports that a quorum of the witnesses of the latest epoch holds a number. */
  isHeldByQuorum (number: number): boolean {
    const { witnesses } = this.epochs.at(-1) as FleetEpoch
    const holders = witnesses.filter((name) => this.isReported(name, (held) => held.number >= number))
    return holders.length >= quorumSize(witnesses.length)
  }

  /** Whether control has recent reports that a quorum of the witnesses of one epoch holds another epoch. */
  isEpochHeld (of: FleetEpoch, epoch: number): boolean {
    const holders = of.witnesses.filter((name) => this.isReported(name, (held) => held.epoch >= epoch))
    return holders.length >= quorumSize(of.witnesses.length)
  }

  witnessesOf (epoch: number): readonly string[] {
    return this.epochs.find((known) => known.epoch === epoch)?.witnesses ?? []
  }

  freshNames (): string[] {
    return [...this.entries.values()].filter((entry) => entry.guard.isFresh()).map((entry) => entry.name)
  }

  private canControlAnswer (name: string): boolean {
    return !this.isControlDown && (this.answered.has(name) || (!this.unreachable.has(name) && !this.unreported.has(name)))
  }

  private isReported (name: string, passes: (held: Versions) => boolean): boolean {
    const report = this.reports.get(name)
    return report !== undefined && this.clock.monotonicMilliseconds() - report.at <= REPORT_VALIDITY_MILLISECONDS && passes(report.held)
  }

  private scheduleReports (): void {
    this.clock.schedule(REPORT_INTERVAL_MILLISECONDS, () => {
      for (const entry of this.entries.values()) this.exchangeWithControl(entry)
      this.scheduleReports()
    })
  }

  private exchangeWithControl (entry: FleetEntry): void {
    if (this.isControlDown) return
    if (!this.unreachable.has(entry.name)) this.raiseVersions(entry, this.committed)
    if (!this.unreported.has(entry.name)) this.reports.set(entry.name, { at: this.clock.monotonicMilliseconds(), held: { ...entry.held } })
  }

  private fetch (entry: FleetEntry, peer: string): void {
    const seen = this.entries.get(peer)?.held
    if (seen === undefined) return
    this.clock.schedule(FETCH_MILLISECONDS, () => this.raiseVersions(entry, seen))
  }

  private raiseVersions (entry: FleetEntry, to: Versions): void {
    const held = { number: Math.max(entry.held.number, to.number), epoch: Math.max(entry.held.epoch, to.epoch) }
    if (held.number === entry.held.number && held.epoch === entry.held.epoch) return
    entry.held = held
    entry.guard.onVersionsChanged()
  }
}

/** Returns the names `entry-0`, `entry-1` and so on. */
export function entryNames (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `entry-${index}`)
}

import type { EnrolledEntry, EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { EntryState, type EntryNews, type GossipMessage, type Heartbeat, type LoadHint, type Ping } from '@hickoryspoke/protocol/generated/gossip'
import { repeatEvery, sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { shuffled, type RandomSource } from '@hickoryspoke/runtime/random'
import { Overlay } from './overlay.ts'

const HEARTBEAT_INTERVAL_MILLISECONDS = 1_000
const PROBE_AFTER_SILENCE_MILLISECONDS = 3_000
const DIRECT_PROBE_TIMEOUT_MILLISECONDS = 300
const INDIRECT_PROBE_TIMEOUT_MILLISECONDS = 700
const INDIRECT_PROBE_HELPERS = 3
const SUSPICION_TIMEOUT_MILLISECONDS = 2_500

/** Additional content of each heartbeat, provided by the announcement registry. */
export interface HeartbeatContent {
  tableDigest (): number
  takeLoadHints (): LoadHint[]
}

/** Liveness of one enrolled entry as known to this entry. Times are monotonic milliseconds. */
interface Standing {
  readonly entry: EnrolledEntry
  incarnation: number
  state: EntryState
  lastHeardMilliseconds: number
  suspectedSinceMilliseconds: number
  isBeingProbed: boolean
}

/** Dependencies of `EntryLiveness`. */
export interface EntryLivenessOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<GossipMessage>
}

type Body = NonNullable<GossipMessage['body']>

/**
 * Detects which enrolled entries are running. Neighbours exchange heartbeats; a silent neighbour is probed directly,
 * then through other entries, and then suspected. A suspected entry can refute the suspicion before it counts as dead.
 */
export class EntryLiveness {
  private readonly standings = new Map<string, Standing>()
  private readonly changeHandlers: (() => void)[] = []
  private content: HeartbeatContent = { tableDigest: () => 0, takeLoadHints: () => [] }
  private currentOverlay = Overlay.create([])
  private currentNeighbours: readonly string[] = []
  private epoch = 0
  private ownIncarnation = 0
  private leaving = false
  private pingSequence = 0

  private constructor (private readonly options: EntryLivenessOptions) {}

  static create (options: EntryLivenessOptions): EntryLiveness {
    return new EntryLiveness(options)
  }

  /** Applies the enrolled entries of an epoch. Older epochs are ignored. */
  applyMembership (membership: EntryMembership): void {
    if (membership.epoch < this.epoch) return
    this.epoch = membership.epoch
    const enrolled = new Set(membership.entries.map((entry) => entry.name))
    for (const name of [...this.standings.keys()]) if (!enrolled.has(name)) this.standings.delete(name)
    for (const entry of membership.entries) if (!this.standings.has(entry.name)) this.standings.set(entry.name, this.newStanding(entry))
    this.rebuild()
  }

  /** Enrolled entries that are not known to be dead or to have left, including this entry. */
  liveEntries (): EnrolledEntry[] {
    return [...this.standings.values()].filter(isPresent).map((standing) => standing.entry)
  }

  stateOf (name: string): EntryState {
    return this.standings.get(name)?.state ?? EntryState.ENTRY_STATE_UNSPECIFIED
  }

  overlay (): Overlay {
    return this.currentOverlay
  }

  neighbours (): readonly string[] {
    return this.currentNeighbours
  }

  /** Whether fewer than half of the neighbours were heard recently, which indicates a fault on this entry's side. */
  isIsolated (): boolean {
    const oldest = this.now() - PROBE_AFTER_SILENCE_MILLISECONDS - HEARTBEAT_INTERVAL_MILLISECONDS
    const heardNeighbours = this.currentNeighbours.filter((name) => (this.standings.get(name)?.lastHeardMilliseconds ?? 0) > oldest)
    return this.currentNeighbours.length > 0 && heardNeighbours.length * 2 < this.currentNeighbours.length
  }

  /** Calls back after the set of live entries has changed. */
  onChange (handler: () => void): void {
    this.changeHandlers.push(handler)
  }

  attach (content: HeartbeatContent): void {
    this.content = content
  }

  /** Sends heartbeats and probes until the signal aborts. */
  async start (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.options.clock, HEARTBEAT_INTERVAL_MILLISECONDS, signal, () => this.sendHeartbeats(signal))
  }

  /** Tells the neighbours that this entry leaves, and stops taking part in gossip. */
  leave (): void {
    this.leaving = true
    this.ownIncarnation += 1
    this.broadcast({ name: this.options.network.self, incarnation: this.ownIncarnation, state: EntryState.ENTRY_STATE_LEFT })
  }

  /** Handles a gossip message. Messages of every kind show that their sender is alive. */
  receive (from: string, message: GossipMessage): void {
    const body = message.body
    if (body === undefined || this.leaving) return
    this.recordHeard(from)
    if (body.$case === 'heartbeat') this.receiveHeartbeat(from, body.value)
    if (body.$case === 'ping') this.receivePing(from, body.value)
    if (body.$case === 'acknowledgement') this.recordHeard(body.value.target)
    if (body.$case === 'entryNews') this.receiveNews(body.value, from)
  }

  private sendHeartbeats (signal: AbortSignal): void {
    if (this.leaving) return
    const { content, ownIncarnation: incarnation } = this
    const value: Heartbeat = { incarnation, tableDigest: content.tableDigest(), loads: content.takeLoadHints() }
    for (const neighbour of this.currentNeighbours) this.send(neighbour, { $case: 'heartbeat', value })
    this.expireSuspicions()
    if (this.isIsolated()) return
    for (const standing of this.silentNeighbours()) void this.probe(standing, signal)
  }

  private silentNeighbours (): Standing[] {
    const oldest = this.now() - PROBE_AFTER_SILENCE_MILLISECONDS
    return this.currentNeighbours
      .map((name) => this.standings.get(name))
      .filter((standing) => standing !== undefined)
      .filter((standing) => standing.lastHeardMilliseconds < oldest && !standing.isBeingProbed && standing.state === EntryState.ENTRY_STATE_ALIVE)
  }

  private async probe (standing: Standing, signal: AbortSignal): Promise<void> {
    const target = standing.entry.name
    const startMilliseconds = this.now()
    standing.isBeingProbed = true
    this.send(target, { $case: 'ping', value: { sequence: this.pingSequence++, target: '' } })
    await sleep(this.options.clock, DIRECT_PROBE_TIMEOUT_MILLISECONDS, signal)
    if (standing.lastHeardMilliseconds < startMilliseconds) await this.probeIndirectly(target, signal)
    standing.isBeingProbed = false
    const silent = standing.lastHeardMilliseconds < startMilliseconds
    if (!silent || signal.aborted || this.isIsolated()) return
    this.receiveNews({ name: target, incarnation: standing.incarnation, state: EntryState.ENTRY_STATE_SUSPECT })
  }

  private async probeIndirectly (target: string, signal: AbortSignal): Promise<void> {
    const others = this.currentNeighbours.filter((name) => name !== target)
    const helpers = shuffled(this.options.random, others).slice(0, INDIRECT_PROBE_HELPERS)
    for (const helper of helpers) this.send(helper, { $case: 'ping', value: { sequence: this.pingSequence++, target } })
    await sleep(this.options.clock, INDIRECT_PROBE_TIMEOUT_MILLISECONDS, signal)
  }

  private expireSuspicions (): void {
    const oldest = this.now() - SUSPICION_TIMEOUT_MILLISECONDS
    for (const standing of this.standings.values()) {
      if (standing.state !== EntryState.ENTRY_STATE_SUSPECT || standing.suspectedSinceMilliseconds > oldest) continue
      this.receiveNews({ name: standing.entry.name, incarnation: standing.incarnation, state: EntryState.ENTRY_STATE_DEAD })
    }
  }

  private receiveHeartbeat (from: string, heartbeat: Heartbeat): void {
    const standing = this.standings.get(from)
    if (standing === undefined) return
    if (heartbeat.incarnation > standing.incarnation) {
      this.receiveNews({ name: from, incarnation: heartbeat.incarnation, state: EntryState.ENTRY_STATE_ALIVE })
    } else if (standing.state !== EntryState.ENTRY_STATE_ALIVE) {
      this.send(from, { $case: 'entryNews', value: { name: from, incarnation: standing.incarnation, state: standing.state } })
    }
  }

  private receivePing (from: string, ping: Ping): void {
    const { self } = this.options.network
    if (ping.target === '' || ping.target === self) {
      this.send(from, { $case: 'acknowledgement', value: { sequence: ping.sequence, target: self } })
      return
    }
    void this.pingOnBehalfOf(from, ping)
  }

  private async pingOnBehalfOf (asker: string, ping: Ping): Promise<void> {
    const startMilliseconds = this.now()
    this.send(ping.target, { $case: 'ping', value: { sequence: this.pingSequence++, target: '' } })
    await sleep(this.options.clock, DIRECT_PROBE_TIMEOUT_MILLISECONDS)
    const lastHeardMilliseconds = this.standings.get(ping.target)?.lastHeardMilliseconds ?? -1
    if (lastHeardMilliseconds >= startMilliseconds) this.send(asker, { $case: 'acknowledgement', value: ping })
  }

  private receiveNews (news: EntryNews, from?: string): void {
    if (news.name === this.options.network.self) {
      this.refute(news)
      return
    }
    const standing = this.standings.get(news.name)
    if (standing === undefined || !isNewerNews(news, standing)) return
    const wasPresent = isPresent(standing)
    standing.incarnation = news.incarnation
    standing.state = news.state
    standing.suspectedSinceMilliseconds = this.now()
    this.broadcast(news, from)
    if (wasPresent !== isPresent(standing)) this.rebuild()
  }

  private refute (news: EntryNews): void {
    if (news.state === EntryState.ENTRY_STATE_ALIVE || news.incarnation < this.ownIncarnation) return
    this.ownIncarnation = news.incarnation + 1
    this.broadcast({ name: news.name, incarnation: this.ownIncarnation, state: EntryState.ENTRY_STATE_ALIVE })
  }

  private broadcast (news: EntryNews, excludedNeighbour?: string): void {
    for (const neighbour of this.currentNeighbours) if (neighbour !== excludedNeighbour) this.send(neighbour, { $case: 'entryNews', value: news })
  }

  private rebuild (): void {
    const before = new Set(this.currentNeighbours)
    this.currentOverlay = Overlay.create(this.liveEntries())
    this.currentNeighbours = this.currentOverlay.neighbours(this.options.network.self)
    for (const name of this.currentNeighbours) if (!before.has(name)) this.recordHeard(name)
    for (const handler of this.changeHandlers) handler()
  }

  private recordHeard (name: string): void {
    const standing = this.standings.get(name)
    if (standing !== undefined) standing.lastHeardMilliseconds = this.now()
  }

  private newStanding (entry: EnrolledEntry): Standing {
    const lastHeardMilliseconds = this.now()
    return { entry, incarnation: 0, state: EntryState.ENTRY_STATE_ALIVE, lastHeardMilliseconds, suspectedSinceMilliseconds: 0, isBeingProbed: false }
  }

  private send (to: string, body: Body): void {
    this.options.network.send(to, { body })
  }

  private now (): number {
    return this.options.clock.monotonicMilliseconds()
  }
}

function isPresent (standing: Standing): boolean {
  return standing.state === EntryState.ENTRY_STATE_ALIVE || standing.state === EntryState.ENTRY_STATE_SUSPECT
}

/** A higher incarnation takes precedence. Within one incarnation the higher state does. */
function isNewerNews (news: EntryNews, standing: Standing): boolean {
  if (news.incarnation !== standing.incarnation) return news.incarnation > standing.incarnation
  return news.state > standing.state
}

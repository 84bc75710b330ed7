import type { EnrolledEntry, EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { EntryState, type EntryNews, type GossipMessage, type Heartbeat, type LoadHint, type Ping } from '@hickoryspoke/protocol/generated/gossip'
import { repeatEvery, sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { shuffled, type RandomSource } from '@hickoryspoke/runtime/random'
import { Overlay } from './overlay.ts'

const HEARTBEAT_INTERVAL_MILLISECONDS = 1_000
const SILENCE_BEFORE_PROBE_MILLISECONDS = 3_000
const DIRECT_PROBE_MILLISECONDS = 300
const INDIRECT_PROBE_MILLISECONDS = 700
const INDIRECT_PROBE_HELPERS = 3
const SUSPICION_MILLISECONDS = 2_500

/** What each heartbeat carries besides; filled in by the registry of announcements. */
export interface HeartbeatContent {
  tableDigest (): number
  takeLoadHints (): LoadHint[]
}

interface Standing {
  readonly entry: EnrolledEntry
  incarnation: number
  state: EntryState
  heardMilliseconds: number
  suspectedMilliseconds: number
  beingProbed: boolean
}

/** What the liveness of entries needs from its process. */
export interface EntryLivenessOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<GossipMessage>
}

type Body = NonNullable<GossipMessage['body']>

/** Which of the enrolled entries run: heartbeats between neighbours, probes through others, and refutation. */
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

  /** Takes the enrolled entries of a newer epoch; older ones are ignored. */
  applyMembership (membership: EntryMembership): void {
    if (membership.epoch < this.epoch) return
    this.epoch = membership.epoch
    const enrolled = new Set(membership.entries.map((entry) => entry.name))
    for (const name of [...this.standings.keys()]) if (!enrolled.has(name)) this.standings.delete(name)
    for (const entry of membership.entries) if (!this.standings.has(entry.name)) this.standings.set(entry.name, this.newStanding(entry))
    this.rebuild()
  }

  /** Enrolled entries that are not known to be dead or gone, this entry included. */
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

  /** True while fewer than half of the neighbours are heard: then the fault is likely here. */
  isIsolated (): boolean {
    const oldest = this.now() - SILENCE_BEFORE_PROBE_MILLISECONDS - HEARTBEAT_INTERVAL_MILLISECONDS
    const heard = this.currentNeighbours.filter((name) => (this.standings.get(name)?.heardMilliseconds ?? 0) > oldest)
    return this.currentNeighbours.length > 0 && heard.length * 2 < this.currentNeighbours.length
  }

  /** Calls back after the set of live entries changed. */
  onChange (handler: () => void): void {
    this.changeHandlers.push(handler)
  }

  attach (content: HeartbeatContent): void {
    this.content = content
  }

  /** Runs until the signal aborts. */
  async start (signal: AbortSignal): Promise<void> {
    await repeatEvery(this.options.clock, HEARTBEAT_INTERVAL_MILLISECONDS, signal, () => this.beat(signal))
  }

  /** Tells the neighbours that this entry leaves; it takes no part afterwards. */
  leave (): void {
    this.leaving = true
    this.ownIncarnation += 1
    this.spread({ name: this.options.network.self, incarnation: this.ownIncarnation, state: EntryState.ENTRY_STATE_LEFT })
  }

  /** Takes any gossip message: each proves that its sender runs. */
  receive (from: string, message: GossipMessage): void {
    const body = message.body
    if (body === undefined || this.leaving) return
    this.hear(from)
    if (body.$case === 'heartbeat') this.receiveHeartbeat(from, body.value)
    if (body.$case === 'ping') this.receivePing(from, body.value)
    if (body.$case === 'acknowledgement') this.hear(body.value.target)
    if (body.$case === 'entryNews') this.receiveNews(body.value, from)
  }

  private beat (signal: AbortSignal): void {
    if (this.leaving) return
    const { content, ownIncarnation: incarnation } = this
    const value: Heartbeat = { incarnation, tableDigest: content.tableDigest(), loads: content.takeLoadHints() }
    for (const neighbour of this.currentNeighbours) this.send(neighbour, { $case: 'heartbeat', value })
    this.endSuspicions()
    if (this.isIsolated()) return
    for (const standing of this.silentNeighbours()) void this.probe(standing, signal)
  }

  private silentNeighbours (): Standing[] {
    const oldest = this.now() - SILENCE_BEFORE_PROBE_MILLISECONDS
    return this.currentNeighbours
      .map((name) => this.standings.get(name))
      .filter((standing) => standing !== undefined)
      .filter((standing) => standing.heardMilliseconds < oldest && !standing.beingProbed && standing.state === EntryState.ENTRY_STATE_ALIVE)
  }

  private async probe (standing: Standing, signal: AbortSignal): Promise<void> {
    const target = standing.entry.name
    const startMilliseconds = this.now()
    standing.beingProbed = true
    this.send(target, { $case: 'ping', value: { sequence: this.pingSequence++, target: '' } })
    await sleep(this.options.clock, DIRECT_PROBE_MILLISECONDS, signal)
    if (standing.heardMilliseconds < startMilliseconds) await this.probeThroughOthers(target, signal)
    standing.beingProbed = false
    const silent = standing.heardMilliseconds < startMilliseconds
    if (!silent || signal.aborted || this.isIsolated()) return
    this.receiveNews({ name: target, incarnation: standing.incarnation, state: EntryState.ENTRY_STATE_SUSPECT })
  }

  private async probeThroughOthers (target: string, signal: AbortSignal): Promise<void> {
    const others = this.currentNeighbours.filter((name) => name !== target)
    const helpers = shuffled(this.options.random, others).slice(0, INDIRECT_PROBE_HELPERS)
    for (const helper of helpers) this.send(helper, { $case: 'ping', value: { sequence: this.pingSequence++, target } })
    await sleep(this.options.clock, INDIRECT_PROBE_MILLISECONDS, signal)
  }

  private endSuspicions (): void {
    const oldest = this.now() - SUSPICION_MILLISECONDS
    for (const standing of this.standings.values()) {
      if (standing.state !== EntryState.ENTRY_STATE_SUSPECT || standing.suspectedMilliseconds > oldest) continue
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
    void this.pingFor(from, ping)
  }

  private async pingFor (asker: string, ping: Ping): Promise<void> {
    const startMilliseconds = this.now()
    this.send(ping.target, { $case: 'ping', value: { sequence: this.pingSequence++, target: '' } })
    await sleep(this.options.clock, DIRECT_PROBE_MILLISECONDS)
    const heardMilliseconds = this.standings.get(ping.target)?.heardMilliseconds ?? -1
    if (heardMilliseconds >= startMilliseconds) this.send(asker, { $case: 'acknowledgement', value: ping })
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
    standing.suspectedMilliseconds = this.now()
    this.spread(news, from)
    if (wasPresent !== isPresent(standing)) this.rebuild()
  }

  private refute (news: EntryNews): void {
    if (news.state === EntryState.ENTRY_STATE_ALIVE || news.incarnation < this.ownIncarnation) return
    this.ownIncarnation = news.incarnation + 1
    this.spread({ name: news.name, incarnation: this.ownIncarnation, state: EntryState.ENTRY_STATE_ALIVE })
  }

  private spread (news: EntryNews, except?: string): void {
    for (const neighbour of this.currentNeighbours) if (neighbour !== except) this.send(neighbour, { $case: 'entryNews', value: news })
  }

  private rebuild (): void {
    const before = new Set(this.currentNeighbours)
    this.currentOverlay = Overlay.create(this.liveEntries())
    this.currentNeighbours = this.currentOverlay.neighbours(this.options.network.self)
    for (const name of this.currentNeighbours) if (!before.has(name)) this.hear(name)
    for (const handler of this.changeHandlers) handler()
  }

  private hear (name: string): void {
    const standing = this.standings.get(name)
    if (standing !== undefined) standing.heardMilliseconds = this.now()
  }

  private newStanding (entry: EnrolledEntry): Standing {
    const heardMilliseconds = this.now()
    return { entry, incarnation: 0, state: EntryState.ENTRY_STATE_ALIVE, heardMilliseconds, suspectedMilliseconds: 0, beingProbed: false }
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

/** Later states of one incarnation outrank earlier ones; a higher incarnation outranks all. */
function isNewerNews (news: EntryNews, standing: Standing): boolean {
  if (news.incarnation !== standing.incarnation) return news.incarnation > standing.incarnation
  return news.state > standing.state
}

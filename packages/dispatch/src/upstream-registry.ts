/** Registry of announced upstreams. Start times and sequence numbers order announcements, so that late or repeated ones change nothing. */
import type { ServingPool } from '@hickoryspoke/configuration/serving-configuration'
import type { AnnouncedUpstream, Departure } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { silentLogger, type Logger } from '@hickoryspoke/telemetry/logger'
import { differs, digestOf, isLeaving, isNewer } from './announcement-order.ts'
import { checkAnnounced, createTombstone, decodeAnnounced, encodeAnnounced } from './announced-upstream.ts'
import { COLD_NEWS, ColdUpstreams, type ColdNews } from './cold-upstreams.ts'
import { OddAnnouncementLog } from './odd-announcement-log.ts'

/** An announced upstream. Times are monotonic milliseconds of this process. */
export interface RegisteredUpstream {
  readonly announced: AnnouncedUpstream
  readonly warmupEndsAt: number
  readonly heardAt: number
  /** What this announcement said of the warm-up of an upstream that was in use, beyond what was known. */
  readonly coldNews?: ColdNews
}

/** Called with the upstreams that changed. */
export type RegistryListener = (changed: readonly RegisteredUpstream[]) => void

/** How long upstreams that left or were replaced are kept as tombstones, so that late announcements do not bring them back. */
const TOMBSTONE_MILLISECONDS = 60_000
/** How old the rest of a warm-up in a list may be; an upstream counts as cold for as much longer. */
const WARMING_LIST_MILLISECONDS = 250
const LAST_SEQUENCE = Number.MAX_SAFE_INTEGER

/** Upstreams by instance and address. */
export class UpstreamRegistry {
  private readonly byInstance = new Map<string, RegisteredUpstream>()
  private readonly byAddress = new Map<string, string>()
  private readonly listeners = new Set<RegistryListener>()
  /** Pools of the configuration; undefined before the first. */
  private poolNames: ReadonlySet<string> | undefined
  private cachedDigest: string | undefined
  private cachedList: Buffer[] | undefined
  /** Until when the cached list says of cold upstreams what is right. */
  private cachedUntil = -Infinity

  private constructor (
    private readonly clock: Clock, private readonly logger: Logger, private readonly odd: OddAnnouncementLog, readonly cold: ColdUpstreams
  ) {}

  static create (clock: Clock, logger: Logger = silentLogger(), cold: ColdUpstreams = ColdUpstreams.create()): UpstreamRegistry {
    return new UpstreamRegistry(clock, logger, OddAnnouncementLog.create(clock, logger), cold)
  }

  onChange (listener: RegistryListener): void {
    this.listeners.add(listener)
  }

  /** All upstreams that have not left. */
  present (): RegisteredUpstream[] {
    return [...this.byInstance.values()].filter((held) => !held.announced.gone)
  }

  /** All upstreams, including those that left. */
  all (): RegisteredUpstream[] {
    return [...this.byInstance.values()]
  }

  /** The announcements of all upstreams, including those that left. */
  announcements (): AnnouncedUpstream[] {
    return this.all().map((held) => held.announced)
  }

  /** The same, encoded for a list; sequence numbers may be those of earlier announcements with the same content. */
  encodedAnnouncements (): Buffer[] {
    const now = this.clock.monotonicMilliseconds()
    if (this.cachedList === undefined || now >= this.cachedUntil) {
      this.cachedList = this.encodeNow(this.all())
      const isWarming = this.cold.isActive && this.all().some((held) => this.cold.isCold(held, now))
      this.cachedUntil = isWarming ? now + WARMING_LIST_MILLISECONDS : Infinity
    }
    return this.cachedList
  }

  /** Encodes announcements as they would be made now, so that the receiver counts the rest of a warm-up from now on. */
  encodeNow (upstreams: readonly RegisteredUpstream[]): Buffer[] {
    const now = this.clock.monotonicMilliseconds()
    return encodeAnnounced(upstreams.map((held) => this.cold.asOf(held, now)))
  }

  /** Takes over the pools of a configuration and their warm-up limits. */
  usePools (pools: readonly ServingPool[]): void {
    this.poolNames = new Set(pools.map(({ name }) => name))
    this.cold.usePools(pools)
    this.cachedUntil = -Infinity
  }

  /** Upstreams that are cold now and whose pools have a warm-up limit. */
  coldOnes (): RegisteredUpstream[] {
    const now = this.clock.monotonicMilliseconds()
    return this.cold.isActive ? this.present().filter((held) => this.cold.isCold(held, now)) : []
  }

  /** Requests per second that an upstream tolerates now from all entries together; undefined while it is not cold. */
  coldRate (instance: string, now: number): number | undefined {
    const held = this.cold.isActive ? this.byInstance.get(instance) : undefined
    return held === undefined ? undefined : this.cold.rateOf(held, now)
  }

  /** Digest of what matters to requests in the announcements of all upstreams that have not left; empty when there are none. */
  digest (): string {
    this.cachedDigest ??= digestOf(this.present().map((held) => held.announced))
    return this.cachedDigest
  }

  find (instance: string): RegisteredUpstream | undefined {
    return this.byInstance.get(instance)
  }

  /** The last upstream that announced this IP:PORT; empty if there is none. */
  instanceAt (address: string): string {
    return this.byAddress.get(address) ?? ''
  }

  /** Whether an upstream that has not left announced this IP:PORT. */
  isPresent (address: string): boolean {
    return this.find(this.instanceAt(address))?.announced.gone === false
  }

  /** Whether the upstream said that it leaves, or has left. */
  isLeaving (instance: string): boolean {
    const announced = this.find(instance)?.announced
    return announced !== undefined && isLeaving(announced)
  }

  /** Whether an announcement only says again what is known of an upstream that has not left. */
  isRenewal (announced: AnnouncedUpstream): boolean {
    const held = this.find(announced.instance)
    if (held === undefined || this.cold.newsOf(held, announced, this.clock.monotonicMilliseconds()) !== undefined) return false
    const known = held.announced
    return !known.gone && !differs(known, announced) && isNewer(announced, known)
  }

  /**
   * Whether an announcement of no known pool would take out an upstream of a known one, since it has its name or its address. It
   * comes from another writer, and names no upstream to use.
   */
  isForeign ({ instance, pool, address }: AnnouncedUpstream): boolean {
    if (this.isKnownPool(pool)) return false
    const replaced = [this.find(instance), this.find(this.instanceAt(address))]
    return replaced.some((held) => held !== undefined && !held.announced.gone && this.isKnownPool(held.announced.pool))
  }

  /** Applies an announcement; false when its values cannot be right, or a newer one is known for the instance or its address. */
  announce (announced: AnnouncedUpstream): boolean {
    const changed = new Map<string, RegisteredUpstream>()
    const isApplied = this.apply(announced, changed)
    if (changed.size > 0) this.notifyListeners([...changed.values()])
    return isApplied
  }

  /**
   * One start of an upstream has left for good, also of an unknown one: announcements of it that arrive late, or that it goes on
   * sending until it ends, do not count. A call to leave that does not name the start means the known one, or any before now.
   */
  leave (instance: string, born: number | undefined): void {
    const start = born ?? this.find(instance)?.announced.born ?? Math.floor(this.clock.wallMilliseconds())
    this.recordDeparture({ instance, born: start, sequence: LAST_SEQUENCE, gone: true })
  }

  /** Records that one start of an upstream leaves or has left, whether it is known here or not. A later start is not affected. */
  recordDeparture ({ instance, born, sequence, gone }: Departure): void {
    const known = this.find(instance)?.announced
    if (known !== undefined && known.born > born) return
    const departed = known?.born === born
      ? { ...known, draining: true, gone: known.gone || gone, sequence: Math.max(known.sequence, sequence) }
      : { ...(known ?? createTombstone(instance, born)), draining: true, gone: true, born, sequence }
    if (!this.isSound(departed)) return
    const isNews = known === undefined || differs(known, departed)
    const held = this.store(departed)
    if (isNews) this.notifyListeners([held])
  }

  /** Takes out an upstream until it announces itself again, as another one seems to be at its address. */
  takeOut (instance: string): void {
    const known = this.find(instance)?.announced
    if (known === undefined || known.gone) return
    this.notifyListeners([this.store({ ...known, gone: true, sequence: Math.min(known.sequence + 1, LAST_SEQUENCE) })])
  }

  /** Applies the announcements known to another process; upstreams that it does not list are kept. */
  merge (list: readonly AnnouncedUpstream[]): void {
    const changed = new Map<string, RegisteredUpstream>()
    for (const announced of list) this.apply(announced, changed)
    if (changed.size > 0) this.notifyListeners([...changed.values()])
  }

  /** Applies the elements of a list from another process; those that cannot be read or right are passed over. */
  mergeEncoded (list: readonly Uint8Array[]): void {
    this.merge(this.decodeAll(list))
  }

  /** The same for upstreams that another process heard some time ago, so that it may not know yet that one has left. */
  mergeHeard (list: readonly Uint8Array[]): void {
    this.merge(this.decodeAll(list).filter(({ instance }) => this.find(instance)?.announced.gone !== true))
  }

  /** Marks silent upstreams as left where `canExpire` allows it, and returns them. Also deletes old tombstones. */
  expire (silentMilliseconds: number, canExpire: (held: RegisteredUpstream) => boolean): RegisteredUpstream[] {
    const now = this.clock.monotonicMilliseconds()
    const expired: RegisteredUpstream[] = []
    for (const held of this.byInstance.values()) {
      const silent = now - held.heardAt
      if (held.announced.gone && silent > TOMBSTONE_MILLISECONDS) this.delete(held)
      if (held.announced.gone || silent <= silentMilliseconds || !canExpire(held)) continue
      expired.push(this.store({ ...held.announced, gone: true }))
    }
    if (expired.length > 0) this.notifyListeners(expired)
    return expired
  }

  /** Restarts the silence timeout of all upstreams, after a time in which no announcements could arrive. */
  refresh (): void {
    for (const held of this.all()) {
      if (!held.announced.gone) this.byInstance.set(held.announced.instance, { ...held, heardAt: this.clock.monotonicMilliseconds() })
    }
  }

  private decodeAll (list: readonly Uint8Array[]): AnnouncedUpstream[] {
    const readable: AnnouncedUpstream[] = []
    for (const element of list) {
      const decoded = decodeAnnounced(element)
      if (decoded.isOk()) readable.push(decoded.value)
      else this.odd.record('', decoded.error)
    }
    return readable
  }

  /** Applies an announcement and adds the upstreams that changed to `changed`; false when it is odd or a newer one is known. */
  private apply (announced: AnnouncedUpstream, changed: Map<string, RegisteredUpstream>): boolean {
    if (!this.isSound(announced)) return false
    const known = this.byInstance.get(announced.instance)
    const coldNews = this.cold.newsOf(known, announced, this.clock.monotonicMilliseconds())
    if (known !== undefined && !isNewer(announced, known.announced)) {
      this.recordLateDeparture(known.announced, announced)
      return false
    }
    if (!announced.gone && !this.claimAddress(announced, changed)) return false
    const held = this.store(announced, coldNews)
    if (known !== undefined && isLeaving(known.announced) && !isLeaving(announced)) this.logReturn(known.announced, announced)
    if (coldNews === COLD_NEWS.began) this.logCold(announced)
    if (known === undefined || coldNews !== undefined || differs(known.announced, announced)) changed.set(announced.instance, held)
    return true
  }

  /** An upstream that was taken out before it said that it leaves stays out, and its earlier announcements no longer bring it back. */
  private recordLateDeparture (known: AnnouncedUpstream, { born, sequence, draining }: AnnouncedUpstream): void {
    if (known.gone && draining && born === known.born && sequence > known.sequence) this.store({ ...known, sequence })
  }

  private logReturn (before: AnnouncedUpstream, { instance, sequence, born }: AnnouncedUpstream): void {
    this.logger.info('upstream in use again', {
      upstream: instance, sequence, sequenceBefore: before.sequence, hadLeft: before.gone, isRestarted: born !== before.born
    })
  }

  private logCold ({ instance, pool, sequence, warmupMilliseconds }: AnnouncedUpstream): void {
    this.logger.info('upstream became cold again', { upstream: instance, pool, sequence, warmupMilliseconds })
  }

  /** Whether the values can be right; logs it otherwise. */
  private isSound (announced: AnnouncedUpstream): boolean {
    const checked = checkAnnounced(announced)
    if (checked.isErr()) this.odd.record(announced.instance, checked.error)
    return checked.isOk()
  }

  /** Whether the configuration has the pool; before the first one, any may be. */
  private isKnownPool (pool: string): boolean {
    return this.poolNames === undefined || this.poolNames.has(pool)
  }

  /**
   * Assigns the address to the instance that started last, and marks an earlier owner as left; false when a later one owns it. An owner of
   * no known pool gives way.
   */
  private claimAddress (announced: AnnouncedUpstream, changed: Map<string, RegisteredUpstream>): boolean {
    const owner = this.byInstance.get(this.byAddress.get(announced.address) ?? '')
    if (owner !== undefined && owner.announced.instance !== announced.instance && !owner.announced.gone) {
      const isForeignOwner = this.isKnownPool(announced.pool) && !this.isKnownPool(owner.announced.pool)
      if (owner.announced.born > announced.born && !isForeignOwner) return false
      changed.set(owner.announced.instance, this.store({ ...owner.announced, gone: true }))
    }
    this.byAddress.set(announced.address, announced.instance)
    return true
  }

  private store (announced: AnnouncedUpstream, coldNews?: ColdNews): RegisteredUpstream {
    const now = this.clock.monotonicMilliseconds()
    const known = this.byInstance.get(announced.instance)
    const held = { announced, warmupEndsAt: this.cold.endOf(known, announced, now), heardAt: now, ...(coldNews === undefined ? {} : { coldNews }) }
    this.byInstance.set(announced.instance, held)
    if (announced.warmupMilliseconds > 0) this.cold.recordChange()
    if (known === undefined || coldNews !== undefined || differs(known.announced, announced)) this.forgetCaches()
    return held
  }

  private forgetCaches (): void {
    this.cachedDigest = undefined
    this.cachedList = undefined
  }

  private delete (held: RegisteredUpstream): void {
    const { instance, address } = held.announced
    this.byInstance.delete(instance)
    this.forgetCaches()
    if (this.byAddress.get(address) === instance) this.byAddress.delete(address)
  }

  private notifyListeners (changed: readonly RegisteredUpstream[]): void {
    for (const listener of this.listeners) listener(changed)
  }
}

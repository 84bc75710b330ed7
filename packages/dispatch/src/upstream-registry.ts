/** Announced upstreams in the order of their starts, so that late or repeated announcements change nothing. */
import type { AnnouncedUpstream } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'

/** An announced upstream as it is held; times are monotonic milliseconds of this process. */
export interface HeldUpstream {
  readonly announced: AnnouncedUpstream
  readonly warmUntil: number
  readonly heardAt: number
}

/** Calls back with the upstreams that changed. */
export type RegistryListener = (changed: readonly HeldUpstream[]) => void

/** Upstreams that left or were replaced are remembered this long, so that late announcements do not bring them back. */
const REMEMBER_GONE_MILLISECONDS = 60_000

/** What announcements say, by instance. */
export class UpstreamRegistry {
  private readonly byInstance = new Map<string, HeldUpstream>()
  private readonly byAddress = new Map<string, string>()
  private readonly listeners = new Set<RegistryListener>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): UpstreamRegistry {
    return new UpstreamRegistry(clock)
  }

  onChange (listener: RegistryListener): void {
    this.listeners.add(listener)
  }

  /** Upstreams that have not left. */
  present (): HeldUpstream[] {
    return [...this.byInstance.values()].filter((held) => !held.announced.gone)
  }

  /** All that is known, upstreams that left included. */
  everything (): HeldUpstream[] {
    return [...this.byInstance.values()]
  }

  /** All that is known, as it was announced. */
  announcements (): AnnouncedUpstream[] {
    return this.everything().map((held) => held.announced)
  }

  find (instance: string): HeldUpstream | undefined {
    return this.byInstance.get(instance)
  }

  /** Takes an announcement; false when something newer is known. */
  announce (announced: AnnouncedUpstream): boolean {
    const known = this.byInstance.get(announced.instance)
    if (known !== undefined && !isNewer(announced, known.announced)) return false
    const changed: HeldUpstream[] = []
    if (!announced.gone && !this.takeAddress(announced, changed)) return false
    const held = this.hold(announced)
    if (known === undefined || differs(known.announced, announced)) changed.push(held)
    if (changed.length > 0) this.tell(changed)
    return true
  }

  /** Takes note that an upstream leaves now; unknown ones are remembered as well. */
  leave (instance: string, born: number | undefined): void {
    const known = this.byInstance.get(instance)?.announced
    if (known !== undefined && born !== undefined && born < known.born) return
    const announced = known ?? unknownUpstream(instance, born ?? 0)
    const held = this.hold({ ...announced, gone: true, sequence: announced.sequence + 1 })
    this.tell([held])
  }

  /** Replaces what another process knows; upstreams that it does not name are kept. */
  merge (list: readonly AnnouncedUpstream[]): void {
    for (const announced of list) this.announce(announced)
  }

  /** Upstreams not heard of for `silentMilliseconds` for which `mayGo` holds leave; old marks are forgotten. */
  expire (silentMilliseconds: number, mayGo: (held: HeldUpstream) => boolean): HeldUpstream[] {
    const now = this.clock.monotonicMilliseconds()
    const expired: HeldUpstream[] = []
    for (const held of this.byInstance.values()) {
      const silent = now - held.heardAt
      if (held.announced.gone && silent > REMEMBER_GONE_MILLISECONDS) this.forget(held)
      if (held.announced.gone || silent <= silentMilliseconds || !mayGo(held)) continue
      expired.push(this.hold({ ...held.announced, gone: true }))
    }
    if (expired.length > 0) this.tell(expired)
    return expired
  }

  /** Counts all upstreams as heard of now, after a time in which nothing could be heard. */
  refresh (): void {
    for (const held of this.everything()) {
      if (!held.announced.gone) this.byInstance.set(held.announced.instance, { ...held, heardAt: this.clock.monotonicMilliseconds() })
    }
  }

  private takeAddress (announced: AnnouncedUpstream, changed: HeldUpstream[]): boolean {
    const owner = this.byInstance.get(this.byAddress.get(announced.address) ?? '')
    if (owner !== undefined && owner.announced.instance !== announced.instance && !owner.announced.gone) {
      if (owner.announced.born > announced.born) return false
      changed.push(this.hold({ ...owner.announced, gone: true }))
    }
    this.byAddress.set(announced.address, announced.instance)
    return true
  }

  private hold (announced: AnnouncedUpstream): HeldUpstream {
    const now = this.clock.monotonicMilliseconds()
    const held = { announced, warmUntil: now + announced.warmupMilliseconds, heardAt: now }
    this.byInstance.set(announced.instance, held)
    return held
  }

  private forget (held: HeldUpstream): void {
    const { instance, address } = held.announced
    this.byInstance.delete(instance)
    if (this.byAddress.get(address) === instance) this.byAddress.delete(address)
  }

  private tell (changed: readonly HeldUpstream[]): void {
    for (const listener of this.listeners) listener(changed)
  }
}

function isNewer (candidate: AnnouncedUpstream, known: AnnouncedUpstream): boolean {
  if (candidate.born !== known.born) return candidate.born > known.born
  if (known.gone && !candidate.gone && candidate.draining) return false
  return candidate.sequence > known.sequence
}

function differs (left: AnnouncedUpstream, right: AnnouncedUpstream): boolean {
  return left.born !== right.born || left.address !== right.address || left.draining !== right.draining || left.gone !== right.gone ||
    left.slots !== right.slots || left.pool !== right.pool
}

function unknownUpstream (instance: string, born: number): AnnouncedUpstream {
  return {
    instance, pool: '', address: '', zone: '', slots: 0, draining: true, warmupMilliseconds: 0, born, sequence: 0, version: '', gone: true
  }
}

/** Which entries can connect others to upstreams. */
import type { ClientSession } from './client-session.ts'

const RELAYS_EACH = 3

/** Hands out relays in turn, so that they share the work. */
export class RelayDirectory {
  private next = 0

  private constructor (private readonly sessions: () => Iterable<ClientSession>) {}

  static create (sessions: () => Iterable<ClientSession>): RelayDirectory {
    return new RelayDirectory(sessions)
  }

  /** All entries that relay now. */
  available (): ClientSession[] {
    return [...this.sessions()].filter(({ relay, isRelaying }) => relay !== '' && isRelaying)
  }

  /** Some of the available relays, without the client's own. */
  relaysFor (session: ClientSession, available: readonly ClientSession[]): ClientSession[] {
    const relays: ClientSession[] = []
    for (let examined = 0; examined < available.length && relays.length < RELAYS_EACH; examined += 1) {
      this.next = (this.next + 1) % available.length
      const candidate = available[this.next] as ClientSession
      if (candidate !== session) relays.push(candidate)
    }
    return relays
  }
}

/** The clients that are connected to a dispatch service, by name. */
import type { ClientSession } from './client-session.ts'

/** One session for each client: a client that connects again replaces its earlier one. */
export class ClientSessions {
  private readonly byName = new Map<string, ClientSession>()

  static create (): ClientSessions {
    return new ClientSessions()
  }

  /** All sessions. */
  all (): Iterable<ClientSession> {
    return this.byName.values()
  }

  /** Number of connected entries. */
  get entries (): number {
    let count = 0
    for (const { mirror } of this.byName.values()) {
      if (!mirror) count += 1
    }
    return count
  }

  /** Place of each entry in the order of their names, from 0. */
  positions (): Map<string, number> {
    const names = [...this.byName].filter(([, { mirror }]) => !mirror).map(([name]) => name)
    return new Map(names.sort().map((name, position) => [name, position]))
  }

  /** Adds a session and returns the one that it replaces. */
  add (session: ClientSession): ClientSession | undefined {
    const { entry } = session.connection
    const replaced = this.byName.get(entry)
    this.byName.set(entry, session)
    return replaced
  }

  /** Whether this is the client's newest session. */
  isCurrent (session: ClientSession): boolean {
    return this.byName.get(session.connection.entry) === session
  }

  /** Removes a session; false when the client has none or a newer one. */
  remove (session: ClientSession): boolean {
    return this.isCurrent(session) && this.byName.delete(session.connection.entry)
  }

  /** Removes the session of a client and returns it. */
  removeNamed (name: string): ClientSession | undefined {
    const session = this.byName.get(name)
    this.byName.delete(name)
    return session
  }

  /** Sessions from which nothing has arrived since a time in monotonic milliseconds. */
  silentSince (time: number): ClientSession[] {
    return [...this.byName.values()].filter(({ heardAt }) => heardAt < time)
  }

  clear (): void {
    this.byName.clear()
  }
}

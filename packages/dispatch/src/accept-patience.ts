/** How long a client waits until the process of a control VM, whose operating system answered, accepts its connection. */

/** Doubles with each consecutive attempt that was not accepted, as a leader may be busy. */
const ACCEPT_TIMEOUT_MILLISECONDS = 500
const MAXIMUM_ACCEPT_TIMEOUT_MILLISECONDS = 2_000
/** The same time where another control VM named this one as the leader: it accepts all entries in turn, and each new attempt goes to the end. */
const NAMED_ACCEPT_TIMEOUT_MILLISECONDS = 3_000

/** The patience of one client. */
export class AcceptPatience {
  /** Attempts that were not accepted since a leader was last reached. */
  private unacceptedAttempts = 0
  /** The last leader that fell silent, as it may be frozen and still be named. */
  private silentLeader = ''

  static create (): AcceptPatience {
    return new AcceptPatience()
  }

  /** Time for the control VM at this address; `isNamed` tells that another one named it as the leader. */
  timeoutMilliseconds (address: string, isNamed: boolean): number {
    if (isNamed && address !== this.silentLeader) return NAMED_ACCEPT_TIMEOUT_MILLISECONDS
    return Math.min(MAXIMUM_ACCEPT_TIMEOUT_MILLISECONDS, ACCEPT_TIMEOUT_MILLISECONDS * 2 ** this.unacceptedAttempts)
  }

  recordUnaccepted (): void {
    this.unacceptedAttempts += 1
  }

  /** A leader serves the client. */
  recordServed (): void {
    this.unacceptedAttempts = 0
  }

  /** The leader at this address was lost, by its silence or by the end of the connection. */
  recordLost (address: string, wasSilent: boolean): void {
    this.silentLeader = wasSilent ? address : ''
  }
}

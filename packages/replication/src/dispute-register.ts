import type { FileIdentity, IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import type { SettledRecord } from '@hickoryspoke/protocol/generated/command'

/** A file that stands in a dispute, and who sent it when (wall time in milliseconds). */
export interface Candidate {
  readonly state: IdentifiedState
  readonly operator: string
  readonly wallMilliseconds: number
}

/** Files of one number whose contents differ. The first is the one in force. */
export interface Dispute {
  readonly number: number
  readonly candidates: readonly Candidate[]
}

/** Candidates of one dispute that are kept; each may be as large as the file in force. */
export const DISPUTE_CANDIDATES_KEPT = 8

/** Settled disputes that are remembered, so that a resend of a candidate gets a true answer. */
export const SETTLED_DISPUTES_KEPT = 1_000

/** The dispute that stands, if any, and those settled before. */
export class DisputeRegister {
  private standing: Dispute | undefined
  private settledRecords: SettledRecord[] = []

  static create (): DisputeRegister {
    return new DisputeRegister()
  }

  get current (): Dispute | undefined {
    return this.standing
  }

  get settled (): readonly SettledRecord[] {
    return this.settledRecords
  }

  /** Adds a file to the dispute over its number, and opens it against the file in force where it is the first. */
  add (inForce: Candidate, candidate: Candidate): 'added' | 'known' | 'full' {
    const candidates = this.standing?.candidates ?? [inForce]
    if (candidates.some((known) => known.state.identity.digest === candidate.state.identity.digest)) return 'known'
    if (candidates.length >= DISPUTE_CANDIDATES_KEPT) return 'full'
    this.standing = { number: candidate.state.identity.number, candidates: [...candidates, candidate] }
    return 'added'
  }

  find (number: number, digest: string): Candidate | undefined {
    if (this.standing?.number !== number) return undefined
    return this.standing.candidates.find((candidate) => candidate.state.identity.digest === digest)
  }

  /** Closes the dispute that stands. */
  settle (acceptedDigest: string, settledAs: FileIdentity): void {
    if (this.standing === undefined) return
    const digests = this.standing.candidates.map((candidate) => candidate.state.identity.digest)
    this.settledRecords.push({ number: this.standing.number, digests, acceptedDigest, settledAs: { ...settledAs } })
    if (this.settledRecords.length > SETTLED_DISPUTES_KEPT) this.settledRecords.shift()
    this.standing = undefined
  }

  /** The settled dispute in which a file stood. */
  findSettled (number: number, digest?: string): SettledRecord | undefined {
    return this.settledRecords.find((record) => record.number === number && (digest === undefined || record.digests.includes(digest)))
  }

  restore (standing: Dispute | undefined, settled: readonly SettledRecord[]): void {
    this.standing = standing
    this.settledRecords = [...settled]
  }
}

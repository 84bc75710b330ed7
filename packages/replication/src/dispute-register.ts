import type { FileIdentity, IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import type { SettledRecord } from '@hickoryspoke/protocol/generated/command'

/** A file in a dispute, with the operator who sent it and the wall-clock time. */
export interface Candidate {
  readonly state: IdentifiedState
  readonly operator: string
  readonly wallMilliseconds: number
}

/** Files with the same number and different content. The first candidate is the file in force. */
export interface Dispute {
  readonly number: number
  readonly candidates: readonly Candidate[]
}

/** Maximum number of candidates of one dispute. It is small because each may be as large as the file in force. */
export const MAXIMUM_DISPUTE_CANDIDATES = 8

/** Number of settled disputes kept, so that a resent candidate gets a correct answer. */
export const MAXIMUM_SETTLED_DISPUTES = 1_000

/** The open dispute, if any, and those settled before. */
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

  /** Adds a candidate to the open dispute, or opens one against the file in force. */
  add (inForce: Candidate, candidate: Candidate): 'added' | 'known' | 'full' {
    const candidates = this.standing?.candidates ?? [inForce]
    if (candidates.some((known) => known.state.identity.digest === candidate.state.identity.digest)) return 'known'
    if (candidates.length >= MAXIMUM_DISPUTE_CANDIDATES) return 'full'
    this.standing = { number: candidate.state.identity.number, candidates: [...candidates, candidate] }
    return 'added'
  }

  find (number: number, digest: string): Candidate | undefined {
    if (this.standing?.number !== number) return undefined
    return this.standing.candidates.find((candidate) => candidate.state.identity.digest === digest)
  }

  /** Settles the open dispute. */
  settle (acceptedDigest: string, settledAs: FileIdentity): void {
    if (this.standing === undefined) return
    const digests = this.standing.candidates.map((candidate) => candidate.state.identity.digest)
    this.settledRecords.push({ number: this.standing.number, digests, acceptedDigest, settledAs: { ...settledAs } })
    if (this.settledRecords.length > MAXIMUM_SETTLED_DISPUTES) this.settledRecords.shift()
    this.standing = undefined
  }

  /** Finds the settled dispute over a number; with a digest, only one that had a candidate with that digest. */
  findSettled (number: number, digest?: string): SettledRecord | undefined {
    return this.settledRecords.find((record) => record.number === number && (digest === undefined || record.digests.includes(digest)))
  }

  restore (standing: Dispute | undefined, settled: readonly SettledRecord[]): void {
    this.standing = standing
    this.settledRecords = [...settled]
  }
}

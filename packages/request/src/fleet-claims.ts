import { createHash } from 'node:crypto'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import { ClaimState, type ClaimAnswer, type ClaimMessage, type ClaimReply } from '@hickoryspoke/protocol/generated/claim'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { repeatEvery, sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { randomBelow, type RandomSource } from '@hickoryspoke/runtime/random'
import { ClaimCopies } from './claim-copies.ts'
import { ClaimGroups, slotOfClaim, type ClaimGroup } from './claim-groups.ts'
import { ClaimHolder } from './claim-holder.ts'
import { ClaimRecords } from './claim-records.ts'
import { ClaimRound, type RoundResult } from './claim-round.ts'
import { CLAIM_ENROLMENTS, ClaimSeats } from './claim-seats.ts'
import { DEFAULT_CLAIM_SETTINGS, type ClaimSettings } from './claim-settings.ts'
import type { ClaimDecision, ClaimEnd, ClaimQuestion, ClaimStore, ClaimTicket, StoredAnswer } from './collaborators.ts'

/** What the claims of one entry are built from. */
export interface FleetClaimsParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<ClaimMessage>
  readonly epochLease: EpochLease
  /** Names this process, as it reports to control. */
  readonly incarnation: string
  readonly settings?: Partial<ClaimSettings>
}

/** Figures of the claims of one entry. */
export interface ClaimsView {
  readonly records: number
  readonly maximumRecords: number
  readonly storedAnswerBytes: number
  readonly votingSlots: number
  readonly recoveringSlots: number
}

interface OwnClaim {
  readonly claim: string
  readonly claimant: string
  readonly fingerprint: string
}

type ClaimBody = NonNullable<ClaimMessage['body']>
type ClaimHandlers = { [Case in ClaimBody['$case']]: (from: string, value: Extract<ClaimBody, { $case: Case }>['value']) => void }

/** What one try came to; `unsettled` while the group of the slot changes. */
type TryKind = RoundResult['kind'] | 'unsettled'

const DECIDED_BY_OTHERS: ReadonlySet<TryKind> = new Set(['held', 'answered', 'unknown', 'free'])
const FREE: RoundResult = { kind: 'free' }
const NONCE_RANGE = 2 ** 48
const CLAIM_DIGEST_BYTES = 16

/** Claims on Idempotency-Keys, recorded in the memory of majorities of entries. */
export class FleetClaims implements ClaimStore {
  private readonly handlers: ClaimHandlers = {
    ask: (from, ask) => this.holder.receiveAsk(from, ask),
    reply: (from, reply) => this.receiveReply(from, reply),
    close: (_from, close) => this.holder.receiveClose(close),
    copyAsk: (from, ask) => this.copies.receiveAsk(from, ask),
    copyPart: (from, part) => this.copies.receivePart(from, part)
  }

  private readonly settings: ClaimSettings
  private readonly network: PeerNetwork<ClaimMessage>
  private readonly seats: ClaimSeats
  private readonly records: ClaimRecords
  private readonly holder: ClaimHolder
  private readonly copies: ClaimCopies
  private readonly rounds = new Map<string, ClaimRound>()

  private constructor (private readonly parts: FleetClaimsParts) {
    const { clock, network } = parts
    this.settings = { ...DEFAULT_CLAIM_SETTINGS, ...parts.settings }
    this.network = { self: network.self, send: (to, message) => this.send(to, message) }
    this.seats = ClaimSeats.create(clock, this.settings, parts.epochLease, network.self)
    this.records = ClaimRecords.create(this.settings)
    this.holder = ClaimHolder.create(clock, this.network, this.seats, this.records, this.settings.slots)
    this.copies = ClaimCopies.create(clock, this.network, this.seats, this.records)
  }

  static create (parts: FleetClaimsParts): FleetClaims {
    return new FleetClaims(parts)
  }

  /** Takes the membership of a new epoch. A process that is not the one that was enrolled may have voted before it started. */
  applyMembership (membership: EntryMembership): void {
    const self = membership.entries.find((entry) => entry.name === this.network.self)
    const enrolment = self?.incarnation === this.parts.incarnation ? CLAIM_ENROLMENTS.original : CLAIM_ENROLMENTS.restarted
    this.seats.apply(ClaimGroups.create(membership), self === undefined ? CLAIM_ENROLMENTS.absent : enrolment)
  }

  /** Handles a message of another entry. */
  receive (from: string, message: ClaimMessage): void {
    if (message.body === undefined) return
    const handler = this.handlers[message.body.$case] as (from: string, value: unknown) => void
    handler(from, message.body.value)
  }

  /** Copies what is missing and drops what has run out, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.parts
    await Promise.all([
      repeatEvery(clock, this.settings.copyRetryMilliseconds, signal, () => this.copies.askAgain()),
      repeatEvery(clock, this.settings.sweepMilliseconds, signal, () => this.records.sweep(clock.monotonicMilliseconds()))
    ])
  }

  /** Whether claims on all keys can be decided here, with no change of holders under way. */
  isReady (): boolean {
    return this.seats.epoch > 0 && this.seats.isSettledEverywhere()
  }

  view (): ClaimsView {
    return {
      records: this.records.size,
      maximumRecords: this.settings.maximumRecords,
      storedAnswerBytes: this.records.storedAnswerBytes,
      votingSlots: this.seats.votingSlots(),
      recoveringSlots: this.seats.recoveringSlots()
    }
  }

  /** Claims a key for one copy of a request. Only `granted` lets it run; it is given to one copy at most. */
  async claim (question: ClaimQuestion): Promise<ClaimDecision> {
    const claim = claimOf(question)
    const giveUpAt = this.parts.clock.monotonicMilliseconds() + this.settings.waitForFirstMilliseconds
    let seen: TryKind | undefined
    for (;;) {
      const outcome = await this.claimOnce(claim, question, seen !== undefined)
      if (outcome.decision !== undefined) return outcome.decision
      seen = outcome.kind
      const pause = this.settings.probeMilliseconds * (0.5 + this.parts.random.next())
      const isOver = this.parts.clock.monotonicMilliseconds() + pause > giveUpAt || question.signal.aborted
      if (isOver || seen === 'unavailable') return { kind: DECIDED_BY_OTHERS.has(seen) ? 'conflict' : 'unavailable' }
      await sleep(this.parts.clock, pause, question.signal)
    }
  }

  private async claimOnce (claim: string, question: ClaimQuestion, probesFirst: boolean): Promise<{ kind: TryKind, decision?: ClaimDecision }> {
    const slot = slotOfClaim(claim, this.settings.slots)
    const group = this.seats.groupOf(slot)
    if (group === undefined || group.members.length === 0 || !this.seats.isLeaseValid()) return { kind: 'unavailable' }
    if (!this.seats.isSettled(slot)) return { kind: 'unsettled' }
    const probe = probesFirst ? await this.round(claim, group, question, true) : FREE
    if (probe.kind !== 'free') return { kind: probe.kind, decision: decisionOf(probe) }
    const claimant = `${this.network.self}/${randomBelow(this.parts.random, NONCE_RANGE)}`
    const result = await this.round(claim, group, question, false, claimant)
    if (result.kind === 'majority' && this.seats.isSettled(slot) && this.seats.groupOf(slot)?.digest === group.digest) {
      return { kind: 'majority', decision: { kind: 'granted', ticket: this.ticket({ claim, claimant, fingerprint: question.fingerprint }, group) } }
    }
    this.close({ claim, claimant, fingerprint: question.fingerprint }, group, ClaimState.CLAIM_STATE_RELEASED)
    return { kind: result.kind === 'majority' ? 'held' : result.kind, decision: decisionOf(result) }
  }

  private async round (claim: string, group: ClaimGroup, question: ClaimQuestion, probe: boolean, claimant = this.newProbe()): Promise<RoundResult> {
    const ask = { group: group.digest, claim, fingerprint: question.fingerprint, claimant, probe }
    const round = ClaimRound.create(this.parts.clock, this.network, this.settings, group, ask)
    this.rounds.set(claimant, round)
    const result = await round.run()
    this.rounds.delete(claimant)
    return result
  }

  private ticket (own: OwnClaim, group: ClaimGroup): ClaimTicket {
    const states: Record<ClaimEnd['kind'], ClaimState> = {
      answered: ClaimState.CLAIM_STATE_ANSWERED,
      not_run: ClaimState.CLAIM_STATE_RELEASED,
      unknown: ClaimState.CLAIM_STATE_UNKNOWN
    }
    return {
      finish: (end) => this.close(own, group, states[end.kind], end.kind === 'answered' ? toMessage(end.answer) : undefined)
    }
  }

  private close (own: OwnClaim, group: ClaimGroup, state: ClaimState, answer?: ClaimAnswer): void {
    for (const member of group.members) {
      this.network.send(member, { body: { $case: 'close', value: { ...own, state, answer } } })
    }
  }

  private receiveReply (from: string, reply: ClaimReply): void {
    this.rounds.get(reply.claimant)?.receive(from, reply)
  }

  private send (to: string, message: ClaimMessage): void {
    if (to === this.network.self) this.receive(to, message)
    else this.parts.network.send(to, message)
  }

  private newProbe (): string {
    return `${this.network.self}?${randomBelow(this.parts.random, NONCE_RANGE)}`
  }
}

/** The name of a claim: a digest of customer and key, so that no message shows the key. */
function claimOf (question: ClaimQuestion): string {
  const digest = createHash('sha256').update(`${question.customer}\u0000${question.idempotencyKey}`).digest()
  return digest.toString('base64url', 0, CLAIM_DIGEST_BYTES)
}

function decisionOf (result: RoundResult): ClaimDecision | undefined {
  if (result.kind === 'answered') return result.answer === undefined ? { kind: 'conflict' } : { kind: 'stored', answer: fromMessage(result.answer) }
  if (result.kind === 'unknown') return { kind: 'conflict' }
  if (result.kind === 'content_differs') return { kind: 'content_differs' }
  return undefined
}

function toMessage (answer: StoredAnswer | undefined): ClaimAnswer | undefined {
  return answer === undefined ? undefined : { status: answer.status, headers: [...answer.headers], body: answer.body }
}

function fromMessage (answer: ClaimAnswer): StoredAnswer {
  return { status: answer.status, headers: answer.headers, body: Buffer.from(answer.body) }
}

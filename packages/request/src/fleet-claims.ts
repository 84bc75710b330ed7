import { createHash } from 'node:crypto'
import type { EpochLease } from '@hickoryspoke/membership/epoch-lease'
import { ClaimState, type ClaimAnswer, type ClaimMessage, type ClaimReply } from '@hickoryspoke/protocol/generated/claim'
import type { EntryMembership } from '@hickoryspoke/protocol/generated/distribution'
import { repeatEvery, sleep, type Clock } from '@hickoryspoke/runtime/clock'
import type { PeerNetwork } from '@hickoryspoke/runtime/network'
import { randomBelow, type RandomSource } from '@hickoryspoke/runtime/random'
import { PROCESS_ENROLMENTS, ClaimGroupMemberships } from './claim-group-memberships.ts'
import { ClaimGroups, slotOfClaim, type ClaimGroup } from './claim-groups.ts'
import { ClaimHolder } from './claim-holder.ts'
import { ClaimRecordCopier } from './claim-record-copier.ts'
import { ClaimRecords } from './claim-records.ts'
import { ClaimRound, type RoundResult } from './claim-round.ts'
import { DEFAULT_CLAIM_SETTINGS, type ClaimSettings } from './claim-settings.ts'
import type { ClaimDecision, ClaimEnd, ClaimRequest, ClaimStore, ClaimTicket, StoredResponse } from './collaborators.ts'

/** Dependencies of the claims of one entry. */
export interface FleetClaimsOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: PeerNetwork<ClaimMessage>
  readonly epochLease: EpochLease
  /** Identifier of this process, as reported to control. */
  readonly incarnation: string
  readonly settings?: Partial<ClaimSettings>
}

/** Statistics of the claims of one entry. */
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

/** Outcome of one try to claim a key. `unsettled` means that the group of the slot is changing. */
type ClaimTryKind = RoundResult['kind'] | 'unsettled'

const CONFLICT_KINDS: ReadonlySet<ClaimTryKind> = new Set(['held', 'answered', 'unknown', 'free'])
const FREE: RoundResult = { kind: 'free' }
const NONCE_RANGE = 2 ** 48
const CLAIM_DIGEST_BYTES = 16

/** Claims on Idempotency-Keys, replicated in the memory of a majority of each slot's group. */
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
  private readonly memberships: ClaimGroupMemberships
  private readonly records: ClaimRecords
  private readonly holder: ClaimHolder
  private readonly copies: ClaimRecordCopier
  private readonly rounds = new Map<string, ClaimRound>()

  private constructor (private readonly options: FleetClaimsOptions) {
    const { clock, network } = options
    this.settings = { ...DEFAULT_CLAIM_SETTINGS, ...options.settings }
    this.network = { self: network.self, send: (to, message) => this.send(to, message) }
    this.memberships = ClaimGroupMemberships.create(clock, this.settings, options.epochLease, network.self)
    this.records = ClaimRecords.create(this.settings)
    this.holder = ClaimHolder.create(clock, this.network, this.memberships, this.records, this.settings.slots)
    this.copies = ClaimRecordCopier.create(clock, this.network, this.memberships, this.records)
  }

  static create (options: FleetClaimsOptions): FleetClaims {
    return new FleetClaims(options)
  }

  /**
   * Applies the membership of a new epoch. If this process is not the enrolled one, an earlier process of this entry
   * may have voted, and its records are lost.
   */
  applyMembership (membership: EntryMembership): void {
    const self = membership.entries.find((entry) => entry.name === this.network.self)
    const enrolment = self?.incarnation === this.options.incarnation ? PROCESS_ENROLMENTS.original : PROCESS_ENROLMENTS.restarted
    this.memberships.apply(ClaimGroups.create(membership), self === undefined ? PROCESS_ENROLMENTS.absent : enrolment)
  }

  /** Handles a message from another entry. */
  receive (from: string, message: ClaimMessage): void {
    if (message.body === undefined) return
    const handler = this.handlers[message.body.$case] as (from: string, value: unknown) => void
    handler(from, message.body.value)
  }

  /** Requests missing copies and removes expired records periodically, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    await Promise.all([
      repeatEvery(clock, this.settings.copyRetryMilliseconds, signal, () => this.copies.requestCopies()),
      repeatEvery(clock, this.settings.sweepMilliseconds, signal, () => this.records.sweep(clock.monotonicMilliseconds()))
    ])
  }

  /** Whether claims on all keys can be decided here, with no change of groups in progress. */
  isReady (): boolean {
    return this.memberships.epoch > 0 && this.memberships.isSettledEverywhere()
  }

  view (): ClaimsView {
    return {
      records: this.records.size,
      maximumRecords: this.settings.maximumRecords,
      storedAnswerBytes: this.records.storedAnswerBytes,
      votingSlots: this.memberships.votingSlots(),
      recoveringSlots: this.memberships.recoveringSlots()
    }
  }

  /** Claims a key for one of several duplicate requests. At most one of them gets `granted` and may run. */
  async claim (question: ClaimRequest): Promise<ClaimDecision> {
    const claim = claimIdentifier(question)
    const waitUntil = this.options.clock.monotonicMilliseconds() + this.settings.waitForFirstMilliseconds
    let lastKind: ClaimTryKind | undefined
    for (;;) {
      const outcome = await this.tryClaim(claim, question, lastKind !== undefined)
      if (outcome.decision !== undefined) return outcome.decision
      lastKind = outcome.kind
      const pause = this.settings.probeMilliseconds * (0.5 + this.options.random.next())
      const isOver = this.options.clock.monotonicMilliseconds() + pause > waitUntil || question.signal.aborted
      if (isOver || lastKind === 'unavailable') return { kind: CONFLICT_KINDS.has(lastKind) ? 'conflict' : 'unavailable' }
      await sleep(this.options.clock, pause, question.signal)
    }
  }

  private async tryClaim (claim: string, question: ClaimRequest, probesFirst: boolean): Promise<{ kind: ClaimTryKind, decision?: ClaimDecision }> {
    const slot = slotOfClaim(claim, this.settings.slots)
    const group = this.memberships.groupOf(slot)
    if (group === undefined || group.members.length === 0 || !this.memberships.isLeaseValid()) return { kind: 'unavailable' }
    if (!this.memberships.isSettled(slot)) return { kind: 'unsettled' }
    const probe = probesFirst ? await this.round(claim, group, question, true) : FREE
    if (probe.kind !== 'free') return { kind: probe.kind, decision: decisionOf(probe) }
    const claimant = `${this.network.self}/${randomBelow(this.options.random, NONCE_RANGE)}`
    const result = await this.round(claim, group, question, false, claimant)
    if (result.kind === 'majority' && this.memberships.isSettled(slot) && this.memberships.groupOf(slot)?.digest === group.digest) {
      return { kind: 'majority', decision: { kind: 'granted', ticket: this.ticket({ claim, claimant, fingerprint: question.fingerprint }, group) } }
    }
    this.close({ claim, claimant, fingerprint: question.fingerprint }, group, ClaimState.CLAIM_STATE_RELEASED)
    return { kind: result.kind === 'majority' ? 'held' : result.kind, decision: decisionOf(result) }
  }

  private async round (claim: string, group: ClaimGroup, question: ClaimRequest, probe: boolean, claimant = this.newProbeClaimant()): Promise<RoundResult> {
    const ask = { group: group.digest, claim, fingerprint: question.fingerprint, claimant, probe }
    const round = ClaimRound.create(this.options.clock, this.network, this.settings, group, ask)
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
    else this.options.network.send(to, message)
  }

  private newProbeClaimant (): string {
    return `${this.network.self}?${randomBelow(this.options.random, NONCE_RANGE)}`
  }
}

/** Identifies a claim by a digest of customer and key, so that messages do not reveal the key. */
function claimIdentifier (question: ClaimRequest): string {
  const digest = createHash('sha256').update(`${question.customer}\u0000${question.idempotencyKey}`).digest()
  return digest.toString('base64url', 0, CLAIM_DIGEST_BYTES)
}

function decisionOf (result: RoundResult): ClaimDecision | undefined {
  if (result.kind === 'answered') return result.answer === undefined ? { kind: 'conflict' } : { kind: 'stored', answer: fromMessage(result.answer) }
  if (result.kind === 'unknown') return { kind: 'conflict' }
  if (result.kind === 'content_differs') return { kind: 'content_differs' }
  return undefined
}

function toMessage (answer: StoredResponse | undefined): ClaimAnswer | undefined {
  return answer === undefined ? undefined : { status: answer.status, headers: [...answer.headers], body: answer.body }
}

function fromMessage (answer: ClaimAnswer): StoredResponse {
  return { status: answer.status, headers: answer.headers, body: Buffer.from(answer.body) }
}

import type { AuditEvent, AuditKind } from '@hickoryspoke/configuration/audit-chain'
import { differenceBetween, summarizeDifference, withdrawsAccess } from '@hickoryspoke/configuration/difference'
import { IdentifiedState, type FileIdentity } from '@hickoryspoke/configuration/identified-state'
import { applyDifference, decodeDifference, decodeState, encodeState } from '@hickoryspoke/configuration/state-codec'
import {
  AcceptedStateSnapshot, ControlAnswer, ControlCommand, MembershipOutcome,
  type ApplyCommand, type DecideCommand, type DisputeRecord, type EstablishCommand, type MembershipCommand, type RefusalCommand
} from '@hickoryspoke/protocol/generated/command'
import { ApplyOutcome } from '@hickoryspoke/protocol/generated/operator'
import { AcceptedHistory } from './accepted-history.ts'
import { EnrolledEntries } from './enrolled-entries.ts'
import { evaluateIdentity, verdict, type Verdict } from './accepted-state-rules.ts'
import { AuditTrail } from './audit-trail.ts'
import { DisputeRegister, type Candidate } from './dispute-register.ts'

/** Role that may decide disputes and force membership changes. */
export const AUTHORITY_ROLE = 'authority'

const NOT_THE_AUTHORITY = verdict(ApplyOutcome.APPLY_OUTCOME_FORBIDDEN, 'only the authority decides')
const NO_SUCH_CANDIDATE = verdict(ApplyOutcome.APPLY_OUTCOME_UNKNOWN_DISPUTE, 'no such candidate waits')
const NEEDS_WHOLE = verdict(ApplyOutcome.APPLY_OUTCOME_NEEDS_WHOLE, 'the difference does not fit the file in force')

type CommandBody = NonNullable<ControlCommand['body']>
type Handlers = { readonly [Case in CommandBody['$case']]: (value: Extract<CommandBody, { $case: Case }>['value'], command: ControlCommand) => ControlAnswer }

/**
 * State machine of the control VMs: the accepted file, disputes, the enrolled entries and the audit trail.
 * It is deterministic: the same commands in the same order give the same answers and snapshots on every replica.
 */
export class AcceptedState {
  readonly history = AcceptedHistory.create()
  readonly disputes = DisputeRegister.create()
  readonly entries = EnrolledEntries.create()
  readonly audit = AuditTrail.create()
  private current: IdentifiedState | undefined
  private readonly listeners = new Set<() => void>()

  private readonly handlers: Handlers = {
    apply: (value, command) => this.applyFile(value, command),
    decide: (value, command) => this.decide(value, command),
    membership: (value, command) => this.changeMembership(value, command),
    establish: (value) => this.establish(value),
    refusal: (value, command) => this.recordRefusal(value, command)
  }

  static create (): AcceptedState {
    return new AcceptedState()
  }

  /** The file in force; undefined before the first file is accepted. */
  get accepted (): IdentifiedState | undefined {
    return this.current
  }

  /** Applies one committed command and returns the encoded `ControlAnswer`. */
  apply (_index: number, command: Uint8Array): Uint8Array {
    const decoded = ControlCommand.decode(command)
    if (decoded.body === undefined) return ControlAnswer.encode({ body: undefined }).finish()
    const handle = this.handlers[decoded.body.$case] as (value: unknown, command: ControlCommand) => ControlAnswer
    const answer = ControlAnswer.encode(handle(decoded.body.value, decoded)).finish()
    this.notify()
    return answer
  }

  snapshot (): Uint8Array {
    return AcceptedStateSnapshot.encode({
      accepted: this.current === undefined ? Buffer.alloc(0) : encodeState(this.current),
      history: this.history.snapshot(),
      dispute: this.disputeRecord(),
      settled: [...this.disputes.settled],
      audit: this.audit.snapshot(),
      membership: this.entries.snapshot()
    }).finish()
  }

  restore (bytes: Uint8Array): void {
    const snapshot = AcceptedStateSnapshot.decode(bytes)
    this.history.restore(snapshot.history)
    const last = this.history.last()
    this.current = last === undefined ? undefined : decodeState(snapshot.accepted, last).unwrap()
    this.disputes.restore(decodeDispute(snapshot.dispute), snapshot.settled)
    if (snapshot.audit !== undefined) this.audit.restore(snapshot.audit)
    this.entries.restore(snapshot.membership)
    this.notify()
  }

  /** Calls `listener` after each command and each restored snapshot. Returns a function that unsubscribes it. */
  onChange (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  private notify (): void {
    for (const listener of [...this.listeners]) listener()
  }

  private applyFile (request: ApplyCommand, command: ControlCommand): ControlAnswer {
    const identity: FileIdentity = request.identity ?? { number: 0, digest: '' }
    const result = evaluateIdentity({ accepted: this.current, history: this.history, disputes: this.disputes }, identity, request.basedOn)
    if (typeof result === 'object') return this.refuse(result, identity, command)
    const state = this.decodeCandidate(request, identity)
    if (state === undefined) return this.answer(NEEDS_WHOLE, identity)
    const candidate = { state, operator: command.operator, wallMilliseconds: command.wallMilliseconds }
    return result === 'candidate' ? this.addCandidate(candidate, command) : this.accept(candidate, command)
  }

  private accept (candidate: Candidate, command: ControlCommand): ControlAnswer {
    const result = verdict(ApplyOutcome.APPLY_OUTCOME_ACCEPTED, 'in force')
    this.record('accepted', result, command, candidate.state)
    this.putInForce(candidate.state, command)
    return this.answer(result, candidate.state.identity)
  }

  private addCandidate (candidate: Candidate, command: ControlCommand): ControlAnswer {
    const { identity } = candidate.state
    const inForce = this.candidateInForce()
    if (inForce === undefined) return this.refuse(verdict(ApplyOutcome.APPLY_OUTCOME_INVALID, 'numbers start at 1'), identity, command)
    const added = this.disputes.add(inForce, candidate)
    const message = `number ${identity.number} is in force with other content; the authority decides`
    const result = verdict(ApplyOutcome.APPLY_OUTCOME_DISPUTE, message, added === 'known')
    if (!result.isResend) this.record('dispute', result, command, candidate.state)
    return this.answer(result, identity)
  }

  private decide (request: DecideCommand, command: ControlCommand): ControlAnswer {
    const identity = { number: request.number, digest: request.digest }
    if (command.role !== AUTHORITY_ROLE) return this.refuse(NOT_THE_AUTHORITY, identity, command)
    const settled = this.disputes.findSettled(request.number)
    if (settled !== undefined) return this.answerSettled(settled.acceptedDigest, settled.settledAs, identity)
    const candidate = this.disputes.find(request.number, request.digest)
    if (candidate === undefined) return this.refuse(NO_SUCH_CANDIDATE, identity, command)
    const state = candidate.state.renumber(request.number + 1)
    const result = verdict(ApplyOutcome.APPLY_OUTCOME_ACCEPTED, `decided; in force as number ${state.identity.number}`)
    this.record('decided', result, command, state, { candidate: request.digest })
    this.disputes.settle(request.digest, state.identity)
    this.putInForce(state, command)
    return this.answer(result, state.identity)
  }

  private answerSettled (acceptedDigest: string, settledAs: FileIdentity | undefined, requested: FileIdentity): ControlAnswer {
    const isSame = acceptedDigest === requested.digest
    const outcome = isSame ? ApplyOutcome.APPLY_OUTCOME_ACCEPTED : ApplyOutcome.APPLY_OUTCOME_LOST_RACE
    return this.answer(verdict(outcome, `settled before as number ${settledAs?.number ?? 0}`, true), isSame && settledAs !== undefined ? settledAs : requested)
  }

  private changeMembership (request: MembershipCommand, command: ControlCommand): ControlAnswer {
    const outcome = this.evaluateMembershipChange(request, command)
    if (outcome === MembershipOutcome.MEMBERSHIP_OUTCOME_CHANGED) {
      this.entries.applyChange(request.put, request.remove, request.forced)
      const details = { epoch: this.entries.epoch, put: request.put.map((entry) => entry.name), removed: request.remove }
      this.audit.append({ ...auditEventOf('membership', request.forced ? 'forced' : 'changed', command), details })
    }
    return { body: { $case: 'membership', value: { outcome, epoch: this.entries.epoch } } }
  }

  private evaluateMembershipChange (request: MembershipCommand, command: ControlCommand): MembershipOutcome {
    if (request.forced && command.role !== AUTHORITY_ROLE) return MembershipOutcome.MEMBERSHIP_OUTCOME_FORBIDDEN
    if (!this.entries.hasEffect(request.put, request.remove)) return MembershipOutcome.MEMBERSHIP_OUTCOME_UNCHANGED
    if (request.forced) return MembershipOutcome.MEMBERSHIP_OUTCOME_CHANGED
    const expected = request.expectedConfiguration
    const isExpected = request.expectedEpoch === this.entries.epoch && expected?.number === (this.current?.identity.number ?? 0)
    if (!isExpected) return MembershipOutcome.MEMBERSHIP_OUTCOME_LOST_RACE
    if (this.entries.establishedEpoch !== this.entries.epoch) return MembershipOutcome.MEMBERSHIP_OUTCOME_NOT_ESTABLISHED
    return MembershipOutcome.MEMBERSHIP_OUTCOME_CHANGED
  }

  private establish (request: EstablishCommand): ControlAnswer {
    const isNew = this.entries.establish(request.epoch)
    const outcome = isNew ? MembershipOutcome.MEMBERSHIP_OUTCOME_CHANGED : MembershipOutcome.MEMBERSHIP_OUTCOME_UNCHANGED
    return { body: { $case: 'membership', value: { outcome, epoch: this.entries.epoch } } }
  }

  private recordRefusal (request: RefusalCommand, command: ControlCommand): ControlAnswer {
    const result = verdict(request.outcome, request.issues.join('; '))
    this.audit.append({ ...auditEventOf('refused', outcomeName(request.outcome), command), details: { issues: request.issues } })
    return this.answer(result, undefined)
  }

  /** Answers a file or decision that changes nothing. Audits it as refused, unless it is a resend. */
  private refuse (result: Verdict, identity: FileIdentity, command: ControlCommand): ControlAnswer {
    if (!result.isResend) this.audit.append({ ...auditEventOf('refused', outcomeName(result.outcome), command), identity })
    return this.answer(result, identity)
  }

  private record (kind: AuditKind, result: Verdict, command: ControlCommand, state: IdentifiedState, details?: AuditEvent['details']): void {
    const before = this.current ?? IdentifiedState.empty()
    const difference = summarizeDifference(before, differenceBetween(before, state))
    this.audit.append({ ...auditEventOf(kind, outcomeName(result.outcome), command), identity: state.identity, difference, details })
  }

  private putInForce (state: IdentifiedState, { operator, wallMilliseconds }: ControlCommand): void {
    const before = this.current ?? IdentifiedState.empty()
    const withdraws = withdrawsAccess(before, differenceBetween(before, state))
    this.current = state
    this.history.add({ ...state.identity, operator, wallMilliseconds, withdraws })
  }

  private candidateInForce (): Candidate | undefined {
    const record = this.history.last()
    if (this.current === undefined || record === undefined) return undefined
    return { state: this.current, operator: record.operator, wallMilliseconds: record.wallMilliseconds }
  }

  private decodeCandidate (request: ApplyCommand, identity: FileIdentity): IdentifiedState | undefined {
    if (request.whole.length > 0) return decodeState(request.whole, identity).unwrapOr(undefined)
    if (this.current?.identity.digest !== request.differenceFrom?.digest || this.current === undefined) return undefined
    const before = this.current
    return decodeDifference(request.difference).andThen((difference) => applyDifference(before, difference, identity)).unwrapOr(undefined)
  }

  private answer (result: Verdict, identity: FileIdentity | undefined): ControlAnswer {
    const { outcome, message } = result
    return { body: { $case: 'apply', value: { outcome, identity, accepted: this.current?.identity, issues: [], message, leader: '' } } }
  }

  private disputeRecord (): DisputeRecord | undefined {
    const dispute = this.disputes.current
    if (dispute === undefined) return undefined
    return {
      number: dispute.number,
      candidates: dispute.candidates.map(({ state, operator, wallMilliseconds }) => ({
        identity: state.identity, operator, wallMilliseconds, whole: encodeState(state)
      }))
    }
  }
}

function decodeDispute (record: DisputeRecord | undefined): { number: number, candidates: Candidate[] } | undefined {
  if (record === undefined) return undefined
  const candidates = record.candidates.map(({ identity, operator, wallMilliseconds, whole }) => ({
    state: decodeState(whole, identity ?? { number: 0, digest: '' }).unwrap(), operator, wallMilliseconds
  }))
  return { number: record.number, candidates }
}

function auditEventOf (kind: AuditKind, outcome: string, command: ControlCommand): AuditEvent {
  return { kind, outcome, operator: command.operator, role: command.role, time: new Date(command.wallMilliseconds).toISOString() }
}

function outcomeName (outcome: ApplyOutcome): string {
  return ApplyOutcome[outcome].replace('APPLY_OUTCOME_', '').toLowerCase()
}

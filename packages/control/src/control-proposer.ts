import { parseDesiredState, validateDesiredState, type DesiredState } from '@hickoryspoke/configuration/desired-state'
import { differenceBetween } from '@hickoryspoke/configuration/difference'
import { IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import { encodeDifference, encodeState } from '@hickoryspoke/configuration/state-codec'
import {
  ControlAnswer, ControlCommand, MembershipOutcome,
  type ApplyCommand, type MembershipAnswer, type MembershipCommand
} from '@hickoryspoke/protocol/generated/command'
import { ApplyOutcome, type ApplyAnswer } from '@hickoryspoke/protocol/generated/operator'
import type { AcceptedState } from '@hickoryspoke/replication/accepted-state'
import type { ReplicatedLog } from '@hickoryspoke/replication/replicated-log'
import type { ReplicationFailure } from '@hickoryspoke/replication/replication-failure'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { describeError, InvalidInput, type Issue } from '@hickoryspoke/runtime/failure'
import { Err, Ok, type Result } from 'ts-results-es'
import type { OperatorToken } from './operator-tokens.ts'

/** Who proposes a command, as recorded in the audit trail. */
export type Proposer = Pick<OperatorToken, 'name'> & { readonly role: string }

const CONTROL_PROPOSER: Proposer = { name: 'control', role: 'control' }

const EMPTY_BYTES = Buffer.alloc(0)

const OUTCOME_BY_FAILURE: Record<ReplicationFailure['code'], ApplyOutcome> = {
  not_leader: ApplyOutcome.APPLY_OUTCOME_NOT_LEADER,
  proposal_not_confirmed: ApplyOutcome.APPLY_OUTCOME_NOT_CONFIRMED,
  replica_stopped: ApplyOutcome.APPLY_OUTCOME_NOT_CONFIRMED,
  command_too_large: ApplyOutcome.APPLY_OUTCOME_INVALID,
  too_many_proposals: ApplyOutcome.APPLY_OUTCOME_NOT_CONFIRMED
}

/** Dependencies of a `ControlProposer`. `addressOf` returns the HOST:PORT of a control VM by name. */
export interface ControlProposerOptions {
  readonly log: ReplicatedLog
  readonly state: AcceptedState
  readonly clock: Clock
  readonly addressOf: (name: string) => string | undefined
}

/** Encodes commands, proposes them to the replicated log and decodes the answers. */
export class ControlProposer {
  private constructor (private readonly options: ControlProposerOptions) {}

  static create (options: ControlProposerOptions): ControlProposer {
    return new ControlProposer(options)
  }

  /** HOST:PORT of the leader; empty when unknown. */
  leaderAddress (): string {
    const leader = this.options.log.leader()
    return leader === undefined ? '' : this.options.addressOf(leader) ?? ''
  }

  /** Applies a desired-state file in TOML. */
  async applyFile (file: string, proposer: Proposer): Promise<ApplyAnswer> {
    return await this.applyParsed(parseDesiredState(file), proposer)
  }

  /** Applies a desired state that the client parsed and sent as JSON. */
  async applyState (state: Uint8Array, proposer: Proposer): Promise<ApplyAnswer> {
    return await this.applyParsed(parseState(state), proposer)
  }

  private async applyParsed (parsed: Result<DesiredState, InvalidInput>, proposer: Proposer): Promise<ApplyAnswer> {
    if (parsed.isErr()) return await this.refuseInvalid(parsed.error, proposer)
    const candidate = await IdentifiedState.createInBatches(parsed.value)
    const basedOn = parsed.value.based_on
    const answer = await this.proposeFile(this.smallestCommand(candidate, basedOn), proposer)
    if (answer.outcome !== ApplyOutcome.APPLY_OUTCOME_NEEDS_WHOLE) return answer
    return await this.proposeFile(wholeCommand(candidate, basedOn), proposer)
  }

  /** Decides a dispute. */
  async decide (number: number, digest: string, proposer: Proposer): Promise<ApplyAnswer> {
    const answer = await this.propose({ $case: 'decide', value: { number, digest } }, proposer)
    return this.readApplyAnswer(answer)
  }

  /** Changes the set of enrolled entries. */
  async changeMembership (command: MembershipCommand, proposer: Proposer = CONTROL_PROPOSER): Promise<Result<MembershipAnswer, ReplicationFailure>> {
    return (await this.propose({ $case: 'membership', value: command }, proposer)).map(readMembershipAnswer)
  }

  /** Records that an epoch is established. */
  async establish (epoch: number): Promise<Result<MembershipAnswer, ReplicationFailure>> {
    return (await this.propose({ $case: 'establish', value: { epoch } }, CONTROL_PROPOSER)).map(readMembershipAnswer)
  }

  /** Records the refusal of an invalid file in the audit trail, and returns its issues. */
  private async refuseInvalid (error: InvalidInput, proposer: Proposer): Promise<ApplyAnswer> {
    const issues = error.issues.map(toIssueMessage)
    const outcome = ApplyOutcome.APPLY_OUTCOME_INVALID
    const texts = issues.map((issue) => `${issue.path}: ${issue.code}`)
    await this.propose({ $case: 'refusal', value: { outcome, issues: texts } }, proposer)
    return { ...this.emptyAnswer(outcome, 'the file is not valid'), issues }
  }

  /** Encodes the candidate as a difference to the accepted state, or whole if there is none. */
  private smallestCommand (candidate: IdentifiedState, basedOn: number | undefined): ApplyCommand {
    const { accepted } = this.options.state
    if (accepted === undefined) return wholeCommand(candidate, basedOn)
    const difference = encodeDifference(differenceBetween(accepted, candidate))
    return { identity: candidate.identity, basedOn, whole: EMPTY_BYTES, difference, differenceFrom: accepted.identity }
  }

  private async proposeFile (command: ApplyCommand, proposer: Proposer): Promise<ApplyAnswer> {
    return this.readApplyAnswer(await this.propose({ $case: 'apply', value: command }, proposer))
  }

  private async propose (body: ControlCommand['body'], proposer: Proposer): Promise<Result<ControlAnswer, ReplicationFailure>> {
    const wallMilliseconds = Math.round(this.options.clock.wallMilliseconds())
    const command = ControlCommand.encode({ operator: proposer.name, role: proposer.role, wallMilliseconds, body }).finish()
    const answer = await this.options.log.propose(command)
    return answer.isErr() ? Err(answer.error) : Ok(ControlAnswer.decode(answer.value))
  }

  private readApplyAnswer (answer: Result<ControlAnswer, ReplicationFailure>): ApplyAnswer {
    if (answer.isErr()) return this.emptyAnswer(OUTCOME_BY_FAILURE[answer.error.code], answer.error.message)
    const { body } = answer.value
    return body?.$case === 'apply' ? body.value : this.emptyAnswer(ApplyOutcome.APPLY_OUTCOME_NOT_CONFIRMED, 'no answer to a file')
  }

  private emptyAnswer (outcome: ApplyOutcome, message: string): ApplyAnswer {
    return { outcome, identity: undefined, accepted: this.options.state.accepted?.identity, issues: [], message, leader: this.leaderAddress() }
  }
}

function parseState (state: Uint8Array): Result<DesiredState, InvalidInput> {
  try {
    return validateDesiredState(JSON.parse(Buffer.from(state).toString('utf8')))
  } catch (thrown) {
    return Err(InvalidInput.create([{ code: 'invalid_json', path: [], message: describeError(thrown) }]))
  }
}

function wholeCommand (candidate: IdentifiedState, basedOn: number | undefined): ApplyCommand {
  return { identity: candidate.identity, basedOn, whole: encodeState(candidate), difference: EMPTY_BYTES, differenceFrom: undefined }
}

function readMembershipAnswer (answer: ControlAnswer): MembershipAnswer {
  const { body } = answer
  return body?.$case === 'membership' ? body.value : { outcome: MembershipOutcome.MEMBERSHIP_OUTCOME_UNSPECIFIED, epoch: 0 }
}

function toIssueMessage (issue: Issue): { code: string, path: string, message: string } {
  return { code: issue.code, path: issue.path.join('.'), message: issue.message }
}

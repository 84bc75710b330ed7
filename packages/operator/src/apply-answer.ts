import { ExitCode } from '@hickoryspoke/configuration/program'
import { ApplyOutcome, type ApplyAnswer } from '@hickoryspoke/protocol/generated/operator'
import type { OperatorContext } from './operator-context.ts'

const EXIT_CODE_BY_OUTCOME: Readonly<Record<ApplyOutcome, ExitCode>> = {
  [ApplyOutcome.APPLY_OUTCOME_UNSPECIFIED]: ExitCode.Failed,
  [ApplyOutcome.APPLY_OUTCOME_ACCEPTED]: ExitCode.Done,
  [ApplyOutcome.APPLY_OUTCOME_INVALID]: ExitCode.BadInput,
  [ApplyOutcome.APPLY_OUTCOME_STALE]: ExitCode.Refused,
  [ApplyOutcome.APPLY_OUTCOME_LOST_RACE]: ExitCode.Refused,
  [ApplyOutcome.APPLY_OUTCOME_DISPUTE]: ExitCode.Dispute,
  [ApplyOutcome.APPLY_OUTCOME_DISPUTE_STANDS]: ExitCode.Dispute,
  [ApplyOutcome.APPLY_OUTCOME_FORBIDDEN]: ExitCode.Failed,
  [ApplyOutcome.APPLY_OUTCOME_NOT_LEADER]: ExitCode.NotConfirmed,
  [ApplyOutcome.APPLY_OUTCOME_NOT_CONFIRMED]: ExitCode.NotConfirmed,
  [ApplyOutcome.APPLY_OUTCOME_UNKNOWN_DISPUTE]: ExitCode.BadInput,
  [ApplyOutcome.APPLY_OUTCOME_NEEDS_WHOLE]: ExitCode.Failed
}

/** Name of an outcome as printed: lower case, without the enum prefix. */
export function outcomeName (outcome: ApplyOutcome): string {
  return ApplyOutcome[outcome].replace('APPLY_OUTCOME_', '').toLowerCase()
}

/** Exit code of the command line program for an outcome. */
export function exitCodeOf (outcome: ApplyOutcome): ExitCode {
  return EXIT_CODE_BY_OUTCOME[outcome]
}

/** Prints the answer to a change and returns its exit code. */
export function showApplyAnswer (context: OperatorContext, answer: ApplyAnswer): ExitCode {
  const outcome = outcomeName(answer.outcome)
  const { identity, accepted, message, issues } = answer
  const lines = [
    `${outcome}: ${message}`,
    ...issues.map((issue) => `${issue.path}: ${issue.message} (${issue.code})`),
    ...(identity === undefined ? [] : [`number ${identity.number} ${identity.digest}`]),
    ...(accepted === undefined ? [] : [`in force: number ${accepted.number} ${accepted.digest}`])
  ]
  context.show({ outcome, message, issues, identity: identity ?? null, accepted: accepted ?? null }, lines)
  return exitCodeOf(answer.outcome)
}

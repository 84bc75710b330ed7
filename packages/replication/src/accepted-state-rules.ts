import type { FileIdentity, IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import { ApplyOutcome } from '@hickoryspoke/protocol/generated/operator'
import type { AcceptedHistory } from './accepted-history.ts'
import type { DisputeRegister } from './dispute-register.ts'

/** The state that the acceptance rules depend on. */
export interface RuleInputs {
  readonly accepted: IdentifiedState | undefined
  readonly history: AcceptedHistory
  readonly disputes: DisputeRegister
}

/** The outcome for a file, with a message for its sender. */
export interface Verdict {
  readonly outcome: ApplyOutcome
  readonly message: string
  /** Whether the file was handled before. A resend changes nothing and is not audited again. */
  readonly isResend: boolean
}

/**
 * Evaluates a file by its identity and `based_on` alone. Returns a final verdict, or else what its content is for:
 * `acceptable` puts it in force, `candidate` makes it a candidate in the dispute over its number.
 */
export function evaluateIdentity (inputs: RuleInputs, identity: FileIdentity, basedOn: number | undefined): Verdict | 'candidate' | 'acceptable' {
  if (inputs.history.has(identity.number, identity.digest)) return resendVerdict(inputs, identity)
  const settled = inputs.disputes.findSettled(identity.number, identity.digest)
  if (settled !== undefined) {
    return verdict(ApplyOutcome.APPLY_OUTCOME_DISPUTE, `the dispute over number ${identity.number} was settled as number ${settled.settledAs?.number ?? 0}`, true)
  }
  const acceptedNumber = inputs.accepted?.identity.number ?? 0
  if (identity.number < acceptedNumber) {
    return verdict(ApplyOutcome.APPLY_OUTCOME_STALE, `number ${acceptedNumber} is in force`)
  }
  if (identity.number === acceptedNumber) return 'candidate'
  return evaluateNewNumber(inputs, acceptedNumber, basedOn)
}

function evaluateNewNumber (inputs: RuleInputs, acceptedNumber: number, basedOn: number | undefined): Verdict | 'acceptable' {
  const dispute = inputs.disputes.current
  if (dispute !== undefined) {
    return verdict(ApplyOutcome.APPLY_OUTCOME_DISPUTE_STANDS, `the dispute over number ${dispute.number} must be decided first; send the file again then`)
  }
  if (basedOn !== undefined && basedOn !== acceptedNumber) {
    return verdict(ApplyOutcome.APPLY_OUTCOME_LOST_RACE, `the file is based on ${basedOn}, but number ${acceptedNumber} is in force`)
  }
  return 'acceptable'
}

function resendVerdict (inputs: RuleInputs, identity: FileIdentity): Verdict {
  const inForce = inputs.accepted?.identity.number ?? 0
  const message = inForce === identity.number ? 'in force' : `accepted before; number ${inForce} is in force now`
  return verdict(ApplyOutcome.APPLY_OUTCOME_ACCEPTED, message, true)
}

export function verdict (outcome: ApplyOutcome, message: string, isResend = false): Verdict {
  return { outcome, message, isResend }
}

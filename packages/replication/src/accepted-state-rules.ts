import type { FileIdentity, IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import { ApplyOutcome } from '@hickoryspoke/protocol/generated/operator'
import type { AcceptedHistory } from './accepted-history.ts'
import type { DisputeRegister } from './dispute-register.ts'

/** What the rules look at. */
export interface RuleFacts {
  readonly accepted: IdentifiedState | undefined
  readonly history: AcceptedHistory
  readonly disputes: DisputeRegister
}

/** What becomes of a file, as far as its identity tells; `undefined` when its content must be looked at. */
export interface Verdict {
  readonly outcome: ApplyOutcome
  readonly message: string
  /** A resend changes nothing and is not recorded again. */
  readonly isResend: boolean
}

/** Judges a file by identity and `based_on` alone. `content` means that nothing stands against taking it. */
export function judgeIdentity (facts: RuleFacts, identity: FileIdentity, basedOn: number | undefined): Verdict | 'candidate' | 'acceptable' {
  if (facts.history.has(identity.number, identity.digest)) return resent(facts, identity)
  const settled = facts.disputes.findSettled(identity.number, identity.digest)
  if (settled !== undefined) {
    return verdict(ApplyOutcome.APPLY_OUTCOME_DISPUTE, `the dispute over number ${identity.number} was settled as number ${settled.settledAs?.number ?? 0}`, true)
  }
  const acceptedNumber = facts.accepted?.identity.number ?? 0
  if (identity.number < acceptedNumber) {
    return verdict(ApplyOutcome.APPLY_OUTCOME_STALE, `number ${acceptedNumber} is in force`)
  }
  if (identity.number === acceptedNumber) return 'candidate'
  return judgeNewNumber(facts, acceptedNumber, basedOn)
}

function judgeNewNumber (facts: RuleFacts, acceptedNumber: number, basedOn: number | undefined): Verdict | 'acceptable' {
  const dispute = facts.disputes.current
  if (dispute !== undefined) {
    return verdict(ApplyOutcome.APPLY_OUTCOME_DISPUTE_STANDS, `the dispute over number ${dispute.number} must be decided first; send the file again then`)
  }
  if (basedOn !== undefined && basedOn !== acceptedNumber) {
    return verdict(ApplyOutcome.APPLY_OUTCOME_LOST_RACE, `the file is based on ${basedOn}, but number ${acceptedNumber} is in force`)
  }
  return 'acceptable'
}

function resent (facts: RuleFacts, identity: FileIdentity): Verdict {
  const inForce = facts.accepted?.identity.number ?? 0
  const message = inForce === identity.number ? 'in force' : `accepted before; number ${inForce} is in force now`
  return verdict(ApplyOutcome.APPLY_OUTCOME_ACCEPTED, message, true)
}

/** A verdict that is not a resend unless said so. */
export function verdict (outcome: ApplyOutcome, message: string, isResend = false): Verdict {
  return { outcome, message, isResend }
}

import type { DesiredState } from '@hickoryspoke/configuration/desired-state'
import { differenceBetween } from '@hickoryspoke/configuration/difference'
import { IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import { encodeDifference, encodeState } from '@hickoryspoke/configuration/state-codec'
import { ControlAnswer, ControlCommand } from '@hickoryspoke/protocol/generated/command'
import { ApplyOutcome, type ApplyAnswer } from '@hickoryspoke/protocol/generated/operator'
import { AcceptedState } from '../accepted-state.ts'

/** Returns a file whose content is determined by `mark`. */
export function fileOf (number: number, mark: string, basedOn?: number): DesiredState {
  return {
    number,
    ...(basedOn === undefined ? {} : { based_on: basedOn }),
    customers: [{ name: 'ministry', rate: 5, burst: 5 }, { name: mark, rate: 1, burst: 1 }],
    keys: [],
    pools: [],
    routes: []
  }
}

/** Drives an `AcceptedState` with encoded commands. */
export class AcceptedStateDriver {
  readonly state = AcceptedState.create()
  private index = 0

  static create (): AcceptedStateDriver {
    return new AcceptedStateDriver()
  }

  apply (file: DesiredState, operator = 'ana'): ApplyAnswer {
    const state = IdentifiedState.create(file)
    const apply = { identity: state.identity, basedOn: file.based_on, whole: encodeState(state), difference: Buffer.alloc(0), differenceFrom: undefined }
    return this.runApply({ $case: 'apply', value: apply }, operator, 'operator')
  }

  applyDifference (before: DesiredState, after: DesiredState): ApplyAnswer {
    const [from, to] = [IdentifiedState.create(before), IdentifiedState.create(after)]
    const difference = encodeDifference(differenceBetween(from, to))
    const apply = { identity: to.identity, basedOn: undefined, whole: Buffer.alloc(0), difference, differenceFrom: from.identity }
    return this.runApply({ $case: 'apply', value: apply }, 'ana', 'operator')
  }

  decide (number: number, file: DesiredState, role = 'authority'): ApplyAnswer {
    return this.runApply({ $case: 'decide', value: { number, digest: IdentifiedState.create(file).identity.digest } }, 'distant', role)
  }

  run (body: ControlCommand['body'], operator = 'control', role = 'control'): ControlAnswer {
    this.index += 1
    const command = ControlCommand.encode({ operator, role, wallMilliseconds: 1_700_000_000_000 + this.index, body }).finish()
    return ControlAnswer.decode(this.state.apply(this.index, command))
  }

  private runApply (body: ControlCommand['body'], operator: string, role: string): ApplyAnswer {
    const answer = this.run(body, operator, role)
    if (answer.body?.$case !== 'apply') throw new Error('expected the answer to an apply or decide command')
    return answer.body.value
  }
}

/** Returns the name of an outcome without its prefix. */
export function outcomeOf (answer: ApplyAnswer): string {
  return ApplyOutcome[answer.outcome].replace('APPLY_OUTCOME_', '')
}

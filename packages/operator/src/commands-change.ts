import { ExitCode } from '@hickoryspoke/configuration/program'
import { identityOf } from '@hickoryspoke/configuration/canonical-form'
import type { OperatorContext } from './operator-context.ts'
import { exitCodeOf, outcomeName, showApplyAnswer } from './apply-answer.ts'

/** `check FILE`: validates a desired-state file and prints its identity. */
export async function runCheck (context: OperatorContext, file: string): Promise<ExitCode> {
  const read = await context.readState(file)
  if (read.isErr()) return context.fail(read.error)
  const identity = identityOf(read.value.state)
  context.show(identity, [`number ${identity.number}`, `digest ${identity.digest}`])
  return ExitCode.Done
}

/** `apply FILE`: sends a whole desired-state file and waits for the outcome. */
export async function runApply (context: OperatorContext, file: string): Promise<ExitCode> {
  const read = await context.readState(file)
  if (read.isErr()) return context.fail(read.error)
  const request = { file: '', state: Buffer.from(JSON.stringify(read.value.state)) }
  return await context.withClient(async (client) => {
    const answer = context.unwrap(await client.change((stub, metadata, options, callback) => stub.apply(request, metadata, options, callback)))
    return answer.isErr() ? answer.error : showApplyAnswer(context, answer.value)
  })
}

/** `dispute decide N --accept DIGEST`: settles a dispute, as the authority. */
export async function runDecide (context: OperatorContext, number: number, digest: string): Promise<ExitCode> {
  const request = { number, digest }
  return await context.withClient(async (client) => {
    const answer = context.unwrap(await client.change((stub, metadata, options, callback) => stub.decide(request, metadata, options, callback)))
    return answer.isErr() ? answer.error : showApplyAnswer(context, answer.value)
  })
}

/** `entries remove NAME… --stopped`: removes entry VMs that are known to be stopped. */
export async function runForceRemoval (context: OperatorContext, entries: readonly string[]): Promise<ExitCode> {
  const request = { entries: [...entries] }
  return await context.withClient(async (client) => {
    const asked = await client.ask<{ outcome: number, message: string, epoch: number }>((stub, metadata, options, callback) => {
      stub.forceRemoval(request, metadata, options, callback)
    })
    const answer = context.unwrap(asked)
    if (answer.isErr()) return answer.error
    const outcome = outcomeName(answer.value.outcome)
    context.show({ ...answer.value, outcome }, [`${outcome}: ${answer.value.message}`, `epoch ${answer.value.epoch}`])
    return exitCodeOf(answer.value.outcome)
  })
}

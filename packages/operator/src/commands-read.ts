import { parseDesiredState, type DesiredState } from '@hickoryspoke/configuration/desired-state'
import { differenceBetween, summarizeDifference, withdrawsAccess, type DifferenceSummary } from '@hickoryspoke/configuration/difference'
import { IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import { ExitCode } from '@hickoryspoke/configuration/program'
import type { ExportAnswer, JsonDocument } from '@hickoryspoke/protocol/generated/operator'
import { Err, Ok, type Result } from 'ts-results-es'
import type { ControlClient, StartRequest } from './control-client.ts'
import type { OperatorContext } from './operator-context.ts'
import { describeDisputes, describeStatus, describeUpstreams, summaryLines, type DisputeView, type StatusView, type UpstreamView } from './descriptions.ts'

/** `status`: prints the accepted file, the leader, the entries and open disputes. */
export async function runStatus (context: OperatorContext): Promise<ExitCode> {
  return await showDocument<StatusView>(context, (stub, ...rest) => stub.status({}, ...rest), describeStatus)
}

/** `upstreams`: prints each entry's view of the upstreams. */
export async function runUpstreams (context: OperatorContext): Promise<ExitCode> {
  return await showDocument<UpstreamView[]>(context, (stub, ...rest) => stub.upstreams({}, ...rest), describeUpstreams)
}

/** `dispute list`: prints all disputes. */
export async function runDisputeList (context: OperatorContext): Promise<ExitCode> {
  return await showDocument<DisputeView[]>(context, (stub, ...rest) => stub.disputes({ number: 0 }, ...rest), describeDisputes)
}

/** `dispute show N`: prints one dispute. Exit code 2 if there is no dispute over this number. */
export async function runDisputeShow (context: OperatorContext, number: number): Promise<ExitCode> {
  return await context.withClient(async (client) => {
    const document = await readDocument<DisputeView[]>(context, client, (stub, ...rest) => stub.disputes({ number }, ...rest))
    if (document.isErr()) return document.error
    context.show(document.value, document.value.length === 0 ? [`no dispute over number ${number}`] : describeDisputes(document.value))
    return document.value.length === 0 ? ExitCode.BadInput : ExitCode.Done
  })
}

/** `export`: prints the accepted file as TOML. */
export async function runExport (context: OperatorContext): Promise<ExitCode> {
  return await context.withClient(async (client) => {
    const answer = await readAccepted(context, client)
    if (answer.isErr()) return answer.error
    context.show(answer.value, [answer.value.file.trimEnd()])
    return ExitCode.Done
  })
}

/** `diff FILE`: prints what the file would change. */
export async function runDiff (context: OperatorContext, file: string): Promise<ExitCode> {
  const read = await context.readState(file)
  if (read.isErr()) return context.fail(read.error)
  return await context.withClient(async (client) => {
    const answer = await readAccepted(context, client)
    if (answer.isErr()) return answer.error
    const accepted = parseDesiredState(answer.value.file)
    const before = accepted.isOk() ? IdentifiedState.create(accepted.value) : IdentifiedState.empty()
    showDifference(context, before, read.value.state)
    return ExitCode.Done
  })
}

function showDifference (context: OperatorContext, before: IdentifiedState, file: DesiredState): void {
  const after = IdentifiedState.create(file)
  const difference = differenceBetween(before, after)
  const summary: DifferenceSummary = summarizeDifference(before, difference)
  const withdraws = withdrawsAccess(before, difference)
  const lines = [`from number ${before.identity.number} to number ${after.identity.number}`, ...summaryLines(summary)]
  if (withdraws) lines.push('withdraws access: applying it waits until a quorum of the entries holds it')
  context.show({ from: before.identity, to: after.identity, withdraws, difference: summary }, lines)
}

async function showDocument<Document> (
  context: OperatorContext,
  start: StartRequest<JsonDocument>,
  describe: (document: Document) => string[]
): Promise<ExitCode> {
  return await context.withClient(async (client) => {
    const document = await readDocument<Document>(context, client, start)
    if (document.isErr()) return document.error
    context.show(document.value, describe(document.value))
    return ExitCode.Done
  })
}

async function readDocument<Document> (
  context: OperatorContext,
  client: ControlClient,
  start: StartRequest<JsonDocument>
): Promise<Result<Document, ExitCode>> {
  const answer = context.unwrap(await client.ask<JsonDocument>(start))
  if (answer.isErr()) return Err(answer.error)
  return Ok(JSON.parse(Buffer.from(answer.value.json).toString('utf8')) as Document)
}

async function readAccepted (context: OperatorContext, client: ControlClient): Promise<Result<ExportAnswer, ExitCode>> {
  return context.unwrap(await client.ask<ExportAnswer>((stub, ...rest) => stub.export({}, ...rest)))
}

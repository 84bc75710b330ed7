import { readFile } from 'node:fs/promises'
import { verifyAuditLine, type AuditPosition, type AuditRecord, type BrokenAuditChain } from '@hickoryspoke/configuration/audit-chain'
import { ExitCode } from '@hickoryspoke/configuration/program'
import { FileNotReadable } from '@hickoryspoke/configuration/settings-file'
import { sleep } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import { Ok, type Result } from 'ts-results-es'
import type { ControlClient } from './control-client.ts'
import { ControlUnreachable, RequestRejected } from './control-failure.ts'
import type { OperatorContext } from './operator-context.ts'

const UNAUTHENTICATED_STATUS = 16
const RECONNECT_PAUSE_MILLISECONDS = 500

/** Options of `audit`. With `file`, lines are read from a file instead of from control. */
export interface AuditOptions {
  readonly follow: boolean
  readonly verify: boolean
  readonly from: number
  readonly file: string | undefined
}

/** `audit`: prints the audit trail of all changes, refusals, disputes and decisions. */
export async function runAudit (context: OperatorContext, options: AuditOptions): Promise<ExitCode> {
  const reader = AuditReader.create(context, options)
  if (options.file !== undefined) return await reader.readFile(options.file)
  return await context.withClient(async (client) => await reader.readControl(client))
}

/** Prints the lines of an audit trail and, if asked to, verifies their digest chain. */
class AuditReader {
  private verifiedUpTo: AuditPosition | undefined
  private nextSequence: number

  private constructor (private readonly context: OperatorContext, private readonly options: AuditOptions) {
    this.nextSequence = options.from
  }

  static create (context: OperatorContext, options: AuditOptions): AuditReader {
    return new AuditReader(context, options)
  }

  async readFile (file: string): Promise<ExitCode> {
    const text = await readFile(file, 'utf8').catch((thrown: unknown) => FileNotReadable.create(file, describeError(thrown)))
    if (text instanceof FileNotReadable) return this.context.fail(text)
    for (const line of text.split('\n').filter((part) => part !== '')) {
      const processed = this.processLine(line)
      if (processed.isErr()) return this.context.fail(processed.error)
    }
    return this.finish()
  }

  async readControl (client: ControlClient): Promise<ExitCode> {
    const { clock, signal } = this.context.terminal
    const end = clock.monotonicMilliseconds() + this.context.options.timeout * 1000
    for (;;) {
      const outcome = await this.readStream(client)
      if (outcome !== undefined) return outcome
      if (signal.aborted) return this.finish()
      if (!this.options.follow && clock.monotonicMilliseconds() >= end) return this.context.fail(ControlUnreachable.create('no control VM answers'))
      client.rotate()
      await sleep(clock, RECONNECT_PAUSE_MILLISECONDS, signal)
    }
  }

  /** Reads one stream to its end. Returns undefined if reading should continue from another control VM. */
  private async readStream (client: ControlClient): Promise<ExitCode | undefined> {
    try {
      for await (const { sequence, line } of client.audit({ fromSequence: this.nextSequence, follow: this.options.follow })) {
        if (sequence < this.nextSequence) continue
        const processed = this.processLine(line)
        if (processed.isErr()) return this.context.fail(processed.error)
        this.nextSequence = sequence + 1
        if (this.context.terminal.signal.aborted) return this.finish()
      }
      return this.options.follow ? undefined : this.finish()
    } catch (thrown) {
      const isRejected = (thrown as { code?: unknown }).code === UNAUTHENTICATED_STATUS
      return isRejected ? this.context.fail(RequestRejected.create(describeError(thrown), true)) : undefined
    }
  }

  private processLine (line: string): Result<void, BrokenAuditChain> {
    if (this.options.verify) {
      const verified = verifyAuditLine(line, this.verifiedUpTo)
      if (verified.isErr()) return verified
      this.verifiedUpTo = verified.value
    }
    if (!this.options.verify || this.options.follow) this.print(line)
    return Ok(undefined)
  }

  private print (line: string): void {
    const { terminal, options } = this.context
    terminal.print(options.json ? line : describeRecord(JSON.parse(line) as AuditRecord))
  }

  private finish (): ExitCode {
    if (this.options.verify) {
      const { sequence, digest } = this.verifiedUpTo ?? { sequence: 0, digest: '' }
      this.context.show({ verified: true, lastSequence: sequence, lastDigest: digest }, [`verified up to line ${sequence} ${digest}`])
    }
    return ExitCode.Done
  }
}

function describeRecord (record: AuditRecord): string {
  const identity = record.identity === undefined ? '' : ` number ${record.identity.number} ${record.identity.digest}`
  const rest = [record.difference, record.details].filter((part) => part !== undefined && Object.keys(part).length > 0)
  return `${record.sequence} ${record.time} ${record.operator} (${record.role}) ${record.kind} ${record.outcome}${identity} ${rest.map((part) => JSON.stringify(part)).join(' ')}`.trimEnd()
}

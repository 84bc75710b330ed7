import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Metadata, Server, ServerCredentials, status } from '@grpc/grpc-js'
import { parseDesiredState } from '@hickoryspoke/configuration/desired-state'
import { AUDIT_START, chainAuditEvent, type AuditEvent } from '@hickoryspoke/configuration/audit-chain'
import { ApplyOutcome, OperatorService, type ApplyAnswer, type OperatorServer } from '@hickoryspoke/protocol/generated/operator'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runOperator } from '../operator-program.ts'

const FILE = 'number = 7\n[[customers]]\nname = "ministry"\nrate = 5.0\nburst = 5\n'

/** Response of a scripted control VM to the next apply request: an outcome, or a failure. */
type Step = ApplyOutcome | 'cut' | 'silent' | 'unauthenticated'

class ScriptedControl {
  readonly received: string[] = []
  leader = ''
  private readonly server = new Server()

  private constructor (private readonly steps: Step[], private readonly auditLines: readonly string[]) {}

  static async create (steps: Step[], auditLines: readonly string[] = []): Promise<{ control: ScriptedControl, address: string }> {
    const control = new ScriptedControl(steps, auditLines)
    const address = await control.listen()
    return { control, address }
  }

  stop (): void {
    this.server.forceShutdown()
  }

  private listen (): Promise<string> {
    const handlers: Partial<OperatorServer> = {
      apply: (call, callback) => {
        this.received.push(String(call.metadata.get('authorization')[0]))
        const step = this.steps.shift() ?? ApplyOutcome.APPLY_OUTCOME_ACCEPTED
        if (step === 'silent') return
        if (step === 'cut') callback({ code: status.UNAVAILABLE, details: 'cut', metadata: new Metadata() })
        else if (step === 'unauthenticated') callback({ code: status.UNAUTHENTICATED, details: 'unknown token', metadata: new Metadata() })
        else callback(null, this.answer(step))
      },
      export: (_call, callback) => callback(null, { identity: undefined, file: FILE.replace('7', '6').replace('5.0', '4.0') }),
      audit: (call) => {
        this.auditLines.forEach((line, index) => call.write({ sequence: index + 1, line }))
        call.end()
      }
    }
    this.server.addService(OperatorService, handlers as OperatorServer)
    return new Promise((resolve) => {
      this.server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (_error, port) => resolve(`127.0.0.1:${port}`))
    })
  }

  private answer (outcome: ApplyOutcome): ApplyAnswer {
    return { outcome, identity: { number: 7, digest: 'sha256:x' }, accepted: undefined, issues: [], message: 'said so', leader: this.leader }
  }
}

async function run (...argv: string[]): Promise<{ exitCode: number, out: string[], errors: string[] }> {
  const out: string[] = []
  const errors: string[] = []
  const exitCode = await runOperator(argv, {
    print: (line) => out.push(line),
    printError: (line) => errors.push(line),
    environment: { HICKORYSPOKE_TOKEN: 'secret' },
    clock: SystemClock.create(),
    signal: new AbortController().signal
  })
  return { exitCode, out, errors }
}

async function fileWith (text: string): Promise<string> {
  const file = join(await mkdtemp(join(tmpdir(), 'hickoryspoke-operator-')), 'file')
  await writeFile(file, text)
  return file
}

const { APPLY_OUTCOME_NOT_LEADER: NOT_LEADER, APPLY_OUTCOME_NOT_CONFIRMED: NOT_CONFIRMED } = ApplyOutcome
const APPLIES: { readonly title: string, readonly steps: Step[], readonly exitCode: number, readonly requests: number }[] = [
  { title: 'accepted', steps: [ApplyOutcome.APPLY_OUTCOME_ACCEPTED], exitCode: 0, requests: 1 },
  { title: 'invalid', steps: [ApplyOutcome.APPLY_OUTCOME_INVALID], exitCode: 2, requests: 1 },
  { title: 'stale', steps: [ApplyOutcome.APPLY_OUTCOME_STALE], exitCode: 3, requests: 1 },
  { title: 'a lost race', steps: [ApplyOutcome.APPLY_OUTCOME_LOST_RACE], exitCode: 3, requests: 1 },
  { title: 'a dispute', steps: [ApplyOutcome.APPLY_OUTCOME_DISPUTE], exitCode: 4, requests: 1 },
  { title: 'a dispute that stands', steps: [ApplyOutcome.APPLY_OUTCOME_DISPUTE_STANDS], exitCode: 4, requests: 1 },
  { title: 'an unknown token', steps: ['unauthenticated'], exitCode: 1, requests: 1 },
  { title: 'a cut answer, then accepted', steps: ['cut', ApplyOutcome.APPLY_OUTCOME_ACCEPTED], exitCode: 0, requests: 2 },
  { title: 'a leader that is not known yet, then a dispute', steps: [NOT_LEADER, ApplyOutcome.APPLY_OUTCOME_DISPUTE], exitCode: 4, requests: 2 },
  { title: 'not confirmed, then accepted', steps: [NOT_CONFIRMED, ApplyOutcome.APPLY_OUTCOME_ACCEPTED], exitCode: 0, requests: 2 }
]

for (const { title, steps, exitCode, requests } of APPLIES) {
  test(`apply with ${title} exits with ${exitCode}`, async () => {
    const { control, address } = await ScriptedControl.create([...steps])
    const outcome = await run('apply', await fileWith(FILE), '--control', address)
    control.stop()
    assert.is(outcome.exitCode, exitCode)
    assert.equal(control.received, Array(requests).fill('Bearer secret'))
  })
}

test('a request without an answer exits with 5 and reports that retrying is safe', async () => {
  const { control, address } = await ScriptedControl.create(['silent'])
  const outcome = await run('apply', await fileWith(FILE), '--control', address, '--timeout', '0.3')
  control.stop()
  assert.is(outcome.exitCode, 5)
  assert.match(outcome.errors.join(), 'retrying is safe')
})

test('after a replica that is not the leader, the leader that it names is tried', async () => {
  const leader = await ScriptedControl.create([ApplyOutcome.APPLY_OUTCOME_ACCEPTED])
  const follower = await ScriptedControl.create([NOT_LEADER, NOT_LEADER, NOT_LEADER])
  follower.control.leader = leader.address
  const outcome = await run('apply', await fileWith(FILE), '--control', follower.address)
  for (const { control } of [leader, follower]) control.stop()
  assert.is(outcome.exitCode, 0)
  assert.is(leader.control.received.length, 1)
})

test('check prints the identity or all errors, without contacting control', async () => {
  const good = await run('check', await fileWith(FILE), '--json')
  assert.is(good.exitCode, 0)
  assert.is(JSON.parse(good.out[0] as string).number, 7)
  const bad = await run('check', await fileWith('number = 0\n[[keys]]\ncustomer = "nobody"\ndigest = "x"\n'))
  assert.is(bad.exitCode, 2)
  assert.is(bad.errors.length, 2)
})

test('diff prints the names that a file changes', async () => {
  const { control, address } = await ScriptedControl.create([])
  const outcome = await run('diff', await fileWith(FILE), '--control', address, '--json')
  control.stop()
  const document = JSON.parse(outcome.out[0] as string)
  assert.equal(document.difference.customers.changed, ['ministry'])
  assert.is(document.withdraws, false)
})

test('audit --verify accepts an intact trail and detects a removed line', async () => {
  const event: AuditEvent = { kind: 'refused', outcome: 'stale', operator: 'ana', role: 'operator', time: '' }
  const lines: string[] = []
  let position = AUDIT_START
  for (let index = 0; index < 5; index += 1) {
    const next = chainAuditEvent(event, position)
    lines.push(next.line)
    position = next.after
  }
  const { control, address } = await ScriptedControl.create([], lines)
  const good = await run('audit', '--verify', '--control', address)
  control.stop()
  assert.is(good.exitCode, 0)
  assert.match(good.out.join(), 'verified up to line 5')
  const broken = await run('audit', '--verify', '--file', await fileWith(lines.toSpliced(2, 1).join('\n')))
  assert.is(broken.exitCode, 1)
  assert.match(broken.errors.join(), 'line 3')
})

test('key create prints a key and a digest that is valid in a file', async () => {
  const { out } = await run('key', 'create', '--json')
  const { key, digest } = JSON.parse(out[0] as string)
  assert.is(sha256Digest(key), digest)
  const file = `${FILE}[[keys]]\ncustomer = "ministry"\ndigest = "${digest}"\n`
  assert.ok(parseDesiredState(file).isOk())
})

const BAD_ARGUMENTS = [[], ['nothing'], ['dispute', 'decide', '7'], ['apply'], ['status'], ['check', '/nowhere/file'], ['status', '--control', '10.0.0.1:7400']]

for (const argv of BAD_ARGUMENTS) {
  test(`"${argv.join(' ')}" exits with 2`, async () => {
    assert.is((await run(...argv)).exitCode, 2)
  })
}

test.run()

import { verifyAuditLine, type AuditEvent, type AuditPosition, type BrokenAuditChain } from '@hickoryspoke/configuration/audit-chain'
import { Ok, type Result } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AuditTrail } from '../audit-trail.ts'
import { fileOf, AcceptedStateDriver } from './accepted-state-fixture.ts'

const EVENT: AuditEvent = { kind: 'refused', outcome: 'stale', operator: 'ana', role: 'operator', time: '2026-01-01T00:00:00.000Z' }

function trailOf (events: number, linesKept: number): string[] {
  const trail = AuditTrail.create(linesKept)
  for (let index = 0; index < events; index += 1) trail.append({ ...EVENT, identity: { number: index, digest: '' } })
  return trail.linesFrom(1, events).map(({ line }) => line)
}

function verify (lines: readonly string[]): Result<AuditPosition, BrokenAuditChain> {
  let position: AuditPosition | undefined
  for (const line of lines) {
    const verified = verifyAuditLine(line, position)
    if (verified.isErr()) return verified
    position = verified.value
  }
  return Ok(position ?? { sequence: 0, digest: '' })
}

test('an unmodified trail verifies, including after rotation', () => {
  assert.is(verify(trailOf(20, 100)).unwrap().sequence, 20)
  const rotated = trailOf(20, 8)
  assert.is(rotated.length, 8)
  assert.is(verify(rotated).unwrap().sequence, 20)
})

const TAMPERINGS: { readonly title: string, readonly sequence: number, readonly tamper: (lines: string[]) => string[] }[] = [
  { title: 'a removed line', sequence: 7, tamper: (lines) => lines.toSpliced(6, 1) },
  { title: 'an altered line', sequence: 7, tamper: (lines) => lines.with(6, (lines[6] as string).replace('ana', 'luz')) },
  { title: 'a line with added space', sequence: 7, tamper: (lines) => lines.with(6, `${lines[6] as string} `) },
  { title: 'two swapped lines', sequence: 7, tamper: (lines) => lines.with(6, lines[7] as string).with(7, lines[6] as string) },
  { title: 'a line that is not JSON', sequence: 7, tamper: (lines) => lines.with(6, 'lost') }
]

for (const { title, sequence, tamper } of TAMPERINGS) {
  test(`verification detects ${title}`, () => {
    const broken = verify(tamper(trailOf(20, 100)))
    assert.ok(broken.isErr())
    if (broken.isErr()) assert.is(broken.error.sequence, sequence)
  })
}

test('changes, refusals, disputes and decisions are recorded, with key digests shortened', () => {
  const machine = AcceptedStateDriver.create()
  const keyDigest = `sha256:${'ab'.repeat(32)}`
  machine.apply({ ...fileOf(2, 'first'), keys: [{ customer: 'first', digest: keyDigest }] })
  machine.apply(fileOf(1, 'late'), 'luz')
  machine.apply(fileOf(2, 'second'), 'luz')
  machine.decide(2, fileOf(2, 'second'))
  const lines = machine.state.audit.linesFrom(1, 100).map(({ line }) => line)
  assert.equal(lines.map((line) => JSON.parse(line).kind), ['accepted', 'refused', 'dispute', 'decided'])
  assert.equal(JSON.parse(lines[0] as string).difference.keys.added, [keyDigest.slice(0, 19)])
  assert.not.ok(lines.join().includes(keyDigest))
  assert.is(verify(lines).unwrap().sequence, 4)
})

test.run()

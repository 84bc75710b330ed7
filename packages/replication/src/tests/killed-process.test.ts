import { spawn } from 'node:child_process'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const RUNS = 5
const CONFIRMED_PER_RUN = 130

interface ProcessRun {
  readonly restored: readonly string[]
  readonly confirmed: readonly string[]
}

/** Runs the process until `CONFIRMED_PER_RUN` commands are confirmed, then kills it while it is still writing. */
async function runUntilKilled (folder: string): Promise<ProcessRun> {
  const child = spawn(process.execPath, ['--import', 'tsx', new URL('killed-process.ts', import.meta.url).pathname, folder], {
    stdio: ['ignore', 'pipe', 'inherit']
  })
  let restored: string[] = []
  const confirmed: string[] = []
  for await (const line of createInterface({ input: child.stdout })) {
    if (line.startsWith('restored ')) restored = JSON.parse(line.slice('restored '.length)) as string[]
    else confirmed.push(line.slice('confirmed '.length))
    if (confirmed.length === CONFIRMED_PER_RUN) child.kill('SIGKILL')
  }
  return { restored, confirmed }
}

test(`a process killed ${RUNS} times while writing keeps every confirmed command`, async () => {
  const folder = await mkdtemp(join(tmpdir(), 'killed-process-'))
  let expected: string[] = []
  for (let count = 1; count <= RUNS; count += 1) {
    const { restored, confirmed } = await runUntilKilled(folder)
    assert.equal(restored.slice(0, expected.length), expected, `run ${count}`)
    assert.ok(restored.length <= expected.length + 1, `run ${count}: at most one unconfirmed command`)
    assert.ok(confirmed.length >= CONFIRMED_PER_RUN)
    expected = [...restored, ...confirmed]
  }
  await rm(folder, { recursive: true })
})

test.run()
